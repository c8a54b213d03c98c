// Implements the HTTP server with Boost.Beast.

#include <LibFrontEnd/IoContext.h>

#include <boost/beast.hpp>

#include <LibFrontEnd/HttpExchange.h>
#include <LibFrontEnd/HttpServer.h>

#include <fmt/format.h>

#include <atomic>
#include <exception>
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

constexpr unsigned firstErrorStatus = 400;
constexpr unsigned statusConflict = 409;
constexpr unsigned firstServerErrorStatus = 500;

// The state that a server shares with its connections, because connections may outlive the server.
struct SharedState
{
    HttpServerHooks hooks;
    HttpServerLimits limits;
    std::atomic<std::size_t> connections{0};
    std::atomic<std::uint64_t> answered{0};
    std::atomic<std::uint64_t> errorResponses{0};
    std::atomic<std::uint64_t> malformed{0};
    std::atomic<std::uint64_t> connectionsOverLimit{0};
};

// A client may close its connection between two requests; closing it within one makes that request malformed.
bool isMalformed(beast::error_code error)
{
    return error.category() == beast::error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream;
}

// One connection. All its handlers run on the strand of its stream.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, std::shared_ptr<SharedState> sharedState)
        : stream(std::move(socket)), shared(std::move(sharedState))
    {
        boost::system::error_code ignored;
        auto const remote = this->stream.socket().remote_endpoint(ignored);
        this->client = ignored ? std::string("a closed connection") : fromAsio(remote).toString();
    }

    ~Session() { this->shared->connections.fetch_sub(1); }
    Session(Session const &) = delete;
    Session &operator=(Session const &) = delete;

    void read()
    {
        this->parser.emplace();
        this->parser->body_limit(maxHttpBodyBytes);
        this->stream.expires_after(std::chrono::duration_cast<std::chrono::seconds>(httpIdleTimeout));
        http::async_read(
            this->stream, this->buffer, *this->parser,
            [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                if (!error)
                    self->handle();
                else if (error == http::error::body_limit)
                    self->write(HttpResponse{.status = 413, .body = "{\"error\":\"the body is too large\"}"});
                else if (isMalformed(error))
                    self->reportMalformed(error);
            });
    }

private:
    void reportMalformed(beast::error_code error)
    {
        this->shared->malformed.fetch_add(1, std::memory_order_relaxed);
        this->reportInvalidInput(fmt::format("malformed input from {}: {}", this->client, error.message()));
    }

    void reportInvalidInput(std::string const &text)
    {
        if (this->shared->hooks.reportInvalidInput)
            this->shared->hooks.reportInvalidInput(text);
    }

    void countResponse(HttpResponse const &response)
    {
        if (response.status < firstErrorStatus) {
            this->shared->answered.fetch_add(1, std::memory_order_relaxed);
            return;
        }
        this->shared->errorResponses.fetch_add(1, std::memory_order_relaxed);
        if (response.status == statusConflict || response.status >= firstServerErrorStatus)
            return;
        auto const target = this->parser->get().target();
        this->reportInvalidInput(fmt::format("{} from {}: status {}, {}",
                                             std::string_view(target.data(), target.size()), this->client,
                                             response.status, response.body));
    }

    void handle()
    {
        auto const &received = this->parser->get();
        if (received.method() != http::verb::get && received.method() != http::verb::post) {
            this->write(
                HttpResponse{.status = 405, .body = "{\"error\":\"only GET and POST are supported\"}"});
            return;
        }
        this->responseState = ResponseState::InHandler;
        std::uint64_t const number = ++this->requestCount;
        try {
            this->shared->hooks.handle(
                toRequest(received), [self = this->shared_from_this(), number](HttpResponse response) {
                    // dispatch() writes a response that is given within the handler at once, without another
                    // iteration of the event loop.
                    boost::asio::dispatch(self->stream.get_executor(),
                                          [self, number, response = std::move(response)] {
                                              self->writeFirst(number, response);
                                          });
                });
        } catch (std::exception const &error) {
            this->handleFailure(number, error.what());
        }
        // A deferred response has no timeout; the handler may wait, for example, for a change to be
        // committed.
        if (this->responseState == ResponseState::InHandler) {
            this->responseState = ResponseState::Deferred;
            this->stream.expires_never();
        }
    }

    // An unexpected error in the handler ends this connection only.
    void handleFailure(std::uint64_t number, std::string const &error)
    {
        this->reportInvalidInput(
            fmt::format("a request from {} caused an unexpected error: {}", this->client, error));
        this->isFailed = true;
        this->writeFirst(number, HttpResponse{.status = 500, .body = "{\"error\":\"unexpected error\"}"});
    }

    // Drops a second response to a request. The connection may have been used for another request since, and
    // the client would take it for the response to that one.
    void writeFirst(std::uint64_t number, HttpResponse const &response)
    {
        if (number != this->requestCount || this->responseState == ResponseState::Sent) {
            this->reportInvalidInput(
                fmt::format("a second response to a request from {} was dropped", this->client));
            return;
        }
        this->write(response);
    }

    void write(HttpResponse const &response)
    {
        this->countResponse(response);
        this->message.emplace(http::int_to_status(response.status), 11);
        this->message->set(http::field::content_type, response.contentType);
        if (!response.location.empty())
            this->message->set(http::field::location, response.location);
        this->message->body() = response.body;
        std::string const callNumber(callNumberHeader);
        if (auto const number = this->parser->get().find(callNumber); number != this->parser->get().end())
            this->message->set(callNumber, number->value());
        this->message->keep_alive(!this->isFailed && this->parser->is_done()
                                  && this->parser->get().keep_alive());
        this->message->prepare_payload();
        this->stream.expires_after(std::chrono::duration_cast<std::chrono::seconds>(httpIdleTimeout));
        this->responseState = ResponseState::Sent;
        http::async_write(this->stream, *this->message,
                          [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                              if (!error && self->message->keep_alive())
                                  self->read();
                          });
    }

    // Whether the current request is answered.
    enum class ResponseState : std::uint8_t { Sent, InHandler, Deferred };

    beast::tcp_stream stream;
    ResponseState responseState = ResponseState::Sent;
    std::shared_ptr<SharedState> shared;
    std::string client;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    std::optional<http::response<http::string_body>> message;
    std::uint64_t requestCount = 0; // Requests that were passed to the handler.
    bool isFailed = false; // The handler threw; the connection ends after the response.
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
        if (this->shared->connections.fetch_add(1) >= this->shared->limits.connections) {
            this->shared->connections.fetch_sub(1);
            this->shared->connectionsOverLimit.fetch_add(1, std::memory_order_relaxed);
            return;
        }
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        std::make_shared<Session>(std::move(socket), this->shared)->read();
    }

    boost::asio::io_context &context;
    tcp::acceptor acceptor;
    std::shared_ptr<SharedState> shared = std::make_shared<SharedState>();
};

absl::StatusOr<std::shared_ptr<HttpServer>> HttpServer::open(IoRuntime &runtime, Endpoint local,
                                                             HttpServerHooks hooks, HttpServerLimits limits)
{
    auto state = std::make_shared<State>(runtime.context().asio);
    state->shared->hooks = std::move(hooks);
    state->shared->limits = limits;
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

HttpServerCounters HttpServer::counters() const
{
    SharedState const &shared = *this->state->shared;
    return HttpServerCounters{.answered = shared.answered,
                              .errorResponses = shared.errorResponses,
                              .malformed = shared.malformed,
                              .connectionsOverLimit = shared.connectionsOverLimit};
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
