// Implements persistent connections with Boost.Beast.

#include <LibFrontEnd/IoContext.h>

#include <boost/beast.hpp>

#include <LibFrontEnd/HttpConnection.h>
#include <LibFrontEnd/HttpExchange.h>
#include <LibFrontEnd/HttpServer.h>

#include <absl/cleanup/cleanup.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace almondwing {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

struct PendingCall
{
    HttpCall call;
    HttpCallback callback;
};

} // namespace

// All members except the atomic ones are accessed on the strand only.
struct HttpConnection::State : std::enable_shared_from_this<HttpConnection::State>
{
    State(boost::asio::io_context &context, Endpoint endpoint)
        : strand(boost::asio::make_strand(context)), server(endpoint), hostHeader(endpoint.toString())
    {
    }

    void enqueue(PendingCall pending)
    {
        if (this->isClosed) {
            this->pendingCount.fetch_sub(1);
            pending.callback(absl::AbortedError("the connection is closed"));
            return;
        }
        this->calls.push_back(std::move(pending));
        if (this->calls.size() == 1)
            this->startNextCall();
    }

    void startNextCall()
    {
        if (this->stream && this->hasStrayBytes()) {
            this->strayCount.fetch_add(1, std::memory_order_relaxed);
            this->disconnect();
        }
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
            [self = this->shared_from_this()](beast::error_code error) { self->handleConnected(error); });
    }

    // Whether the server has sent bytes after the response of the previous call.
    bool hasStrayBytes()
    {
        beast::error_code error;
        return this->buffer.size() > 0 || this->stream->socket().available(error) > 0;
    }

    void handleConnected(beast::error_code error)
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
        HttpCall const &call = this->calls.front().call;
        this->request = makeRequestMessage(call, this->hostHeader, ConnectionUse::Persistent);
        this->callNumber = std::to_string(++this->callCount);
        this->request.set(std::string(callNumberHeader), this->callNumber);
        this->callDeadline = IoRuntime::now() + std::max(call.timeout, call.transferTimeout);
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
        this->readSome();
    }

    void readSome()
    {
        http::async_read_some(*this->stream, this->buffer, *this->parser,
                              [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                                  if (error)
                                      self->fail(CallPhase::Connected, error);
                                  else if (self->parser->is_done())
                                      self->complete();
                                  else
                                      self->readMore();
                              });
    }

    void readMore()
    {
        HttpCall const &call = this->calls.front().call;
        if (call.transferTimeout > call.timeout)
            this->stream->expires_after(
                std::clamp(this->callDeadline - IoRuntime::now(), Duration(0), call.timeout));
        this->readSome();
    }

    // A response without a call number comes from a server that doesn't repeat it. The next call then uses
    // another connection, because a second copy could not be told from its response.
    void complete()
    {
        auto const header = this->parser->get()[std::string(callNumberHeader)];
        std::string_view const number(header.data(), header.size());
        if (!number.empty() && number != this->callNumber) {
            this->strayCount.fetch_add(1, std::memory_order_relaxed);
            this->finish(absl::AbortedError(
                fmt::format("HTTP call to {}: the response belongs to another call", this->hostHeader)));
            return;
        }
        HttpResponse response = takeResponse(this->parser->get());
        if (!this->parser->get().keep_alive() || number.empty())
            this->disconnect();
        this->finish(std::move(response));
    }

    void fail(CallPhase phase, beast::error_code error)
    {
        this->finish(failureStatus(this->calls.front().call, this->hostHeader, phase, error));
    }

    void finish(absl::StatusOr<HttpResponse> response)
    {
        if (!response.ok())
            this->disconnect();
        PendingCall const finished = std::move(this->calls.front());
        this->calls.pop_front();
        this->pendingCount.fetch_sub(1);
        // The next call starts even if the callback throws.
        absl::Cleanup const startNext = [this] {
            if (!this->calls.empty() && !this->isClosed)
                this->startNextCall();
        };
        finished.callback(std::move(response));
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
            PendingCall const last = std::move(this->calls.back());
            this->calls.pop_back();
            this->pendingCount.fetch_sub(1);
            last.callback(absl::AbortedError("the connection is closed"));
        }
    }

    boost::asio::strand<boost::asio::io_context::executor_type> strand;
    Endpoint server;
    std::string hostHeader;
    std::atomic<std::uint64_t> strayCount{0};
    std::atomic<std::size_t> pendingCount{0}; // Calls without a result, including the one in progress.
    std::deque<PendingCall> calls; // The first one is in progress.
    std::optional<beast::tcp_stream> stream; // Absent while there is no connection.
    bool isClosed = false;
    std::uint64_t callCount = 0;
    std::string callNumber; // Of the call in progress.
    Timestamp callDeadline; // The end of transferTimeout.
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

void HttpConnection::call(HttpCall call, HttpCallback callback)
{
    if (this->state->pendingCount.fetch_add(1) >= maxPendingCalls) {
        this->state->pendingCount.fetch_sub(1);
        callback(absl::ResourceExhaustedError("too many calls are pending on the connection"));
        return;
    }
    auto const pending = std::make_shared<PendingCall>(PendingCall{std::move(call), std::move(callback)});
    boost::asio::post(this->state->strand,
                      [state = this->state, pending] { state->enqueue(std::move(*pending)); });
}

std::uint64_t HttpConnection::strayResponses() const
{
    return this->state->strayCount.load(std::memory_order_relaxed);
}

void HttpConnection::close()
{
    boost::asio::post(this->state->strand, [state = this->state] { state->close(); });
}

} // namespace almondwing
