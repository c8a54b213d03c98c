// Implements the check of a listener with Boost.Asio.

#include <LibFrontEnd/IoContext.h>

#include <boost/beast.hpp>

#include <LibFrontEnd/ListenerCheck.h>

namespace almondwing {

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

} // namespace almondwing
