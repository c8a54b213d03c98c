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

void RequestLedger::noteTry(RequestKey const &key, std::uint64_t tryId)
{
    this->entries.at(key).tries.insert(tryId);
}

void RequestLedger::noteStart(RequestKey const &key, Timestamp now)
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
        this->tell(notRun->key, Told::NotRun, notRun->reason, now);
    else if (auto const *const unknown = std::get_if<OutcomeUnknown>(&reply))
        this->tell(unknown->key, Told::Unknown, unknown->reason, now);
}

void RequestLedger::handlePart(Endpoint caller, AnswerPart const &part, Timestamp now)
{
    Entry &entry = this->entries.at(part.key);
    if (entry.issued.caller != caller) {
        entry.gotWrongAnswer = true;
        this->wrongAnswers.push_back(fmt::format("part for number {} at another caller", part.key.number));
        return;
    }
    if (entry.told != Told::Nothing) // A copy of an answer, or the rest of one that came too late.
        return;
    AnswerAssembly &answer = entry.answers[part.tryId];
    answer = answer.with(part);
    if (answer.state() == AssemblyState::Incomplete)
        return;
    std::size_t const size = entry.issued.answerSize;
    bool const isRight =
        answer.state() == AssemblyState::Complete && answer.body() == answerBytes(part.key, size, 0, size);
    if (!isRight) {
        entry.gotWrongAnswer = true;
        this->wrongAnswers.push_back(fmt::format("wrong bytes for number {}", part.key.number));
    }
    entry.answers.clear();
    this->tell(part.key, Told::Answered, Reason::None, now);
}

void RequestLedger::tell(RequestKey const &key, Told told, Reason reason, Timestamp now)
{
    Entry &entry = this->entries.at(key);
    entry.wasToldNotRun = entry.wasToldNotRun || told == Told::NotRun;
    if (entry.told != Told::Nothing)
        return;
    entry.told = told;
    entry.reason = reason;
    entry.toldAt = now;
}

bool RequestLedger::isOpen(RequestKey const &key) const
{
    return this->entries.at(key).told == Told::Nothing;
}

void RequestLedger::addTo(RequestFigures &figures, Entry const &entry) const
{
    bool const isAnswered = entry.told == Told::Answered && !entry.gotWrongAnswer;
    bool const isInTime = entry.toldAt <= entry.issued.deadline;
    ++figures.fresh;
    ++figures.freshOfClass[entry.issued.requestClass];
    if (isAnswered && isInTime) {
        ++figures.answeredInTime;
        ++figures.answeredOfClass[entry.issued.requestClass];
    }
    figures.refused += entry.told == Told::NotRun ? 1 : 0;
    figures.unknown += entry.told == Told::Unknown ? 1 : 0;
    if (entry.reason != Reason::None)
        ++figures.reasons[entry.reason];
    figures.withoutOutcome += entry.told == Told::Nothing ? 1 : 0;
    figures.tries += entry.tries.size();
    figures.triedRequests += entry.tries.empty() ? 0 : 1;
    FalseOutcomes &wrong = figures.falseOutcomes;
    wrong.notRunButRan += entry.wasToldNotRun && entry.starts > 0 ? 1 : 0;
    wrong.wrongAnswer += entry.gotWrongAnswer ? 1 : 0;
    bool const isNonIdempotent = entry.issued.idempotency == Idempotency::NonIdempotent;
    wrong.ranTwice += isNonIdempotent && entry.starts > 1 ? 1 : 0;
    wrong.answeredLate += isAnswered && !isInTime ? 1 : 0;
    if (entry.issued.requestClass != RequestClass::Urgent)
        return;
    if (entry.starts == 0)
        ++figures.urgentNotStarted;
    else
        figures.urgentWaits.push_back(entry.firstStart - entry.issued.arrivedAt);
}

RequestFigures RequestLedger::figures(Timestamp begin, Timestamp end) const
{
    RequestFigures figures;
    for (auto const &[key, entry] : this->entries) {
        if (entry.issued.arrivedAt >= begin && entry.issued.arrivedAt < end)
            this->addTo(figures, entry);
    }
    std::ranges::sort(figures.urgentWaits);
    return figures;
}

} // namespace almondwing
