// Implements the queue with a thread that polls the output.

#include <LibFrontEnd/LineQueue.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <climits>
#include <utility>

namespace almondwing {

namespace {

// Lines added within this time are written together, because each write costs a system call.
constexpr std::chrono::milliseconds batchInterval{50};

// Each poll of the output ends after this time, so that a stop request is noticed.
constexpr int pollMilliseconds = 100;

} // namespace

LineQueue::LineQueue(int outputDescriptor, LineQueueLimits queueLimits)
    : descriptor(outputDescriptor), limits(queueLimits), thread([this] { this->run(); })
{
}

LineQueue::~LineQueue()
{
    {
        std::scoped_lock const lock(this->mutex);
        this->isStopping = true;
    }
    this->wake.notify_all();
}

bool LineQueue::add(std::string line)
{
    line.push_back('\n');
    {
        std::scoped_lock const lock(this->mutex);
        if (this->lines.size() >= this->limits.lines) {
            ++this->lost;
            return false;
        }
        this->lines.push_back(std::move(line));
        if (this->lines.size() > 1)
            return true;
    }
    this->wake.notify_all();
    return true;
}

std::uint64_t LineQueue::lostLines() const
{
    std::scoped_lock const lock(this->mutex);
    return this->lost;
}

void LineQueue::run()
{
    for (;;) {
        std::deque<std::string> batch;
        {
            std::unique_lock lock(this->mutex);
            this->wake.wait(lock, [this] { return this->isStopping || !this->lines.empty(); });
            this->wake.wait_for(lock, batchInterval, [this] { return this->isStopping; });
            batch.swap(this->lines);
            if (batch.empty() && this->isStopping)
                return;
        }
        std::string text;
        for (std::string const &line : batch)
            text += line;
        if (this->write(text) == WriteOutcome::Abandoned)
            return;
    }
}

// Writes chunks of at most PIPE_BUF bytes, which do not block once the output is ready. While the output is
// not ready it gives up only during a stop; a failed write ends it at any time.
LineQueue::WriteOutcome LineQueue::write(std::string const &text)
{
    for (std::size_t offset = 0; offset < text.size();) {
        ::pollfd pollEntry{.fd = this->descriptor, .events = POLLOUT, .revents = 0};
        if (::poll(&pollEntry, 1, pollMilliseconds) > 0) {
            auto const written = ::write(this->descriptor, text.data() + offset,
                                         std::min<std::size_t>(PIPE_BUF, text.size() - offset));
            if (written > 0) {
                offset += static_cast<std::size_t>(written);
                continue;
            }
            // A failed write, for example to a closed pipe, is final: the thread ends and writes no further
            // lines.
            if (written < 0)
                return WriteOutcome::Abandoned;
        }
        std::scoped_lock const lock(this->mutex);
        if (this->isStopping)
            return WriteOutcome::Abandoned;
    }
    return WriteOutcome::Written;
}

} // namespace almondwing
