// Implements the answers to targets and operators.

#include <LibNode/ControlServer.h>

#include <LibFrontEnd/DecisionLog.h>
#include <LibNode/ControlResponses.h>

#include <fmt/format.h>

#include <algorithm>

namespace almondwing {

namespace {

// A target waits 1 s for its acknowledgement; one that is not spread by then would come too late.
constexpr Duration longestSpread = 700ms;

} // namespace

void ControlServer::answer(HttpRequest const &, HeartbeatCall const &call, HttpResponder const &respond)
{
    Timestamp const now = IoRuntime::now();
    RegisteredTarget target = call.target;
    target.lastSeenAt = now;
    target.coldUntil = now + call.coldFor;
    auto const before = this->registry.find(target.number);
    bool const hasChanged = this->registry.merge(target, now) == MergeOutcome::Changed;
    if (hasChanged) {
        this->report(
            Event::TargetAnnounced,
            fmt::format(
                "target={:x} service={} domain={} endpoint={} state={} born={} sequence={} cold_ms={}",
                target.number.value, target.service, target.failureDomain, target.endpoint.toString(),
                static_cast<int>(target.state), target.reportVersion.startUnixMilliseconds,
                target.reportVersion.sequence, call.coldFor.count() / 1000));
        this->views->answerDue(now);
    }
    // Only that it gets no more flows is a promise to the target, also when it says again that it drains.
    if (target.state != RegisteredState::Ready) {
        this->answerWhenSpread(fmt::format("target={:x} state=draining", target.number.value), respond);
        return;
    }
    if (hasChanged)
        this->spreader->spread(now);
    respond(emptyResponse());
}

void ControlServer::answer(HttpRequest const &, LeaveCall const &call, HttpResponder const &respond)
{
    Timestamp const now = IoRuntime::now();
    auto const known = this->registry.find(call.target);
    if (!known) {
        // Nothing is sent to a target that no instance knows here; a peer that knows it hears of its end by
        // silence.
        respond(emptyResponse());
        return;
    }
    std::int64_t const born = call.startUnixMilliseconds.value_or(known->reportVersion.startUnixMilliseconds);
    if (this->registry.markGone(call.target, born, now) == MergeOutcome::Changed) {
        this->report(Event::TargetGone, fmt::format("target={:x} born={} left", call.target.value, born));
        this->views->answerDue(now);
    }
    this->answerWhenSpread(fmt::format("target={:x} state=gone", call.target.value), respond);
}

// Entries that follow a control instance that has not heard of the end of a target go on sending to it, so
// the call is acknowledged when more than half of the control instances know. Voters that are silent count:
// an instance that is cut off from them can't tell the others.
void ControlServer::answerWhenSpread(std::string const &target, HttpResponder const &respond)
{
    Timestamp const since = IoRuntime::now();
    this->spreader->whenSpread(
        since + longestSpread, [this, since, target, respond](RegistrySpreader::SpreadResult const &result) {
            std::size_t const known = std::max(result.known, this->log->contact()->status.voters.size());
            bool const isKnown = result.holders * 2 > known;
            this->spreads.observe(IoRuntime::now() - since);
            this->report(Event::EndAnswered,
                         fmt::format("{} holders={} known={} status={}", target, result.holders, known,
                                     isKnown ? 200 : 503));
            respond(isKnown ? emptyResponse()
                            : errorResponse(503, "too few control instances could be told; try another"));
        });
}

void ControlServer::answer(HttpRequest const &request, ChangeCall const &call, HttpResponder const &respond)
{
    if (auto const *const domain = std::get_if<TakeOutDomain>(&call.change); domain != nullptr
        && std::ranges::find(this->settings.failureDomains, domain->failureDomain)
            == this->settings.failureDomains.end()) {
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
    this->changes.observe(IoRuntime::now() - since);
    this->noteAnswered(request, response, this->log->applied()->state.version, std::string(status.message()));
    respond(response);
}

void ControlServer::noteAnswered(HttpRequest const &request, HttpResponse const &response,
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
            : state->version == 0                 ? errorResponse(503, "no configuration was accepted yet")
                                                  : HttpResponse{.body = *state->text};
        this->noteAnswered(request, response, state.ok() ? state->version : 0,
                           std::string(state.status().message()));
        respond(response);
    });
}

void ControlServer::answer(HttpRequest const &request, InvalidCall const &call, HttpResponder const &respond)
{
    HttpResponse const response = errorResponse(call.status, call.reason);
    this->noteAnswered(request, response, this->log->applied()->state.version, call.reason);
    respond(response);
}

// Another replica leads, or it is not known whether the change was committed. Callers try again then.
HttpResponse ControlServer::refusal(HttpRequest const &request, absl::Status const &status) const
{
    auto const contact = this->log->contact();
    auto const &leader = contact->status.leader;
    std::string const reason(status.message());
    if (absl::IsInvalidArgument(status))
        return errorResponse(413, reason);
    bool const isElsewhere = absl::IsFailedPrecondition(status) && leader
        && leader->instance != this->settings.control->toString() && !this->isStopping;
    if (!isElsewhere)
        return errorResponse(503, reason);
    HttpResponse redirect = errorResponse(307, reason);
    redirect.location = fmt::format("http://{}{}", leader->instance, request.path);
    return redirect;
}

} // namespace almondwing
