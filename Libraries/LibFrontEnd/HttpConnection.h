// A connection to one server that is kept between calls. Calls go out one after the other.

#pragma once

#include <LibFrontEnd/HttpClient.h>

#include <cstddef>
#include <memory>

namespace almondwing {

class HttpConnection
{
public:
    HttpConnection(IoRuntime &runtime, Endpoint server);
    ~HttpConnection();
    HttpConnection(HttpConnection const &) = delete;
    HttpConnection &operator=(HttpConnection const &) = delete;

    // The server of the call is not used. Its timeout begins when the calls before it have ended. A failed
    // call closes the connection, and the next one opens another; see callHttp for the errors. With more than
    // `maxPendingCalls` calls ahead it fails at once with ResourceExhausted.
    void call(HttpCall call, HttpCallback result);

    // Fails the calls that wait, with Aborted.
    void close();

    static constexpr std::size_t maxPendingCalls = 64;

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace almondwing
