// The event loop of a process, which several threads run. Idle threads block in the loop and never spin.

#pragma once

#include <LibCore/Time.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace almondwing {

// Keeps Boost.Asio out of the public headers.
struct IoContext;

class IoRuntime
{
public:
    IoRuntime();
    ~IoRuntime();
    IoRuntime(IoRuntime const &) = delete;
    IoRuntime &operator=(IoRuntime const &) = delete;

    IoContext &context() { return *this->io; }

    // The time since the start of the machine, including its suspensions.
    static Timestamp now();

    // Runs the work on any thread of the loop as soon as possible.
    void post(std::function<void()> work);

    // Runs the work once after the delay.
    void runAfter(Duration delay, std::function<void()> work);

    // Runs the work periodically, one run at a time. The interval starts when a run ends, so a late run does
    // not cause a burst of runs.
    void runEvery(Duration interval, std::function<void()> work);

    // Calls the hook once for the first SIGTERM or SIGINT.
    void onStopSignal(std::function<void()> stop);

    // Calls the hook for each SIGHUP.
    void onReloadSignal(std::function<void()> reload);

    // Runs the loop on the given number of threads until stop() is called. An exception ends only the handler
    // that threw it and is counted and reported.
    void run(std::uint32_t threadCount);
    void stop();

    // Sets the hook that receives the message of each exception. Call it before run().
    void onFailedHandler(std::function<void(std::string const &message)> report)
    {
        this->reportFailedHandler = std::move(report);
    }
    std::uint64_t failedHandlers() const { return this->failedHandlerCount.load(std::memory_order_relaxed); }

private:
    void runLoop();

    std::unique_ptr<IoContext> io;
    std::function<void(std::string const &message)> reportFailedHandler; // Not changed while the loop runs.
    std::atomic<std::uint64_t> failedHandlerCount{0};
};

// Runs work items one at a time and in order, on any free thread of the loop. Use it instead of a mutex
// for state that is updated by work that may block on a disk, so that no lock is held meanwhile.
class SerialQueue
{
public:
    explicit SerialQueue(IoRuntime &runtime);
    ~SerialQueue();
    SerialQueue(SerialQueue const &) = delete;
    SerialQueue &operator=(SerialQueue const &) = delete;

    void post(std::function<void()> work);

private:
    struct Strand;
    std::unique_ptr<Strand> strand;
};

} // namespace almondwing
