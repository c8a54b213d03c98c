// The blackboard of a caller stand-in: its plan, flows, requests and counters.

#pragma once

#include <LibBlackboard/Cell.h>
#include <LibBlackboard/ShardedTable.h>
#include <LibMessages/PeerMessages.h>
#include <LibStandIns/AnswerAssembly.h>
#include <LibStandIns/AnswerBody.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace almondwing {

// Whether a new flow is opened in place of one that was refused, broken, silent or unanswered.
enum class ReplacePolicy : std::uint8_t { Never, ReplaceFailed };

// The load that a caller generates, set on the command line.
struct CallerPlan
{
    ServiceId service;
    std::uint64_t callerId = 0;
    std::size_t socketCount = 1; // Number of UDP sockets that flows and requests are spread over.

    std::uint64_t flows = 0;
    std::uint64_t flowRate = 200; // Flows opened per second.
    Duration flowInterval = 1s; // Time between two packets of a flow.
    Duration flowDuration = 10s; // All flows are closed after this time.
    Duration openTimeout = 500ms;
    std::uint32_t openAttempts = 6;
    Duration silenceTimeout =
        30s; // A flow counts as silent after this time without a packet from the target.
    std::size_t flowBytes = 64;
    ReplacePolicy replacePolicy = ReplacePolicy::Never;

    std::uint64_t requests = 0;
    std::uint64_t requestRate = 0; // Requests per second; 0 starts a request whenever another one ends.
    std::uint64_t concurrency = 1; // Number of concurrent requests if requestRate is 0.
    RequestClass requestClass = RequestClass::Interactive;
    Idempotency idempotency = Idempotency::Idempotent;
    RunParameters runParameters;
    Duration deadline = 5s;
    Duration resendAfter = 1s; // Interval of the progress checks, which may send a request again.
    // Time without a new part of a partly received answer after which the missing parts are requested.
    Duration missingPartsTimeout = 100ms;
    Duration cancelAfter{}; // Requests still pending after this time are cancelled; zero cancels none.
    Duration gracePeriod = 2s; // Time after the deadline in which an outcome is still accepted.

    friend bool operator==(CallerPlan const &, CallerPlan const &) = default;
};

enum class CallerFlowState : std::uint8_t { Opening, Established, Refused, Broken, Silent, NoAnswer, Closed };

struct CallerFlow
{
    CallerFlowState state = CallerFlowState::Opening;
    std::size_t socketIndex = 0;
    std::uint32_t opensSent = 0; // OpenFlow messages sent.
    std::uint64_t sent = 0; // Also the sequence number of the last packet.
    std::uint64_t echoes = 0;
    std::uint64_t notices = 0; // Packets that the target sent on its own, not as an echo.
    Timestamp lastReceived{};
    // Maximum time between two received packets. The first gap begins with the acceptance of the flow or, if
    // a packet arrives before it, with the opening of the flow.
    Duration maxGap{};

    friend bool operator==(CallerFlow const &, CallerFlow const &) = default;
};

enum class CallerOutcome : std::uint8_t { Pending, Answered, NotRun, Unknown, NoOutcome };

struct CallerRequest
{
    Timestamp startedAt{};
    Timestamp endedAt{};
    std::size_t socketIndex = 0;
    // Number of times that this caller has sent the request; unrelated to the tries that dispatchers make at
    // targets.
    std::uint32_t attempt = 1;
    std::uint32_t checksWithoutProgress = 0; // Checks since the last one with a new part or a resend.
    CallerOutcome outcome = CallerOutcome::Pending;
    Reason reason = Reason::None;
    // Keyed by try id; empty once the request has ended. Shared, because values on the blackboard are copied.
    std::map<std::uint64_t, std::shared_ptr<AnswerAssembly const>> answers;
    std::size_t receivedParts = 0; // Sum over all tries.
    // Value of receivedParts when the caller last checked whether to send the request again.
    std::size_t partsAtLastProgressCheck = 0;
    // Value of receivedParts when the caller last checked whether to request missing parts.
    std::size_t partsAtLastMissingPartsCheck = 0;
    // Value of receivedParts at which all parts of the last ResendParts have arrived; zero if none is
    // pending.
    std::size_t expectedParts = 0;

    friend bool operator==(CallerRequest const &, CallerRequest const &) = default;
};

struct CallerCounts
{
    std::uint64_t flowsOpened = 0; // Flows that a target has accepted.
    std::map<Reason, std::uint64_t> flowsBroken;
    std::map<Reason, std::uint64_t> flowsRefused;
    std::uint64_t flowsSilent = 0;
    std::uint64_t flowsWithoutAnswer = 0; // No reply to any OpenFlow.
    // Flow packets that are neither an echo of a packet sent on that flow nor a notice, and flow packets of
    // unknown flows.
    std::uint64_t wrongPayloads = 0;
    // Answers that differ from the expected bytes or whose parts contradict each other, and answer parts for
    // requests that this caller did not send.
    std::uint64_t wrongAnswers = 0;
    std::uint64_t requestResends = 0;
    std::uint64_t partResends = 0; // ResendParts messages sent.
    std::uint64_t answeredAfterNotRun = 0; // Answer parts received for a request after its NotRun.

    friend bool operator==(CallerCounts const &, CallerCounts const &) = default;
};

struct CallerBlackboard
{
    ShardedTable<FlowKey, CallerFlow> flows;
    ShardedTable<RequestKey, CallerRequest> requests;
    Cell<CallerCounts> counts;
};

struct CallerHooks
{
    std::function<void(std::size_t socketIndex, CallerMessage const &)> send;
    std::function<void(Duration, std::function<void()>)> schedule;
    std::function<std::uint64_t()> random;
    std::function<Timestamp()> now; // Used by actions that schedule() runs later.
    std::function<void(RequestKey const &, CallerRequest const &)> requestEnded;
    std::function<void()> allRequestsEnded; // Called exactly once.
};

template<typename Change>
void updateCounts(CallerBlackboard &blackboard, Change const &change)
{
    blackboard.counts.update([&](CallerCounts counts) {
        change(counts);
        return counts;
    });
}

} // namespace almondwing
