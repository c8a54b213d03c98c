// Implements HTTP calls with Boost.Beast.

#include <LibFrontEnd/IoContext.h>

#include <boost/beast.hpp>

#include <LibFrontEnd/HttpClient.h>
#include <LibFrontEnd/HttpServer.h>

#include <fmt/format.h>

#include <memory>

namespace almondwing {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(boost::asio::io_context &context, HttpCall httpCall, HttpResult resultHook)
        : stream(boost::asio::make_strand(context)), call(std::move(httpCall)), result(std::move(resultHook))
    {
        this->parser.body_limit(largestHttpBody);
    }

    void start()
    {
        this->stream.expires_after(this->call.timeout);
        this->stream.async_connect(toAsio<tcp>(this->call.server),
                                   [self = this->shared_from_this()](beast::error_code error) {
                                       if (error)
                                           self->fail(error);
                                       else {
                                           self->isConnected = true;
                                           self->write();
                                       }
                                   });
    }

private:
    void write()
    {
        this->request.method(this->call.method == HttpMethod::Post ? http::verb::post : http::verb::get);
        this->request.target(this->call.target);
        this->request.version(11);
        this->request.set(http::field::host, this->call.server.toString());
        this->request.set(http::field::content_type, "application/json");
        if (!this->call.bearerToken.empty())
            this->request.set(http::field::authorization, "Bearer " + this->call.bearerToken);
        this->request.keep_alive(false);
        this->request.body() = this->call.body;
        this->request.prepare_payload();
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

    void finish()
    {
        auto const &message = this->parser.get();
        auto const type = message[http::field::content_type];
        this->result(HttpResponse{.status = message.result_int(),
                                  .contentType = std::string(type.data(), type.size()),
                                  .body = message.body()});
    }

    void fail(beast::error_code error)
    {
        std::string const text = fmt::format("HTTP call to {}{}: {}", this->call.server.toString(),
                                             this->call.target, error.message());
        if (!this->isConnected)
            this->result(absl::UnavailableError(text));
        else if (error == beast::error::timeout)
            this->result(absl::DeadlineExceededError(text));
        else
            this->result(absl::AbortedError(text));
    }

    beast::tcp_stream stream;
    bool isConnected = false; // From then on the server may have got the request.
    HttpCall call;
    HttpResult result;
    http::request<http::string_body> request;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
};

} // namespace

void callHttp(IoRuntime &runtime, HttpCall const &call, HttpResult result)
{
    std::make_shared<Exchange>(runtime.context().asio, call, std::move(result))->start();
}

} // namespace almondwing
