// Implements the event loop with Asio.

#include <LibStandIns/EventLoop.h>

#include <utility>

#include <boost/asio.hpp>

#include <csignal>
#include <thread>
#include <vector>

namespace almondwing {

struct EventLoop::Implementation
{
    boost::asio::io_context context;
    boost::asio::signal_set signals{context, SIGTERM, SIGINT};
};

EventLoop::EventLoop() : implementation(std::make_unique<Implementation>())
{
    this->implementation->signals.async_wait([this](boost::system::error_code const &error, int /*signal*/) {
        if (!error)
            this->stop();
    });
}

EventLoop::~EventLoop() = default;

void EventLoop::run(std::size_t threadCount)
{
    std::vector<std::jthread> threads;
    for (std::size_t index = 1; index < threadCount; ++index)
        threads.emplace_back([this] { this->implementation->context.run(); });
    this->implementation->context.run();
}

void EventLoop::stop()
{
    this->implementation->context.stop();
}

void EventLoop::schedule(Duration delay, std::function<void()> action)
{
    auto const timer = std::make_shared<boost::asio::steady_timer>(this->implementation->context, delay);
    timer->async_wait([timer, action = std::move(action)](boost::system::error_code const &error) {
        if (!error)
            action();
    });
}

boost::asio::io_context &EventLoop::ioContext()
{
    return this->implementation->context;
}

Timestamp EventLoop::now()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

std::int64_t EventLoop::unixMicroseconds()
{
    auto const sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
}

} // namespace almondwing
