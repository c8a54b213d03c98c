// Implements the check of a listener with Boost.Asio.

#include <LibFrontEnd/IoContext.h>

#include <boost/beast.hpp>

#include <LibFrontEnd/ListenerCheck.h>

#include <atomic>
#include <memory>
#include <utility>

namespace almondwing {

namespace {

// Overlapping checks of one endpoint, shared by their callbacks.
struct OverlappingChecks
{
    std::atomic<int> pending{0};
    std::atomic<bool> isSettled{false};
    std::function<void(ListenerState)> result;

    void finishOne(ListenerState state)
    {
        bool const isLast = this->pending.fetch_sub(1) == 1;
        if ((state != ListenerState::NoAnswer || isLast) && !this->isSettled.exchange(true))
            this->result(state);
    }
};

} // namespace

void checkListener(IoRuntime &runtime, Endpoint endpoint, Duration timeout,
                   std::function<void(ListenerState)> result)
{
    using boost::asio::ip::tcp;
    auto const stream =
        std::make_shared<boost::beast::tcp_stream>(boost::asio::make_strand(runtime.context().asio));
    stream->expires_after(timeout);
    stream->async_connect(toAsio<tcp>(endpoint),
                          [stream, result = std::move(result)](boost::system::error_code error) {
                              if (!error)
                                  result(ListenerState::Accepted);
                              else if (error == boost::asio::error::connection_refused)
                                  result(ListenerState::Refused);
                              else
                                  result(ListenerState::NoAnswer);
                          });
}

void checkListenerRepeatedly(IoRuntime &runtime, Endpoint endpoint, RepeatedCheck check,
                             std::function<void(ListenerState)> result)
{
    auto const checks = std::make_shared<OverlappingChecks>();
    checks->result = std::move(result);
    std::vector<Duration> delays;
    for (Duration delay = 0ms; delay < check.timeout; delay += check.retryInterval)
        delays.push_back(delay);
    checks->pending = static_cast<int>(delays.size());
    for (Duration const delay : delays)
        runtime.runAfter(delay, [&runtime, endpoint, checks, timeLeft = check.timeout - delay] {
            if (checks->isSettled) {
                checks->finishOne(ListenerState::NoAnswer);
                return;
            }
            checkListener(runtime, endpoint, timeLeft,
                          [checks](ListenerState state) { checks->finishOne(state); });
        });
}

} // namespace almondwing
