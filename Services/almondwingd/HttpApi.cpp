// Implements the HTTP API.

#include "HttpApi.h"

#include "RecordsJson.h"
#include "StatusJson.h"

#include <LibConfigurationJson/ChangeJson.h>
#include <LibConfigurationJson/StateJson.h>
#include <LibFrontEnd/HttpClient.h>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <ctime>
#include <map>
#include <mutex>

namespace almondwing {

namespace {

constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusUnauthorized = 401;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusConflict = 409;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusGatewayTimeout = 504;

// A change waits for a majority. If the leader is lost, a replica starts an election after 3 to 6 s.
constexpr Duration changeTimeout = 8s;
constexpr Duration coverageTimeout = 1s;
constexpr std::size_t defaultAuditLimit = 100;

// Marks a request that another instance forwarded, so that it is not forwarded again.
constexpr char const *forwardedParameter = "passedOn";

HttpResponse errorResponse(unsigned status, std::string_view text)
{
    return HttpResponse{.status = status, .body = formatError(text)};
}

std::uint64_t parseNumber(std::string const &text, std::uint64_t fallback)
{
    std::uint64_t number = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc{} && end == text.data() + text.size() ? number : fallback;
}

std::string joinErrors(InputErrors const &errors)
{
    std::string text;
    for (InputError const &error : errors)
        text += (text.empty() ? "" : "\n") + error.toString();
    return text;
}

HttpResponse outcomeResponse(ChangeOutcome const &outcome)
{
    unsigned status = 200;
    if (std::holds_alternative<ChangeConflict>(outcome))
        status = statusConflict;
    else if (std::holds_alternative<ChangeRejected>(outcome))
        status = statusBadRequest;
    return HttpResponse{.status = status, .body = formatChangeOutcome(outcome)};
}

std::string_view rejectionText(AnnouncementRejection reason)
{
    switch (reason) {
    case AnnouncementRejection::InvalidName:
        return "the target name is not valid";
    case AnnouncementRejection::UnknownService:
        return "the service is not in the configuration";
    case AnnouncementRejection::WrongFailureDomain:
        return "the target is in another failure domain than this instance";
    case AnnouncementRejection::NameClash:
        return "another target with this name is active at a different address";
    case AnnouncementRejection::OutdatedStartMark:
        return "a newer process of this target has already announced itself";
    case AnnouncementRejection::NotServing:
        return "this instance is starting or stopping";
    }
    return "unknown reason";
}

std::string forwardedPath(HttpRequest const &request)
{
    std::string path = request.path + "?" + forwardedParameter + "=1";
    for (auto const &[name, value] : request.query)
        path += "&" + encodeQueryValue(name) + "=" + encodeQueryValue(value);
    return path;
}

} // namespace

HttpApi::HttpApi(IoRuntime &ioRuntime, DaemonSettings const &daemonSettings, Instance &servedInstance,
                 std::shared_ptr<ControlReplica> controlReplica, Metrics const &shownMetrics)
    : runtime(ioRuntime), settings(daemonSettings), instance(servedInstance),
      control(std::move(controlReplica)), metrics(shownMetrics), operators(daemonSettings.operators)
{
}

void HttpApi::handle(HttpRequest const &request, HttpResponder const &respond)
{
    bool const isPost = request.method == HttpMethod::Post;
    std::string const &path = request.path;
    if (isPost && path == "/v1/announce")
        this->handleAnnouncement(request, respond);
    else if (isPost && path == "/v1/changes")
        this->handleChange(request, respond);
    else if (isPost && path == "/v1/replication" && this->control != nullptr) {
        this->control->handleReplicationMessage(request.body);
        respond(HttpResponse{.body = "{}"});
    } else if (isPost)
        respond(errorResponse(statusNotFound, fmt::format("there is no POST {}", path)));
    else if (path == "/v1/configuration")
        respond(HttpResponse{.body = formatConfiguration(*this->instance.state().configuration.read())});
    else if (path == "/v1/version")
        respond(HttpResponse{.body = formatVersion(this->instance.state().configuration.read()->version)});
    else if (path == "/v1/coverage")
        this->handleCoverage(request, respond);
    else if (path == "/v1/records")
        respond(HttpResponse{.body = formatClusterRecords(ClusterRecords::of(this->instance.state()))});
    else if (path == "/v1/status")
        respond(HttpResponse{.body = formatStatus(this->instance,
                                                  this->control == nullptr
                                                      ? std::nullopt
                                                      : std::optional(this->control->status()))});
    else if (path == "/v1/explain")
        respond(this->explain(request));
    else if (path == "/v1/audit")
        this->handleAudit(request, respond);
    else if (path == "/metrics")
        respond(HttpResponse{.contentType = "text/plain; version=0.0.4", .body = this->metrics.text()});
    else
        respond(errorResponse(statusNotFound, fmt::format("there is no GET {}", path)));
}

void HttpApi::handleAnnouncement(HttpRequest const &request, HttpResponder const &respond)
{
    auto const announcement = parseAnnouncement(request.body);
    if (!announcement.ok()) {
        respond(errorResponse(statusBadRequest, std::string(announcement.status().message())));
        return;
    }
    auto const outcome = this->instance.handleAnnouncement(*announcement, IoRuntime::now());
    if (auto const *const redirected = std::get_if<AnnouncementRedirected>(&outcome)) {
        auto const member = this->instance.state().members.read(redirected->dispatcher);
        if (member)
            respond(HttpResponse{
                .body = fmt::format(R"({{"redirect":"{}"}})", member->value.httpEndpoint.toString())});
        else
            respond(
                errorResponse(statusUnavailable, "the dispatcher of the target is not known yet; try again"));
        return;
    }
    if (auto const *const rejected = std::get_if<AnnouncementRejected>(&outcome))
        respond(errorResponse(statusConflict, rejectionText(rejected->reason)));
    else
        respond(HttpResponse{.body = R"({"accepted":true})"});
}

// Alive instances come first, so that a frozen one costs no timeout once membership has detected it.
std::vector<Endpoint> HttpApi::otherControlInstances() const
{
    std::vector<Endpoint> alive;
    std::vector<Endpoint> others;
    for (PeerSettings const &peer : this->settings.peers) {
        if (peer.role != ControlRole::Control)
            continue;
        auto const member = this->instance.state().members.read(InstanceId::fromName(peer.name));
        bool const isAlive = member && member->value.state == MemberState::Alive;
        (isAlive ? alive : others).push_back(peer.http);
    }
    alive.insert(alive.end(), others.begin(), others.end());
    return alive;
}

void HttpApi::handleChange(HttpRequest const &request, HttpResponder const &respond)
{
    auto const operatorName = this->operators.findByToken(request.bearerToken);
    if (!operatorName) {
        respond(errorResponse(statusUnauthorized,
                              "the token matches no operator in the settings of this instance; "
                              "nothing was changed"));
        return;
    }
    auto parsed = parseChangeRequest(request.body);
    if (auto const *const errors = std::get_if<InputErrors>(&parsed)) {
        respond(errorResponse(statusBadRequest, joinErrors(*errors)));
        return;
    }
    auto &change = std::get<ChangeRequest>(parsed);
    change.operatorName = *operatorName;
    change.submittedAt = std::time(nullptr);
    if (this->control != nullptr)
        this->submitLocally(change, request, respond);
    else
        this->forwardChange(request, this->otherControlInstances(), EarlierAttempt::NotApplied, respond);
}

void HttpApi::submitLocally(ChangeRequest const &change, HttpRequest const &request,
                            HttpResponder const &respond)
{
    this->control->submit(change, [this, request, respond](absl::StatusOr<ChangeOutcome> const &outcome) {
        if (outcome.ok()) {
            respond(outcomeResponse(*outcome));
            return;
        }
        if (absl::IsUnknown(outcome.status())) {
            respond(errorResponse(statusGatewayTimeout, std::string(outcome.status().message())));
            return;
        }
        auto const leader = this->control->status().leader;
        auto const peer = std::ranges::find_if(this->settings.peers, [&](PeerSettings const &candidate) {
            return leader && candidate.name == leader->instance;
        });
        bool const canForward =
            peer != this->settings.peers.end() && request.queryParameter(forwardedParameter).empty();
        if (canForward)
            this->forwardChange(request, {peer->http}, EarlierAttempt::NotApplied, respond);
        else
            respond(errorResponse(
                statusUnavailable,
                fmt::format("nothing was changed: {}", std::string(outcome.status().message()))));
    });
}

// Tries the servers in order. A second attempt is safe because the state machine returns the outcome of the
// first one for the same request id. After a timeout the change may have been applied; if no later server
// returns an outcome, the final response reports that the outcome is unknown.
void HttpApi::forwardChange(HttpRequest const &request, std::vector<Endpoint> servers, EarlierAttempt earlier,
                            HttpResponder const &respond)
{
    if (servers.empty()) {
        respond(earlier == EarlierAttempt::NotApplied
                    ? errorResponse(statusUnavailable,
                                    "no control instance could accept the change; nothing was changed")
                    : errorResponse(
                        statusGatewayTimeout,
                        "a control instance did not respond in time and no other could accept the change, so "
                        "the outcome is unknown; resend the change with the same request id"));
        return;
    }
    Endpoint const server = servers.front();
    servers.erase(servers.begin());
    HttpCall const call{.server = server,
                        .method = HttpMethod::Post,
                        .target = forwardedPath(request),
                        .body = request.body,
                        .bearerToken = request.bearerToken,
                        .timeout = changeTimeout};
    callHttp(this->runtime, call,
             [this, request, rest = std::move(servers), earlier,
              respond](absl::StatusOr<HttpResponse> const &response) {
                 bool const isRejected = response.ok() && response->status == statusUnavailable;
                 // A failed connection or a status of 503 means that the server did not apply the change.
                 bool const isKnownNotApplied = isRejected || absl::IsUnavailable(response.status());
                 if (response.ok() && !isRejected && response->status != statusGatewayTimeout)
                     respond(*response);
                 else
                     this->forwardChange(request, rest,
                                         isKnownNotApplied ? earlier : EarlierAttempt::MayBeApplied, respond);
             });
}

HttpResponse HttpApi::explain(HttpRequest const &request) const
{
    std::string const service = request.queryParameter("service");
    if (service.empty()
        || (request.queryParameter("flow").empty() && request.queryParameter("caller").empty()))
        return errorResponse(statusBadRequest,
                             "the parameters `service` and `flow`, or `service`, `caller` and `number`, "
                             "are required");
    ServiceId const id = ServiceId::fromName(service);
    std::uint64_t hash = 0;
    if (!request.queryParameter("flow").empty())
        hash = std::hash<FlowKey>{}(
            FlowKey{.service = id, .flow = parseNumber(request.queryParameter("flow"), 0)});
    else
        hash =
            std::hash<RequestKey>{}(RequestKey{.service = id,
                                               .caller = parseNumber(request.queryParameter("caller"), 0),
                                               .number = parseNumber(request.queryParameter("number"), 0)});
    return HttpResponse{.body = formatExplanation(explainRoute(this->instance.state(), service, hash))};
}

void HttpApi::handleAudit(HttpRequest const &request, HttpResponder const &respond)
{
    if (this->control == nullptr) {
        this->forwardQuery(request, this->otherControlInstances(), respond);
        return;
    }
    std::size_t const limit = parseNumber(request.queryParameter("limit"), defaultAuditLimit);
    respond(HttpResponse{.body = formatAudit(*this->control->appliedState(), limit)});
}

void HttpApi::forwardQuery(HttpRequest const &request, std::vector<Endpoint> servers,
                           HttpResponder const &respond)
{
    if (servers.empty()) {
        respond(errorResponse(statusUnavailable, "no control instance could be reached"));
        return;
    }
    Endpoint const server = servers.front();
    servers.erase(servers.begin());
    callHttp(
        this->runtime, HttpCall{.server = server, .target = forwardedPath(request)},
        [this, request, rest = std::move(servers), respond](absl::StatusOr<HttpResponse> const &response) {
            if (response.ok())
                respond(*response);
            else
                this->forwardQuery(request, rest, respond);
        });
}

namespace {

// Collects the responses of all instances to one coverage query.
struct CoverageQuery
{
    std::mutex mutex; // Guards answers and pendingCount.
    std::vector<InstanceVersion> answers;
    std::size_t pendingCount = 0;
};

} // namespace

// Queries instances whose member state is dead as well: one that is only partitioned from this instance may
// still serve, and the operator must see it as unconfirmed.
void HttpApi::handleCoverage(HttpRequest const &request, HttpResponder const &respond)
{
    std::uint64_t const ownVersion = this->instance.state().configuration.read()->version;
    std::uint64_t const version = parseNumber(request.queryParameter("version"), ownVersion);
    auto const self = this->instance.state().ownStatus.read()->self;
    auto const query = std::make_shared<CoverageQuery>();
    std::vector<MemberRecord> others;
    for (auto const &[id, member] : this->instance.state().members.entries()) {
        if (id != self.id)
            others.push_back(member);
    }
    query->answers.push_back(
        InstanceVersion{.instance = self.name, .failureDomain = self.failureDomain, .version = ownVersion});
    query->pendingCount = others.size();
    if (others.empty())
        respond(HttpResponse{.body = formatCoverage(version, query->answers)});
    for (MemberRecord const &member : others) {
        HttpCall const call{
            .server = member.httpEndpoint, .target = "/v1/version", .timeout = coverageTimeout};
        callHttp(this->runtime, call,
                 [query, member, version, respond](absl::StatusOr<HttpResponse> const &response) {
                     auto const answered = response.ok() ? parseVersion(response->body) : std::nullopt;
                     std::scoped_lock const lock(query->mutex);
                     query->answers.push_back(InstanceVersion{.instance = member.name,
                                                              .failureDomain = member.failureDomain,
                                                              .version = answered});
                     if (--query->pendingCount > 0)
                         return;
                     std::ranges::sort(query->answers, {}, &InstanceVersion::instance);
                     respond(HttpResponse{.body = formatCoverage(version, query->answers)});
                 });
    }
}

} // namespace almondwing
