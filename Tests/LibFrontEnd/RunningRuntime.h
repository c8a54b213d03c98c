// An event loop that runs on its own threads during one test.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibFrontEnd/IoRuntime.h>

#include <chrono>
#include <future>
#include <stdexcept>
#include <thread>

namespace almondwing {

// The kernel picks the port, so that several test programs can run at the same time.
constexpr Endpoint anyLoopbackPort{.address = 0x7f000001, .port = 0};

// Waits are limited to this time, so that a hang fails the test instead of blocking the program.
constexpr std::chrono::seconds hangLimit{120};

template<typename Value>
Value valueOf(std::future<Value> &&future)
{
    if (future.wait_for(hangLimit) != std::future_status::ready)
        throw std::runtime_error("timed out waiting for a result");
    return future.get();
}

// Declare it after the values that the hooks of the test refer to, because the hooks must not outlive them.
class RunningRuntime
{
public:
    RunningRuntime() : loop([this] { this->runtime.run(4); }) { }
    ~RunningRuntime() { this->stop(); }
    RunningRuntime(RunningRuntime const &) = delete;
    RunningRuntime &operator=(RunningRuntime const &) = delete;

    // Waits for the threads; no handler runs afterwards.
    void stop()
    {
        this->runtime.stop();
        if (this->loop.joinable())
            this->loop.join();
    }

    IoRuntime runtime;

private:
    std::jthread loop;
};

} // namespace almondwing
