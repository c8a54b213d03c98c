// Implements the summary of a caller stand-in.

#include <LibStandIns/CallerSummary.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace almondwing {

namespace {

using Json = nlohmann::json;

constexpr double microsecondsPerMillisecond = 1000;

double milliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / microsecondsPerMillisecond;
}

Json countsByReason(std::map<Reason, std::uint64_t> const &counts)
{
    Json json = Json::object();
    for (auto const &[reason, number] : counts)
        json[std::string(reasonName(reason))] = number;
    return json;
}

struct RequestTotals
{
    std::uint64_t answered = 0;
    std::uint64_t withoutOutcome = 0; // Ended after the grace period, still pending or never started.
    std::map<Reason, std::uint64_t> notRun;
    std::map<Reason, std::uint64_t> unknown;
    std::vector<Duration> latencies; // Latencies of the answered requests.
};

void addRequest(RequestTotals &totals, CallerRequest const &request)
{
    switch (request.outcome) {
    case CallerOutcome::Answered:
        ++totals.answered;
        totals.latencies.push_back(request.endedAt - request.startedAt);
        return;
    case CallerOutcome::NotRun:
        ++totals.notRun[request.reason];
        return;
    case CallerOutcome::Unknown:
        ++totals.unknown[request.reason];
        return;
    case CallerOutcome::Pending:
    case CallerOutcome::NoOutcome:
        ++totals.withoutOutcome;
        return;
    }
}

RequestTotals sumRequests(CallerBlackboard const &blackboard, CallerPlan const &plan)
{
    RequestTotals totals;
    auto const requests = blackboard.requests.entries();
    for (auto const &[key, request] : requests)
        addRequest(totals, request);
    // Adds the requests of the plan that were never started.
    totals.withoutOutcome += plan.requests - std::min<std::uint64_t>(plan.requests, requests.size());
    return totals;
}

Json flowsJson(CallerBlackboard const &blackboard, CallerCounts const &counts)
{
    std::uint64_t aliveAtEnd = 0;
    std::uint64_t sent = 0;
    std::uint64_t echoes = 0;
    std::uint64_t notices = 0;
    Duration maxGap{};
    for (auto const &[key, flow] : blackboard.flows.entries()) {
        // Closed by this caller at the end of the plan, or still established.
        bool const wasAliveAtEnd =
            flow.state == CallerFlowState::Established || flow.state == CallerFlowState::Closed;
        aliveAtEnd += wasAliveAtEnd ? 1 : 0;
        sent += flow.sent;
        echoes += flow.echoes;
        notices += flow.notices;
        maxGap = std::max(maxGap, flow.maxGap);
    }
    return {{"opened", counts.flowsOpened},
            {"aliveAtEnd", aliveAtEnd},
            {"broken", countsByReason(counts.flowsBroken)},
            {"refused", countsByReason(counts.flowsRefused)},
            {"silent", counts.flowsSilent},
            {"noAnswer", counts.flowsWithoutAnswer},
            {"sent", sent},
            {"echoes", echoes},
            {"notices", notices},
            {"longestGapMs", milliseconds(maxGap)},
            {"wrongPayloads", counts.wrongPayloads}};
}

std::string_view outcomeName(CallerOutcome outcome)
{
    switch (outcome) {
    case CallerOutcome::Pending:
        return "pending";
    case CallerOutcome::Answered:
        return "answered";
    case CallerOutcome::NotRun:
        return "not-run";
    case CallerOutcome::Unknown:
        return "unknown";
    case CallerOutcome::NoOutcome:
        return "no-outcome";
    }
    return "pending";
}

} // namespace

Verdict callerVerdict(CallerBlackboard const &blackboard, CallerPlan const &plan)
{
    auto const counts = blackboard.counts.read();
    bool const hasWrongBytes = counts->wrongAnswers + counts->wrongPayloads > 0;
    bool const hasAllOutcomes = sumRequests(blackboard, plan).withoutOutcome == 0;
    return hasAllOutcomes && !hasWrongBytes ? Verdict::Passed : Verdict::Failed;
}

std::string summaryJson(CallerBlackboard const &blackboard, CallerPlan const &plan)
{
    auto const counts = blackboard.counts.read();
    RequestTotals const totals = sumRequests(blackboard, plan);
    Json const latency{{"p50", milliseconds(percentile(totals.latencies, 0.5))},
                       {"p90", milliseconds(percentile(totals.latencies, 0.9))},
                       {"p99", milliseconds(percentile(totals.latencies, 0.99))},
                       {"maximum", milliseconds(percentile(totals.latencies, 1))}};
    Json const requests{{"answered", totals.answered},
                        {"notRun", countsByReason(totals.notRun)},
                        {"unknown", countsByReason(totals.unknown)},
                        {"withoutOutcome", totals.withoutOutcome},
                        {"latencyMs", latency},
                        {"resends", counts->requestResends},
                        {"partResends", counts->partResends},
                        {"answeredAfterNotRun", counts->answeredAfterNotRun},
                        {"wrongAnswers", counts->wrongAnswers}};
    Json const json{{"summary", true},
                    {"passed", callerVerdict(blackboard, plan) == Verdict::Passed},
                    {"requests", requests},
                    {"flows", flowsJson(blackboard, *counts)}};
    return json.dump();
}

std::string outcomeJson(RequestKey const &key, CallerRequest const &request, Idempotency idempotency)
{
    Json const json{{"service", key.service.value},
                    {"caller", key.caller},
                    {"number", key.number},
                    {"outcome", outcomeName(request.outcome)},
                    {"reason", reasonName(request.reason)},
                    {"attempts", request.attempt},
                    {"isIdempotent", idempotency == Idempotency::Idempotent},
                    {"latencyMs", milliseconds(request.endedAt - request.startedAt)}};
    return json.dump();
}

Duration percentile(std::vector<Duration> values, double fraction)
{
    if (values.empty())
        return {};
    std::ranges::sort(values);
    auto const rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

} // namespace almondwing
