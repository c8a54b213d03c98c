// Implements the event loop with Boost.Asio.

#include <LibFrontEnd/IoContext.h>
#include <LibFrontEnd/IoRuntime.h>

#include <csignal>
#include <thread>
#include <utility>
#include <vector>

namespace almondwing {

namespace {

void runRepeatedly(std::shared_ptr<boost::asio::steady_timer> const &timer, Duration interval,
                   std::function<void()> work)
{
    timer->expires_after(interval);
    timer->async_wait([timer, interval, work = std::move(work)](boost::system::error_code error) {
        if (error)
            return;
        work();
        runRepeatedly(timer, interval, work);
    });
}

void waitForSignals(std::shared_ptr<boost::asio::signal_set> const &signals, std::function<void()> handle)
{
    signals->async_wait([signals, handle = std::move(handle)](boost::system::error_code error, int) {
        if (error)
            return;
        handle();
        waitForSignals(signals, handle);
    });
}

} // namespace

IoRuntime::IoRuntime() : io(std::make_unique<IoContext>()) { }

IoRuntime::~IoRuntime() = default;

Timestamp IoRuntime::now()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

void IoRuntime::post(std::function<void()> work)
{
    boost::asio::post(this->io->asio, std::move(work));
}

void IoRuntime::runAfter(Duration delay, std::function<void()> work)
{
    auto const timer = std::make_shared<boost::asio::steady_timer>(this->io->asio, delay);
    timer->async_wait([timer, work = std::move(work)](boost::system::error_code error) {
        if (!error)
            work();
    });
}

void IoRuntime::runEvery(Duration interval, std::function<void()> work)
{
    runRepeatedly(std::make_shared<boost::asio::steady_timer>(this->io->asio), interval, std::move(work));
}

// The signal set lives as long as the loop: without it a second signal would terminate the process during its
// shutdown.
void IoRuntime::onStopSignal(std::function<void()> stop)
{
    auto const isStopping = std::make_shared<bool>(false);
    waitForSignals(std::make_shared<boost::asio::signal_set>(this->io->asio, SIGTERM, SIGINT),
                   [isStopping, stop = std::move(stop)] {
                       if (!std::exchange(*isStopping, true))
                           stop();
                   });
}

void IoRuntime::onReloadSignal(std::function<void()> reload)
{
    waitForSignals(std::make_shared<boost::asio::signal_set>(this->io->asio, SIGHUP), std::move(reload));
}

void IoRuntime::run(std::uint32_t threadCount)
{
    auto const keepRunning = boost::asio::make_work_guard(this->io->asio);
    std::vector<std::jthread> threads;
    for (std::uint32_t index = 1; index < threadCount; ++index)
        threads.emplace_back([this] { this->io->asio.run(); });
    this->io->asio.run();
}

void IoRuntime::stop()
{
    this->io->asio.stop();
}

struct SerialQueue::Strand
{
    boost::asio::strand<boost::asio::io_context::executor_type> executor;
};

SerialQueue::SerialQueue(IoRuntime &runtime)
    : strand(std::make_unique<Strand>(Strand{boost::asio::make_strand(runtime.context().asio)}))
{
}

SerialQueue::~SerialQueue() = default;

void SerialQueue::post(std::function<void()> work)
{
    boost::asio::post(this->strand->executor, std::move(work));
}

} // namespace almondwing
