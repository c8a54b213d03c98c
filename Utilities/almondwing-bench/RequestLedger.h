// What really happened to each request, and what its caller was told, so that false outcomes are counted.

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
    RequestClass requestClass = RequestClass::Interactive; // Of the work, also when classes are switched off.
    Idempotency idempotency = Idempotency::Idempotent;
    Endpoint caller;
    Timestamp arrivedAt; // At the system, without delay from the caller.
    Timestamp deadline;
    std::size_t answerSize = 0;

    friend bool operator==(IssuedRequest const &, IssuedRequest const &) = default;
};

struct FalseOutcomes
{
    std::size_t notRunButRan = 0;
    std::size_t wrongAnswer = 0; // Not whole, with other bytes, or of another caller.
    std::size_t ranTwice = 0; // Non-idempotent requests only.
    std::size_t answeredLate = 0; // A whole answer after the deadline.

    std::size_t total() const
    {
        return this->notRunButRan + this->wrongAnswer + this->ranTwice + this->answeredLate;
    }

    friend bool operator==(FalseOutcomes const &, FalseOutcomes const &) = default;
};

// Over the requests that arrived within a window.
struct RequestFigures
{
    std::size_t fresh = 0;
    std::map<RequestClass, std::size_t> freshOfClass = {};
    std::size_t answeredInTime = 0;
    std::map<RequestClass, std::size_t> answeredOfClass = {};
    std::size_t refused = 0; // The caller was told NotRun.
    std::size_t unknown = 0;
    std::size_t withoutOutcome = 0;
    std::map<Reason, std::size_t> reasons = {}; // Of NotRun and OutcomeUnknown.
    std::size_t tries = 0; // Sent to a target; the repeats of one try count once.
    std::size_t triedRequests = 0;
    FalseOutcomes falseOutcomes = {};
    std::vector<Duration> urgentWaits = {}; // From the arrival to the first start at a target, sorted.
    std::size_t urgentNotStarted = 0;

    std::size_t retries() const { return this->tries - this->triedRequests; }

    friend bool operator==(RequestFigures const &, RequestFigures const &) = default;
};

class RequestLedger
{
public:
    void issue(RequestKey const &key, IssuedRequest const &request);
    void noteTry(RequestKey const &key, std::uint64_t tryId);
    void noteStart(RequestKey const &key, Timestamp now);
    void handleReply(Endpoint caller, CallerReply const &reply, Timestamp now);

    bool isOpen(RequestKey const &key) const; // The caller has not been told an outcome.

    RequestFigures figures(Timestamp begin, Timestamp end) const;
    // False outcomes that show only in the answer, one line each, for looking into a fault.
    std::vector<std::string> const &complaints() const { return this->wrongAnswers; }

private:
    enum class Told : std::uint8_t { Nothing, Answered, NotRun, Unknown };

    struct Entry
    {
        IssuedRequest issued;
        Told told = Told::Nothing; // The first outcome.
        Reason reason = Reason::None;
        bool wasToldNotRun = false; // At any time.
        bool gotWrongAnswer = false;
        Timestamp toldAt;
        std::size_t starts = 0;
        Timestamp firstStart;
        std::set<std::uint64_t> tries = {};
        std::map<std::uint64_t, AnswerAssembly> answers = {}; // By try id, until one is whole.
    };

    void handlePart(Endpoint caller, AnswerPart const &part, Timestamp now);
    void tell(RequestKey const &key, Told told, Reason reason, Timestamp now);
    void addTo(RequestFigures &figures, Entry const &entry) const;

    std::unordered_map<RequestKey, Entry> entries;
    std::vector<std::string> wrongAnswers;
};

} // namespace almondwing
