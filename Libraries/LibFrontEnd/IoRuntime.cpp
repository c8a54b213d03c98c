// Implements the event loop with Boost.Asio.

#include <LibFrontEnd/IoContext.h>
#include <LibFrontEnd/IoRuntime.h>

#include <LibCore/Verify.h>

#include <absl/cleanup/cleanup.h>

#include <csignal>
#include <ctime>
#include <exception>
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
        // The next run is scheduled even if this one throws.
        absl::Cleanup const scheduleNext = [&] { runRepeatedly(timer, interval, work); };
        work();
    });
}

void waitForSignals(std::shared_ptr<boost::asio::signal_set> const &signals, std::function<void()> handle)
{
    signals->async_wait([signals, handle = std::move(handle)](boost::system::error_code error, int) {
        if (error)
            return;
        absl::Cleanup const waitForNext = [&] { waitForSignals(signals, handle); };
        handle();
    });
}

} // namespace

IoRuntime::IoRuntime() : io(std::make_unique<IoContext>()) { }

IoRuntime::~IoRuntime() = default;

Timestamp IoRuntime::now()
{
    // std::chrono::steady_clock stops while the machine is suspended, so a lease or permit that expired
    // during a suspension would still appear valid.
    std::timespec time{};
    VERIFY(::clock_gettime(CLOCK_BOOTTIME, &time) == 0);
    return Timestamp(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                          + std::chrono::nanoseconds(time.tv_nsec)));
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
        threads.emplace_back([this] { this->runLoop(); });
    this->runLoop();
}

// Ends only the handler that threw; the loop goes on with the next one.
void IoRuntime::runLoop()
{
    for (;;) {
        try {
            this->io->asio.run();
            return;
        } catch (std::exception const &error) {
            this->failedHandlerCount.fetch_add(1, std::memory_order_relaxed);
            if (this->reportFailedHandler)
                this->reportFailedHandler(error.what());
        }
    }
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
