// An event loop on threads of its own for the time of one test.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibFrontEnd/IoRuntime.h>

#include <chrono>
#include <future>
#include <stdexcept>
#include <thread>

namespace almondwing {

// A port that the kernel picks, so that tests of several trees can run at the same time.
constexpr Endpoint anyLoopbackPort{.address = 0x7f000001, .port = 0};

// Only a hang takes this long; it becomes a failure instead of a stuck program.
constexpr std::chrono::seconds hangLimit{120};

template<typename Value>
Value valueOf(std::future<Value> &&future)
{
    if (future.wait_for(hangLimit) != std::future_status::ready)
        throw std::runtime_error("nothing happened before the limit of the test");
    return future.get();
}

// The hooks of a test must not outlive what they refer to, so this is declared after those values.
class RunningRuntime
{
public:
    RunningRuntime() : loop([this] { this->runtime.run(4); }) { }
    ~RunningRuntime() { this->stop(); }
    RunningRuntime(RunningRuntime const &) = delete;
    RunningRuntime &operator=(RunningRuntime const &) = delete;

    // From then on no handler runs any more.
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
