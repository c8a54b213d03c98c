// Writes lines to a file descriptor on a separate thread. Adding a line never blocks on the output. If the
// queue is full, lines are lost and counted. Lines that are queued when a write fails are lost uncounted.

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
    // The descriptor belongs to the caller and is not closed here.
    LineQueue(int outputDescriptor, LineQueueLimits queueLimits);

    // Writes the remaining lines, unless the output is blocked or a write has failed.
    ~LineQueue();
    LineQueue(LineQueue const &) = delete;
    LineQueue &operator=(LineQueue const &) = delete;

    // Appends the line break. Returns false if the queue is full and the line is lost.
    bool add(std::string line);

    std::uint64_t lostLines() const;

private:
    enum class WriteOutcome : std::uint8_t { Written, Abandoned };

    void run();
    WriteOutcome write(std::string const &text);

    int descriptor;
    LineQueueLimits limits;
    mutable std::mutex mutex; // Guards lines, lost and isStopping; not held during a write.
    std::condition_variable wake;
    std::deque<std::string> lines; // At most limits.lines.
    std::uint64_t lost = 0;
    bool isStopping = false;
    std::jthread thread;
};

} // namespace almondwing
