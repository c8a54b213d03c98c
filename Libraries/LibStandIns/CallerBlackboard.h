// The blackboard of a caller stand-in: its flows, its requests and its counters.

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

enum class ReopenPolicy : std::uint8_t { Never, AfterLoss };

// The load that a caller generates, set on the command line.
struct CallerPlan
{
    ServiceId service;
    std::uint64_t callerId = 0;
    std::size_t ports = 1; // UDP sockets; flows and requests are spread over them.

    std::uint64_t flows = 0;
    std::uint64_t flowRate = 200; // Flows opened per second.
    Duration flowInterval = 1s; // Time between two packets of a flow.
    Duration flowDuration = 10s; // All flows are closed after this time.
    Duration openTimeout = 500ms;
    std::uint32_t openAttempts = 6;
    Duration silenceTimeout =
        30s; // A flow counts as silent after this time without a packet from the target.
    std::size_t flowBytes = 64;
    ReopenPolicy reopenPolicy = ReopenPolicy::Never;

    std::uint64_t requests = 0;
    std::uint64_t requestRate = 0; // Requests per second; 0 starts a request whenever another one ends.
    std::uint64_t concurrency = 1; // Number of concurrent requests if requestRate is 0.
    RequestClass requestClass = RequestClass::Interactive;
    Idempotency idempotency = Idempotency::Idempotent;
    RunParameters runParameters;
    Duration deadline = 5s;
    Duration resendAfter = 1s; // Time without progress after which a request is sent again.
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
    std::size_t port = 0;
    std::uint32_t opensSent = 0; // OpenFlow messages sent.
    std::uint64_t sent = 0; // Also the sequence number of the last packet.
    std::uint64_t echoes = 0;
    std::uint64_t notices = 0;
    Timestamp lastReceived{};
    Duration maxGap{}; // Maximum time between two received packets.

    friend bool operator==(CallerFlow const &, CallerFlow const &) = default;
};

enum class CallerOutcome : std::uint8_t { Pending, Answered, NotRun, Unknown, NoOutcome };

struct CallerRequest
{
    Timestamp startedAt{};
    Timestamp endedAt{};
    std::size_t port = 0;
    std::uint32_t attempt = 1;
    std::uint32_t checksWithoutProgress = 0; // Checks since the last one that found a new part.
    CallerOutcome outcome = CallerOutcome::Pending;
    Reason reason = Reason::None;
    // Keyed by try id; empty once the request has ended. Shared, because values on the blackboard are copied.
    std::map<std::uint64_t, std::shared_ptr<AnswerAssembly const>> answers;
    std::size_t receivedParts = 0; // Sum over all tries.
    std::size_t partsAtLastCheck = 0;
    std::size_t partsAtLastMissingCheck = 0;
    // Value of receivedParts at which all parts of the last ResendParts have arrived; zero if none is
    // pending.
    std::size_t expectedParts = 0;

    friend bool operator==(CallerRequest const &, CallerRequest const &) = default;
};

struct CallerCounts
{
    std::uint64_t flowsOpened = 0;
    std::map<Reason, std::uint64_t> flowsBroken;
    std::map<Reason, std::uint64_t> flowsRefused;
    std::uint64_t flowsSilent = 0;
    std::uint64_t flowsWithoutAnswer = 0; // No reply to any OpenFlow.
    std::uint64_t wrongPayloads = 0; // Flow packets with bytes that were never sent on that flow.
    std::uint64_t wrongAnswers = 0; // Answers with bytes, a size or a key that do not match.
    std::uint64_t requestResends = 0;
    std::uint64_t partResends = 0;
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
    std::function<void(std::size_t port, CallerMessage const &)> send;
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
