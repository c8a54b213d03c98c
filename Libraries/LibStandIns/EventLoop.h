// The Asio event loop of a stand-in program with its signals and timers. Asio itself stays out of this
// header.

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

    // Serves handlers on this and further threads until stop(), SIGTERM or SIGINT.
    void run(std::size_t threadCount);
    void stop();

    void schedule(Duration delay, std::function<void()> action);

    boost::asio::io_context &ioContext();

    static Timestamp now();

    // For ledgers, which compare the times of several processes of one machine.
    static std::int64_t unixMicroseconds();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace almondwing
