// A persistent HTTP connection to one server. Calls are sent one at a time, in order.

#pragma once

#include <LibFrontEnd/HttpClient.h>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace almondwing {

class HttpConnection
{
public:
    HttpConnection(IoRuntime &runtime, Endpoint server);
    ~HttpConnection();
    HttpConnection(HttpConnection const &) = delete;
    HttpConnection &operator=(HttpConnection const &) = delete;

    // Ignores call.server. The timeout of a call starts when the calls before it have finished and a
    // connection is open; opening one is limited by the shorter of connectTimeout and timeout. A failed call
    // closes the connection, and the next call opens a new one; see callHttp() for the errors. A call fails
    // at once with ResourceExhausted if `maxPendingCalls` calls are pending.
    void call(HttpCall call, HttpCallback callback);

    // Responses that were not requested are counted in strayResponses() and close the connection. The call
    // during which one arrives fails with Aborted.
    std::uint64_t strayResponses() const;

    // Fails the queued calls with Aborted and cancels the call in progress.
    void close();

    static constexpr std::size_t maxPendingCalls = 64;

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace almondwing
