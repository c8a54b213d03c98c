// Implements HTTP calls with Boost.Beast.

#include <LibFrontEnd/IoContext.h>

#include <boost/beast.hpp>

#include <LibFrontEnd/HttpClient.h>
#include <LibFrontEnd/HttpExchange.h>
#include <LibFrontEnd/HttpServer.h>

#include <memory>

namespace almondwing {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(boost::asio::io_context &context, HttpCall httpCall, HttpCallback resultHook)
        : stream(boost::asio::make_strand(context)), call(std::move(httpCall)), result(std::move(resultHook))
    {
        this->parser.body_limit(maxHttpBodyBytes);
    }

    void start()
    {
        this->stream.expires_after(this->call.timeout);
        this->stream.async_connect(toAsio<tcp>(this->call.server),
                                   [self = this->shared_from_this()](beast::error_code error) {
                                       if (error)
                                           self->fail(error);
                                       else {
                                           self->phase = CallPhase::Connected;
                                           self->write();
                                       }
                                   });
    }

private:
    void write()
    {
        this->request = makeRequestMessage(this->call, this->call.server.toString(), ConnectionUse::Once);
        http::async_write(this->stream, this->request,
                          [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                              if (error)
                                  self->fail(error);
                              else
                                  self->read();
                          });
    }

    void read()
    {
        http::async_read(this->stream, this->buffer, this->parser,
                         [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                             if (error)
                                 self->fail(error);
                             else
                                 self->finish();
                         });
    }

    void finish() { this->result(takeResponse(this->parser.get())); }

    void fail(beast::error_code error)
    {
        this->result(callFailure(this->call, this->call.server.toString(), this->phase, error));
    }

    beast::tcp_stream stream;
    CallPhase phase = CallPhase::Connecting;
    HttpCall call;
    HttpCallback result;
    HttpRequestMessage request;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
};

} // namespace

void callHttp(IoRuntime &runtime, HttpCall const &call, HttpCallback result)
{
    std::make_shared<Exchange>(runtime.context().asio, call, std::move(result))->start();
}

} // namespace almondwing
