// Implements kept connections with Boost.Beast.

#include <LibFrontEnd/IoContext.h>

#include <boost/beast.hpp>

#include <LibFrontEnd/HttpConnection.h>
#include <LibFrontEnd/HttpExchange.h>
#include <LibFrontEnd/HttpServer.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <optional>

namespace almondwing {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

struct WaitingCall
{
    HttpCall call;
    HttpCallback result;
};

} // namespace

// All members but `waitingCount` are used on the strand only.
struct HttpConnection::State : std::enable_shared_from_this<HttpConnection::State>
{
    State(boost::asio::io_context &context, Endpoint endpoint)
        : strand(boost::asio::make_strand(context)), server(endpoint), hostHeader(endpoint.toString())
    {
    }

    void add(WaitingCall waiting)
    {
        if (this->isClosed) {
            this->waitingCount.fetch_sub(1);
            waiting.result(absl::AbortedError("the connection is closed"));
            return;
        }
        this->calls.push_back(std::move(waiting));
        if (this->calls.size() == 1)
            this->begin();
    }

    void begin()
    {
        if (this->stream) {
            this->stream->expires_after(this->calls.front().call.timeout);
            this->write();
            return;
        }
        this->stream.emplace(this->strand);
        HttpCall const &call = this->calls.front().call;
        this->stream->expires_after(std::min(call.connectTimeout, call.timeout));
        this->stream->async_connect(
            toAsio<tcp>(this->server),
            [self = this->shared_from_this()](beast::error_code error) { self->noteConnected(error); });
    }

    void noteConnected(beast::error_code error)
    {
        if (error) {
            this->fail(CallPhase::Connecting, error);
            return;
        }
        beast::error_code ignored;
        this->stream->socket().set_option(tcp::no_delay(true), ignored);
        this->stream->expires_after(this->calls.front().call.timeout);
        this->write();
    }

    void write()
    {
        this->request = makeRequestMessage(this->calls.front().call, this->hostHeader, ConnectionUse::Kept);
        http::async_write(*this->stream, this->request,
                          [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                              if (error)
                                  self->fail(CallPhase::Connected, error);
                              else
                                  self->read();
                          });
    }

    void read()
    {
        this->parser.emplace();
        this->parser->body_limit(maxHttpBodyBytes);
        http::async_read(*this->stream, this->buffer, *this->parser,
                         [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                             if (error)
                                 self->fail(CallPhase::Connected, error);
                             else
                                 self->complete();
                         });
    }

    void complete()
    {
        HttpResponse response = takeResponse(this->parser->get());
        if (!this->parser->get().keep_alive())
            this->disconnect();
        this->finish(std::move(response));
    }

    void fail(CallPhase phase, beast::error_code error)
    {
        this->finish(callFailure(this->calls.front().call, this->hostHeader, phase, error));
    }

    void finish(absl::StatusOr<HttpResponse> response)
    {
        if (!response.ok())
            this->disconnect();
        WaitingCall const ended = std::move(this->calls.front());
        this->calls.pop_front();
        this->waitingCount.fetch_sub(1);
        ended.result(std::move(response));
        if (!this->calls.empty() && !this->isClosed)
            this->begin();
    }

    void disconnect()
    {
        this->stream.reset();
        this->buffer.clear();
    }

    void close()
    {
        this->isClosed = true;
        // The call in progress fails when its operation is cancelled.
        if (this->stream)
            this->stream->cancel();
        while (this->calls.size() > 1) {
            WaitingCall const last = std::move(this->calls.back());
            this->calls.pop_back();
            this->waitingCount.fetch_sub(1);
            last.result(absl::AbortedError("the connection is closed"));
        }
    }

    boost::asio::strand<boost::asio::io_context::executor_type> strand;
    Endpoint server;
    std::string hostHeader;
    std::atomic<std::size_t> waitingCount{0}; // Calls without a result.
    std::deque<WaitingCall> calls; // The first one is in progress.
    std::optional<beast::tcp_stream> stream; // Absent while there is no connection.
    bool isClosed = false;
    HttpRequestMessage request;
    beast::flat_buffer buffer;
    std::optional<http::response_parser<http::string_body>> parser;
};

HttpConnection::HttpConnection(IoRuntime &runtime, Endpoint server)
    : state(std::make_shared<State>(runtime.context().asio, server))
{
}

HttpConnection::~HttpConnection()
{
    this->close();
}

void HttpConnection::call(HttpCall call, HttpCallback result)
{
    if (this->state->waitingCount.fetch_add(1) >= maxPendingCalls) {
        this->state->waitingCount.fetch_sub(1);
        result(absl::ResourceExhaustedError("too many calls wait for the connection"));
        return;
    }
    auto const waiting = std::make_shared<WaitingCall>(WaitingCall{std::move(call), std::move(result)});
    boost::asio::post(this->state->strand,
                      [state = this->state, waiting] { state->add(std::move(*waiting)); });
}

void HttpConnection::close()
{
    boost::asio::post(this->state->strand, [state = this->state] { state->close(); });
}

} // namespace almondwing
