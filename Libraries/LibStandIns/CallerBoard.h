// The blackboard of a caller stand-in: its flows, its requests, and what went wrong.

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

enum class Reopening : std::uint8_t { Never, AfterLoss };

// What the caller does, fixed by the command line.
struct CallerPlan
{
    ServiceId service;
    std::uint64_t callerId = 0;
    std::size_t ports = 1; // UDP sockets; flows and requests are spread over them.

    std::uint64_t flows = 0;
    std::uint64_t flowRate = 200; // Flows opened a second.
    Duration flowInterval = 1s; // Between two packets of a flow.
    Duration flowsFor = 10s; // Flows are closed after this time.
    Duration openTimeout = 500ms;
    std::uint32_t openAttempts = 6;
    Duration silentAfter = 30s; // Without an echo for this long the caller counts a flow as silent.
    std::size_t flowBytes = 64;
    Reopening reopening = Reopening::Never;

    std::uint64_t requests = 0;
    std::uint64_t requestRate = 0; // Requests a second; 0 starts the next one when one ends.
    std::uint64_t concurrency = 1; // Without a rate.
    RequestClass requestClass = RequestClass::Interactive;
    Idempotency idempotency = Idempotency::Idempotent;
    WorkOrder order;
    Duration deadline = 5s;
    Duration resendAfter = 1s; // Without progress.
    Duration askForGapsAfter = 100ms; // Without a new part of an answer that has begun.
    Duration cancelAfter{}; // Requests still pending then are cancelled; zero cancels none.
    Duration grace = 2s; // How long after its deadline a request may still get its outcome.

    friend bool operator==(CallerPlan const &, CallerPlan const &) = default;
};

enum class CallerFlowState : std::uint8_t { Opening, Established, Refused, Broken, Silent, NoAnswer, Closed };

struct CallerFlow
{
    CallerFlowState state = CallerFlowState::Opening;
    std::size_t port = 0;
    std::uint32_t opens = 0; // OpenFlow messages sent.
    std::uint64_t sent = 0; // Also the sequence number of the last packet.
    std::uint64_t echoes = 0;
    std::uint64_t notices = 0;
    Timestamp lastReceived{};
    Duration longestGap{}; // Between two packets that came back.

    friend bool operator==(CallerFlow const &, CallerFlow const &) = default;
};

enum class CallerOutcome : std::uint8_t { Pending, Answered, NotRun, Unknown, NoOutcome };

struct CallerRequest
{
    Timestamp startedAt{};
    Timestamp endedAt{};
    std::size_t port = 0;
    std::uint32_t attempt = 1;
    std::uint32_t checksWithoutProgress = 0; // Since the last one that found a new part.
    CallerOutcome outcome = CallerOutcome::Pending;
    Reason reason = Reason::None;
    // By try id; empty once the request has ended. Shared, because the values on the blackboard are copied.
    std::map<std::uint64_t, std::shared_ptr<AnswerAssembly const>> answers;
    std::size_t receivedParts = 0; // Of all tries.
    std::size_t partsAtLastCheck = 0;
    std::size_t partsAtLastGapCheck = 0;
    std::size_t partsToAskAgain = 0; // Once so many have arrived, what was asked for is there; zero: nothing.

    friend bool operator==(CallerRequest const &, CallerRequest const &) = default;
};

struct CallerCounts
{
    std::uint64_t flowsOpened = 0;
    std::map<Reason, std::uint64_t> flowsBroken;
    std::map<Reason, std::uint64_t> flowsRefused;
    std::uint64_t flowsSilent = 0;
    std::uint64_t flowsWithoutAnswer = 0; // No answer to any OpenFlow.
    std::uint64_t wrongPayloads = 0; // Of flows: bytes that were never sent on this flow, or of other flows.
    std::uint64_t wrongAnswers = 0; // Of requests: bytes, sizes or keys that do not match.
    std::uint64_t requestResends = 0;
    std::uint64_t partResends = 0;
    std::uint64_t answeredAfterNotRun = 0; // Parts that came for a request after its NotRun.

    friend bool operator==(CallerCounts const &, CallerCounts const &) = default;
};

struct CallerBoard
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
    std::function<Timestamp()> now; // For actions that schedule() runs later.
    std::function<void(RequestKey const &, CallerRequest const &)> requestEnded;
    std::function<void()> allRequestsEnded; // Called once.
};

template<typename Change>
void count(CallerBoard &board, Change const &change)
{
    board.counts.update([&](CallerCounts counts) {
        change(counts);
        return counts;
    });
}

} // namespace almondwing
