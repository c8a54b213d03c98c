// Records how often each request ran at a target and which outcome its caller received, and counts the
// outcomes that are false.

#pragma once

#include <LibMessages/PeerMessages.h>
#include <LibMessages/RequestMessages.h>
#include <LibStandIns/AnswerAssembly.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondwing {

struct IssuedRequest
{
    // The class of the work. With Limits::Off the request is sent as Interactive regardless of it.
    RequestClass requestClass = RequestClass::Interactive;
    Idempotency idempotency = Idempotency::Idempotent;
    Endpoint caller;
    Timestamp arrivedAt; // At the cluster; there is no delay between caller and cluster.
    Timestamp deadline;
    std::size_t answerSize = 0;

    friend bool operator==(IssuedRequest const &, IssuedRequest const &) = default;
};

struct FalseOutcomes
{
    std::size_t notRunButRan = 0;
    std::size_t wrongAnswer =
        0; // Truncated, with wrong bytes, with contradictory parts, or sent to another caller.
    std::size_t ranTwice = 0; // Counts only non-idempotent requests.
    std::size_t answeredLate = 0; // Complete answers after the deadline.

    std::size_t total() const
    {
        return this->notRunButRan + this->wrongAnswer + this->ranTwice + this->answeredLate;
    }

    friend bool operator==(FalseOutcomes const &, FalseOutcomes const &) = default;
};

// Totals over the requests that arrived within a time window.
struct RequestFigures
{
    std::size_t arrived = 0;
    std::map<RequestClass, std::size_t> arrivedByClass = {};
    std::size_t answeredInTime = 0;
    std::map<RequestClass, std::size_t> answeredByClass = {};
    std::size_t notRun = 0; // Requests whose outcome is NotRun.
    std::size_t unknown = 0; // Requests whose outcome is OutcomeUnknown.
    std::size_t withoutOutcome = 0;
    std::map<Reason, std::size_t> reasons = {}; // The reasons of NotRun and OutcomeUnknown.
    std::size_t tries = 0; // Tries at a target; messages that repeat a try are not counted again.
    std::size_t triedRequests = 0;
    FalseOutcomes falseOutcomes = {};
    // From the arrival to the first start at a target, in ascending order.
    std::vector<Duration> urgentWaitTimes = {};
    std::size_t urgentNotStarted = 0;

    std::size_t retries() const { return this->tries - this->triedRequests; }

    friend bool operator==(RequestFigures const &, RequestFigures const &) = default;
};

class RequestLedger
{
public:
    void issue(RequestKey const &key, IssuedRequest const &request);
    void recordTry(RequestKey const &key, std::uint64_t tryId);
    void recordStart(RequestKey const &key, Timestamp now);
    void handleReply(Endpoint caller, CallerReply const &reply, Timestamp now);

    bool isPending(RequestKey const &key) const; // The caller has not received an outcome.

    RequestFigures figures(Timestamp begin, Timestamp end) const;
    // One line per wrong answer, which helps to find the cause of a fault.
    std::vector<std::string> const &wrongAnswerDetails() const { return this->wrongAnswerLines; }

private:
    enum class Outcome : std::uint8_t { Pending, Answered, NotRun, Unknown };

    struct Entry
    {
        IssuedRequest issued;
        Outcome outcome = Outcome::Pending; // The first outcome that the caller received.
        Reason reason = Reason::None;
        bool hasNotRunReply = false; // Also if it came after another outcome.
        bool hasWrongAnswer = false;
        Timestamp outcomeAt;
        std::size_t starts = 0;
        Timestamp firstStart;
        std::set<std::uint64_t> tries = {};
        std::map<std::uint64_t, AnswerAssembly> answers = {}; // By try id, until one is complete.
    };

    void handlePart(Endpoint caller, AnswerPart const &part, Timestamp now);
    void recordOutcome(RequestKey const &key, Outcome outcome, Reason reason, Timestamp now);
    void accumulate(RequestFigures &figures, Entry const &entry) const;

    std::unordered_map<RequestKey, Entry> entries;
    std::vector<std::string> wrongAnswerLines;
};

} // namespace almondwing
