// Implements the HTTP server with Boost.Beast.

#include <LibFrontEnd/IoContext.h>

#include <boost/beast.hpp>

#include <LibFrontEnd/HttpServer.h>

#include <fmt/format.h>

#include <atomic>
#include <optional>

namespace almondwing {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

HttpRequest toRequest(http::request<http::string_body> const &message)
{
    auto const target = message.target();
    HttpRequest request = parseRequestTarget(std::string_view(target.data(), target.size()));
    request.method = message.method() == http::verb::post ? HttpMethod::Post : HttpMethod::Get;
    constexpr std::string_view scheme = "Bearer ";
    auto const authorization = message[http::field::authorization];
    std::string_view const header(authorization.data(), authorization.size());
    if (header.starts_with(scheme))
        request.bearerToken = std::string(header.substr(scheme.size()));
    request.body = message.body();
    return request;
}

// One connection. All its handlers run on the strand of its stream.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, HttpHandler const &requestHandler,
            std::shared_ptr<std::atomic<std::size_t>> count)
        : stream(std::move(socket)), handler(requestHandler), connectionCount(std::move(count))
    {
    }

    ~Session() { this->connectionCount->fetch_sub(1); }
    Session(Session const &) = delete;
    Session &operator=(Session const &) = delete;

    void read()
    {
        this->parser.emplace();
        this->parser->body_limit(largestHttpBody);
        this->stream.expires_after(std::chrono::duration_cast<std::chrono::seconds>(httpIdleTimeout));
        http::async_read(
            this->stream, this->buffer, *this->parser,
            [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                if (!error)
                    self->handle();
                else if (error == http::error::body_limit)
                    self->write(HttpResponse{.status = 413, .body = "{\"error\":\"the body is too large\"}"});
            });
    }

private:
    void handle()
    {
        auto const &received = this->parser->get();
        if (received.method() != http::verb::get && received.method() != http::verb::post) {
            this->write(
                HttpResponse{.status = 405, .body = "{\"error\":\"only GET and POST are supported\"}"});
            return;
        }
        // The handler may take its time, for example until a change is committed.
        this->stream.expires_never();
        this->handler(toRequest(received), [self = this->shared_from_this()](HttpResponse response) {
            boost::asio::post(self->stream.get_executor(),
                              [self, response = std::move(response)] { self->write(response); });
        });
    }

    void write(HttpResponse const &response)
    {
        this->message.emplace(http::int_to_status(response.status), 11);
        this->message->set(http::field::content_type, response.contentType);
        this->message->body() = response.body;
        this->message->keep_alive(this->parser->is_done() && this->parser->get().keep_alive());
        this->message->prepare_payload();
        this->stream.expires_after(std::chrono::duration_cast<std::chrono::seconds>(httpIdleTimeout));
        http::async_write(this->stream, *this->message,
                          [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                              if (!error && self->message->keep_alive())
                                  self->read();
                          });
    }

    beast::tcp_stream stream;
    HttpHandler handler;
    std::shared_ptr<std::atomic<std::size_t>> connectionCount;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    std::optional<http::response<http::string_body>> message;
};

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State>
{
    explicit State(boost::asio::io_context &ioContext) : context(ioContext), acceptor(ioContext) { }

    void accept()
    {
        this->acceptor.async_accept(
            boost::asio::make_strand(this->context),
            [self = this->shared_from_this()](beast::error_code error, tcp::socket socket) {
                if (error == boost::asio::error::operation_aborted)
                    return;
                if (!error)
                    self->startSession(std::move(socket));
                self->accept();
            });
    }

    void startSession(tcp::socket socket)
    {
        if (this->connectionCount->fetch_add(1) >= maximumHttpConnections) {
            this->connectionCount->fetch_sub(1);
            return;
        }
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        std::make_shared<Session>(std::move(socket), this->handler, this->connectionCount)->read();
    }

    boost::asio::io_context &context;
    tcp::acceptor acceptor;
    HttpHandler handler;
    std::shared_ptr<std::atomic<std::size_t>> connectionCount = std::make_shared<std::atomic<std::size_t>>(0);
};

absl::StatusOr<std::shared_ptr<HttpServer>> HttpServer::open(IoRuntime &runtime, Endpoint local,
                                                             HttpHandler handler)
{
    auto state = std::make_shared<State>(runtime.context().asio);
    state->handler = std::move(handler);
    beast::error_code error;
    state->acceptor.open(tcp::v4(), error);
    if (!error)
        state->acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    if (!error)
        state->acceptor.bind(toAsio<tcp>(local), error);
    if (!error)
        state->acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return absl::UnavailableError(
            fmt::format("can't listen on TCP {}: {}", local.toString(), error.message()));
    state->accept();
    return std::shared_ptr<HttpServer>(new HttpServer(std::move(state)));
}

HttpServer::HttpServer(std::shared_ptr<State> opened) : state(std::move(opened)) { }

HttpServer::~HttpServer()
{
    this->close();
}

Endpoint HttpServer::localEndpoint() const
{
    return fromAsio(this->state->acceptor.local_endpoint());
}

void HttpServer::close()
{
    auto const keep = this->state;
    boost::asio::post(keep->context, [keep] {
        beast::error_code ignored;
        keep->acceptor.cancel(ignored);
    });
}

} // namespace almondwing
