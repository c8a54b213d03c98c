// Implements the ledger of requests.

#include "RequestLedger.h"

#include <LibStandIns/AnswerBody.h>

#include <fmt/format.h>

#include <algorithm>

namespace almondwing {

void RequestLedger::issue(RequestKey const &key, IssuedRequest const &request)
{
    this->entries.emplace(key, Entry{.issued = request});
}

void RequestLedger::recordTry(RequestKey const &key, std::uint64_t tryId)
{
    this->entries.at(key).tries.insert(tryId);
}

void RequestLedger::recordStart(RequestKey const &key, Timestamp now)
{
    Entry &entry = this->entries.at(key);
    if (entry.starts == 0)
        entry.firstStart = now;
    ++entry.starts;
}

void RequestLedger::handleReply(Endpoint caller, CallerReply const &reply, Timestamp now)
{
    if (auto const *const part = std::get_if<AnswerPart>(&reply))
        this->handlePart(caller, *part, now);
    else if (auto const *const notRun = std::get_if<NotRun>(&reply))
        this->recordOutcome(notRun->key, Outcome::NotRun, notRun->reason, now);
    else if (auto const *const unknown = std::get_if<OutcomeUnknown>(&reply))
        this->recordOutcome(unknown->key, Outcome::Unknown, unknown->reason, now);
}

void RequestLedger::handlePart(Endpoint caller, AnswerPart const &part, Timestamp now)
{
    Entry &entry = this->entries.at(part.key);
    if (entry.issued.caller != caller) {
        entry.hasWrongAnswer = true;
        this->wrongAnswerLines.push_back(
            fmt::format("part for number {} at another caller", part.key.number));
        return;
    }
    if (entry.outcome != Outcome::Pending) // A repeated part, or the rest of an answer after another outcome.
        return;
    AnswerAssembly &answer = entry.answers[part.tryId];
    answer = answer.with(part);
    if (answer.state() == AssemblyState::Incomplete)
        return;
    std::size_t const size = entry.issued.answerSize;
    bool const isCorrect =
        answer.state() == AssemblyState::Complete && answer.body() == answerBytes(part.key, size, 0, size);
    if (!isCorrect) {
        entry.hasWrongAnswer = true;
        this->wrongAnswerLines.push_back(fmt::format("wrong bytes for number {}", part.key.number));
    }
    entry.answers.clear();
    this->recordOutcome(part.key, Outcome::Answered, Reason::None, now);
}

void RequestLedger::recordOutcome(RequestKey const &key, Outcome outcome, Reason reason, Timestamp now)
{
    Entry &entry = this->entries.at(key);
    entry.hasNotRunReply = entry.hasNotRunReply || outcome == Outcome::NotRun;
    if (entry.outcome != Outcome::Pending)
        return;
    entry.outcome = outcome;
    entry.reason = reason;
    entry.outcomeAt = now;
}

bool RequestLedger::isPending(RequestKey const &key) const
{
    return this->entries.at(key).outcome == Outcome::Pending;
}

void RequestLedger::accumulate(RequestFigures &figures, Entry const &entry) const
{
    bool const isAnswered = entry.outcome == Outcome::Answered && !entry.hasWrongAnswer;
    bool const isInTime = entry.outcomeAt <= entry.issued.deadline;
    ++figures.arrived;
    ++figures.arrivedByClass[entry.issued.requestClass];
    if (isAnswered && isInTime) {
        ++figures.answeredInTime;
        ++figures.answeredByClass[entry.issued.requestClass];
    }
    figures.notRun += entry.outcome == Outcome::NotRun ? 1 : 0;
    figures.unknown += entry.outcome == Outcome::Unknown ? 1 : 0;
    if (entry.reason != Reason::None)
        ++figures.reasons[entry.reason];
    figures.withoutOutcome += entry.outcome == Outcome::Pending ? 1 : 0;
    figures.tries += entry.tries.size();
    figures.triedRequests += entry.tries.empty() ? 0 : 1;
    FalseOutcomes &wrong = figures.falseOutcomes;
    wrong.notRunButRan += entry.hasNotRunReply && entry.starts > 0 ? 1 : 0;
    wrong.wrongAnswer += entry.hasWrongAnswer ? 1 : 0;
    bool const isNonIdempotent = entry.issued.idempotency == Idempotency::NonIdempotent;
    wrong.ranTwice += isNonIdempotent && entry.starts > 1 ? 1 : 0;
    wrong.answeredLate += isAnswered && !isInTime ? 1 : 0;
    if (entry.issued.requestClass != RequestClass::Urgent)
        return;
    if (entry.starts == 0)
        ++figures.urgentNotStarted;
    else
        figures.urgentWaitTimes.push_back(entry.firstStart - entry.issued.arrivedAt);
}

RequestFigures RequestLedger::figures(Timestamp begin, Timestamp end) const
{
    RequestFigures figures;
    for (auto const &[key, entry] : this->entries) {
        if (entry.issued.arrivedAt >= begin && entry.issued.arrivedAt < end)
            this->accumulate(figures, entry);
    }
    std::ranges::sort(figures.urgentWaitTimes);
    return figures;
}

} // namespace almondwing
