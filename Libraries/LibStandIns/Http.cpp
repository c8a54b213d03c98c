// Implements the HTTP server and client with Beast.

#include <LibStandIns/Http.h>

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include <fmt/format.h>

namespace almondwing {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

constexpr auto serverTimeout = 60s;

Tcp::endpoint toAsio(Endpoint endpoint)
{
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

Query parseQuery(std::string_view text)
{
    Query query;
    while (!text.empty()) {
        std::string_view const pair = text.substr(0, text.find('&'));
        text.remove_prefix(std::min(pair.size() + 1, text.size()));
        std::size_t const equals = std::min(pair.find('='), pair.size());
        std::string_view const value = pair.substr(std::min(equals + 1, pair.size()));
        query.emplace(pair.substr(0, equals), value);
    }
    return query;
}

// The server side of one client connection.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(Tcp::socket socket, std::shared_ptr<HttpHandler const> sharedHandler)
        : stream(std::move(socket)), handler(std::move(sharedHandler))
    {
    }

    void readRequest()
    {
        this->request = {};
        this->stream.expires_after(serverTimeout);
        http::async_read(
            this->stream, this->buffer, this->request,
            [self = this->shared_from_this()](beast::error_code const &error, std::size_t /*size*/) {
                if (!error)
                    self->answerRequest();
            });
    }

private:
    void answerRequest()
    {
        auto const target = this->request.target();
        auto const result = (*this->handler)(
            HttpRequest::parse(std::string_view(target.data(), target.size()), this->request.body()));
        if (!result) {
            this->waitForClose();
            return;
        }
        this->response = {static_cast<http::status>(result->status), this->request.version()};
        this->response.set(http::field::content_type, "application/json");
        this->response.body() = result->body;
        this->response.keep_alive(this->request.keep_alive());
        this->response.prepare_payload();
        http::async_write(
            this->stream, this->response,
            [self = this->shared_from_this()](beast::error_code const &error, std::size_t /*size*/) {
                if (!error && self->response.keep_alive())
                    self->readRequest();
            });
    }

    // Sends no response. The connection ends when the client closes it or sends a byte, or after a timeout.
    void waitForClose()
    {
        this->stream.async_read_some(
            asio::buffer(this->ignoredByte),
            [self = this->shared_from_this()](beast::error_code const &, std::size_t /*size*/) {});
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::response<http::string_body> response;
    std::shared_ptr<HttpHandler const> handler;
    std::array<char, 1> ignoredByte{};
};

// The client side of one POST request.
class PostCall : public std::enable_shared_from_this<PostCall>
{
public:
    using Done = std::function<void(absl::StatusOr<std::string>)>;

    PostCall(asio::io_context &context, Done doneHook)
        : stream(asio::make_strand(context)), done(std::move(doneHook))
    {
    }

    void start(Endpoint server, std::string const &path, std::string body, Duration timeout)
    {
        this->request = {http::verb::post, path, 11};
        this->request.set(http::field::host, server.toString());
        this->request.set(http::field::content_type, "application/json");
        this->request.body() = std::move(body);
        this->request.prepare_payload();
        this->stream.expires_after(timeout);
        this->stream.async_connect(toAsio(server),
                                   [self = this->shared_from_this()](beast::error_code const &error) {
                                       if (!self->handleError(error))
                                           self->write();
                                   });
    }

private:
    void write()
    {
        http::async_write(
            this->stream, this->request,
            [self = this->shared_from_this()](beast::error_code const &error, std::size_t /*size*/) {
                if (!self->handleError(error))
                    self->read();
            });
    }

    void read()
    {
        http::async_read(
            this->stream, this->buffer, this->response,
            [self = this->shared_from_this()](beast::error_code const &error, std::size_t /*size*/) {
                if (!self->handleError(error))
                    self->finish();
            });
    }

    void finish()
    {
        auto const status = this->response.result_int();
        if (status / 100 == 2)
            this->done(this->response.body());
        else
            this->done(absl::UnavailableError(fmt::format("HTTP status {}", status)));
    }

    // Passes an error to `done` and returns whether there was one.
    bool handleError(beast::error_code const &error)
    {
        if (error)
            this->done(absl::UnavailableError(error.message()));
        return static_cast<bool>(error);
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::response<http::string_body> response;
    Done done;
};

} // namespace

HttpRequest HttpRequest::parse(std::string_view pathAndQuery, std::string body)
{
    std::size_t const question = std::min(pathAndQuery.find('?'), pathAndQuery.size());
    return {.path = std::string(pathAndQuery.substr(0, question)),
            .query = parseQuery(pathAndQuery.substr(std::min(question + 1, pathAndQuery.size()))),
            .body = std::move(body)};
}

struct StandInHttpServer::Implementation : std::enable_shared_from_this<StandInHttpServer::Implementation>
{
    Implementation(asio::io_context &ioContext, HttpHandler handlerHook)
        : context(ioContext), acceptor(asio::make_strand(ioContext)),
          handler(std::make_shared<HttpHandler const>(std::move(handlerHook)))
    {
    }

    void accept()
    {
        this->acceptor.async_accept(
            asio::make_strand(this->context),
            [self = this->shared_from_this()](beast::error_code const &error, Tcp::socket socket) {
                if (error == asio::error::operation_aborted)
                    return;
                if (!error)
                    std::make_shared<Session>(std::move(socket), self->handler)->readRequest();
                self->accept();
            });
    }

    asio::io_context &context;
    Tcp::acceptor acceptor;
    std::shared_ptr<HttpHandler const> handler;
};

absl::StatusOr<std::unique_ptr<StandInHttpServer>> StandInHttpServer::open(EventLoop &loop, Endpoint local,
                                                                           HttpHandler handler)
{
    auto implementation = std::make_shared<Implementation>(loop.ioContext(), std::move(handler));
    beast::error_code error;
    auto &acceptor = implementation->acceptor;
    acceptor.open(Tcp::v4(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(toAsio(local), error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return absl::UnavailableError(fmt::format("can't bind {}: {}", local.toString(), error.message()));
    implementation->accept();
    return std::unique_ptr<StandInHttpServer>(new StandInHttpServer(std::move(implementation)));
}

StandInHttpServer::StandInHttpServer(std::shared_ptr<Implementation> ownedImplementation)
    : implementation(std::move(ownedImplementation))
{
}

StandInHttpServer::~StandInHttpServer() = default;

Endpoint StandInHttpServer::localEndpoint() const
{
    auto const endpoint = this->implementation->acceptor.local_endpoint();
    return {.address = endpoint.address().to_v4().to_uint(), .port = endpoint.port()};
}

void postJson(EventLoop &loop, Endpoint server, std::string const &path, std::string body, Duration timeout,
              std::function<void(absl::StatusOr<std::string>)> done)
{
    std::make_shared<PostCall>(loop.ioContext(), std::move(done))
        ->start(server, path, std::move(body), timeout);
}

} // namespace almondwing
