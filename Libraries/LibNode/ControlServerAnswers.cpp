// Implements the handlers of calls from targets and operators.

#include <LibNode/ControlServer.h>

#include <LibFrontEnd/DecisionLog.h>
#include <LibNode/ControlResponses.h>

#include <fmt/format.h>

#include <algorithm>

namespace almondwing {

namespace {

// A target waits 1 s for its acknowledgement, so the other control instances must confirm within less.
constexpr Duration maxSyncTime = 700ms;

// The writer of refused reports may be faster than any target; the counters are exact.
constexpr Duration refusalLineInterval = 1s;

} // namespace

void ControlServer::answer(HttpRequest const &request, HeartbeatCall const &call,
                           HttpResponder const &respond)
{
    Timestamp const now = IoRuntime::now();
    RegisteredTarget target = call.target;
    if (absl::Status const status = this->registry.mayBeUsed(target); !status.ok()) {
        // The adapter has checked the other fields.
        bool const isRecordValid = checkRecord(target).ok();
        this->answer(request,
                     InvalidReport{.field = isRecordValid ? "failure_domain" : "record",
                                   .reason = std::string(status.message())},
                     respond);
        return;
    }
    target.lastSeenAt = now;
    target.coldUntil = now + call.coldFor;
    bool const hasChanged = this->registry.merge(target, now) == MergeOutcome::Changed;
    if (hasChanged) {
        this->report(
            Event::TargetAnnounced,
            fmt::format(
                "target={:x} service={} domain={} endpoint={} state={} born={} sequence={} cold_ms={}",
                target.number.value, target.service, target.failureDomain, target.endpoint.toString(),
                static_cast<int>(target.state), target.reportVersion.startUnixMilliseconds,
                target.reportVersion.sequence, call.coldFor.count() / 1000));
        this->viewServer->answerDue(now);
    }
    // A drain, also a repeated one, is acknowledged only when more than half of the control instances have
    // it. A plain heartbeat is acknowledged at once, and so is a drain that the registry has ignored, because
    // it must not be stored.
    auto const known = this->registry.find(target.number);
    if (target.state != RegisteredState::Ready && known && known->state != RegisteredState::Ready) {
        this->answerEnd(target, "draining", respond);
        return;
    }
    if (hasChanged)
        this->registrySync->sync(now);
    respond(emptyResponse());
}

void ControlServer::answer(HttpRequest const &, DeregisterCall const &call, HttpResponder const &respond)
{
    Timestamp const now = IoRuntime::now();
    auto const known = this->registry.find(call.target);
    if (!known) {
        // There is nothing to remove at this instance. A peer that has the target detects its end by missing
        // heartbeats.
        respond(emptyResponse());
        return;
    }
    std::int64_t const startMilliseconds =
        call.startUnixMilliseconds.value_or(known->reportVersion.startUnixMilliseconds);
    if (this->registry.markGone(call.target, startMilliseconds, now) == MergeOutcome::Changed) {
        this->report(Event::TargetGone,
                     fmt::format("target={:x} born={} left", call.target.value, startMilliseconds));
        this->viewServer->answerDue(now);
    }
    RegisteredTarget ended = *known;
    ended.state = RegisteredState::Gone;
    ended.reportVersion.startUnixMilliseconds = startMilliseconds;
    this->answerEnd(ended, "gone", respond);
}

// The end is stored here before it is acknowledged: after a loss of power everywhere, the copies of the other
// control instances may be older than the acknowledgement.
void ControlServer::answerEnd(RegisteredTarget const &target, std::string_view state,
                              HttpResponder const &respond)
{
    std::string const logFields = fmt::format("target={:x} state={}", target.number.value, state);
    this->store->recordEnd(target, [this, logFields, respond](absl::Status const &status) {
        if (status.ok()) {
            this->answerWhenSynced(logFields, respond);
            return;
        }
        this->report(Event::EndAnswered, fmt::format("{} stored=false status=503", logFields));
        respond(errorResponse(503, "the end can't be stored; try another control instance"));
    });
}

// Entries whose control instance has not received the end of a target go on sending to that target, so the
// call is acknowledged only when more than half of the control instances have it. Voters that don't answer
// count in the total, because the entries that follow them do not learn of the end from this instance.
void ControlServer::answerWhenSynced(std::string const &logFields, HttpResponder const &respond)
{
    Timestamp const since = IoRuntime::now();
    this->registrySync->whenSynced(
        since + maxSyncTime, [this, since, logFields, respond](RegistrySync::SyncResult const &result) {
            std::size_t const known = std::max(result.alive, this->log->contact()->status.voters.size());
            bool const hasMajority = result.holders * 2 > known;
            this->targetEndLatencies.observe(IoRuntime::now() - since);
            this->report(Event::EndAnswered,
                         fmt::format("{} holders={} known={} status={}", logFields, result.holders, known,
                                     hasMajority ? 200 : 503));
            respond(hasMajority ? emptyResponse()
                                : errorResponse(503, "too few control instances confirmed; try another one"));
        });
}

void ControlServer::answer(HttpRequest const &request, ChangeCall const &call, HttpResponder const &respond)
{
    if (auto const *const domain = std::get_if<TakeOutFailureDomain>(&call.change);
        domain != nullptr && !this->failureDomains.read()->contains(domain->failureDomain)) {
        this->answer(request,
                     InvalidCall{.status = 404, .reason = "unknown failure domain: " + domain->failureDomain},
                     respond);
        return;
    }
    this->log->submit(call.change,
                      [this, request, respond, since = IoRuntime::now()](absl::Status const &status) {
                          this->answerChange(request, status, since, respond);
                      });
}

void ControlServer::answerChange(HttpRequest const &request, absl::Status const &status, Timestamp since,
                                 HttpResponder const &respond)
{
    HttpResponse const response = status.ok() ? emptyResponse() : this->refusal(request, status);
    this->changeLatencies.observe(IoRuntime::now() - since);
    this->reportAnswer(request, response, this->log->applied()->state.version, std::string(status.message()));
    respond(response);
}

void ControlServer::reportAnswer(HttpRequest const &request, HttpResponse const &response,
                                 std::uint64_t version, std::string const &reason)
{
    this->report(Event::ChangeAnswered,
                 fmt::format("path={} bytes={} status={} version={} reason={}", request.path,
                             request.body.size(), response.status, version, quoteLogValue(reason)));
}

void ControlServer::answer(HttpRequest const &request, ReadCall const &, HttpResponder const &respond)
{
    this->log->read([this, request, respond](absl::StatusOr<DocumentState> const &state) {
        HttpResponse const response = !state.ok() ? this->refusal(request, state.status())
            : state->version == 0 ? errorResponse(503, "no configuration has been accepted yet")
                                  : HttpResponse{.body = *state->text};
        this->reportAnswer(request, response, state.ok() ? state->version : 0,
                           std::string(state.status().message()));
        respond(response);
    });
}

void ControlServer::answer(HttpRequest const &request, InvalidCall const &call, HttpResponder const &respond)
{
    HttpResponse const response = errorResponse(call.status, call.reason);
    this->reportAnswer(request, response, this->log->applied()->state.version, call.reason);
    respond(response);
}

void ControlServer::answer(HttpRequest const &request, InvalidReport const &call,
                           HttpResponder const &respond)
{
    Timestamp const now = IoRuntime::now();
    this->refusals.update([&call](ReportRefusals counts) {
        ++counts[call.field];
        return counts;
    });
    std::string const reason = fmt::format("`{}` {}", call.field, call.reason);
    Timestamp due = this->nextRefusalLine.load();
    if (now >= due && this->nextRefusalLine.compare_exchange_strong(due, now + refusalLineInterval)) {
        this->report(Event::ReportRefused,
                     fmt::format("path={} reason={}", quoteLogValue(request.path), quoteLogValue(reason)));
    }
    respond(errorResponse(400, reason));
}

// The response to a change or read that failed: a redirect if another replica leads, 413 if the
// change is too large, otherwise 503, after which the client tries again.
HttpResponse ControlServer::refusal(HttpRequest const &request, absl::Status const &status) const
{
    auto const contact = this->log->contact();
    auto const &leader = contact->status.leader;
    std::string const reason(status.message());
    if (absl::IsInvalidArgument(status))
        return errorResponse(413, reason);
    bool const isOtherLeader = absl::IsFailedPrecondition(status) && leader
        && leader->instance != this->settings.control->toString() && !this->isStopping;
    if (!isOtherLeader)
        return errorResponse(503, reason);
    HttpResponse redirect = errorResponse(307, reason);
    redirect.location = fmt::format("http://{}{}", leader->instance, request.path);
    return redirect;
}

} // namespace almondwing
