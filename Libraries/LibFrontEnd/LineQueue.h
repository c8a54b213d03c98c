// Writes lines to a descriptor on a thread of its own. Whoever adds a line never waits for the output; when
// it is too slow, lines are lost and counted.

#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace almondwing {

struct LineQueueLimits
{
    std::size_t lines = 1024; // About 200 bytes each.

    friend bool operator==(LineQueueLimits const &, LineQueueLimits const &) = default;
};

class LineQueue
{
public:
    // The descriptor stays open and belongs to the caller.
    LineQueue(int outputDescriptor, LineQueueLimits queueLimits);

    // Writes what is left, unless the output takes nothing.
    ~LineQueue();
    LineQueue(LineQueue const &) = delete;
    LineQueue &operator=(LineQueue const &) = delete;

    // Returns false if the line was lost. The line gets its end here.
    bool add(std::string line);

    std::uint64_t lostLines() const;

private:
    enum class WriteOutcome : std::uint8_t { Written, Blocked };

    void run();
    WriteOutcome write(std::string const &text);

    int descriptor;
    LineQueueLimits limits;
    mutable std::mutex mutex; // Guards the members up to `thread`; not held during a write.
    std::condition_variable wake;
    std::deque<std::string> lines; // At most limits.lines.
    std::uint64_t lost = 0;
    bool isStopping = false;
    std::jthread thread;
};

} // namespace almondwing
