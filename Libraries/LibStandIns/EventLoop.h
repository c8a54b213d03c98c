// The Asio event loop of a stand-in program with its signals and timers. The header does not include Asio.

#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace almondwing {

class EventLoop
{
public:
    EventLoop();
    EventLoop(EventLoop const &) = delete;
    EventLoop &operator=(EventLoop const &) = delete;
    ~EventLoop();

    // Runs handlers on `threadCount` threads, including the calling one, until stop(), SIGTERM or SIGINT.
    void run(std::size_t threadCount);
    void stop();

    void schedule(Duration delay, std::function<void()> action);

    boost::asio::io_context &ioContext();

    static Timestamp now();

    // Microseconds of wall-clock time since the Unix epoch, for ledger entries.
    static std::int64_t unixMicroseconds();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace almondwing
