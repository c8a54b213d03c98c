// Implements the requests of a caller stand-in.

#include <LibStandIns/CallerRequests.h>

#include <algorithm>

namespace almondwing {

namespace {

// Keeps a ResendParts message well within a datagram, and the parts that it requests within a receive buffer.
constexpr std::size_t maxPartsPerResend = 100;

// After more than this number of consecutive checks without progress, the caller sends a partly answered
// request again, because the target may no longer have the answer. A request without any part is sent again
// after each check.
constexpr std::uint32_t maxChecksWithoutProgress = 3;

} // namespace

void CallerRequests::start()
{
    if (this->plan.requests == 0) {
        this->hooks.allRequestsEnded();
        return;
    }
    if (this->plan.requestRate > 0) {
        this->startDueRequests(this->hooks.now());
        return;
    }
    for (std::uint64_t index = 0; index < std::max<std::uint64_t>(1, this->plan.concurrency); ++index)
        this->startNext();
}

void CallerRequests::startDueRequests(Timestamp begin)
{
    // The number of due requests is computed from the start time, so that late timers don't lower the rate.
    auto const rate = static_cast<Duration::rep>(this->plan.requestRate);
    auto const due = static_cast<std::uint64_t>((this->hooks.now() - begin) * rate / Duration(1s)) + 1;
    std::uint64_t started = this->progress.read()->started;
    for (; started < std::min(due, this->plan.requests); ++started)
        this->startNext();
    if (started == this->plan.requests)
        return;
    Timestamp const next = begin + Duration(1s) * static_cast<Duration::rep>(started) / rate;
    this->hooks.schedule(std::max(next - this->hooks.now(), Duration{}),
                         [this, begin] { this->startDueRequests(begin); });
}

void CallerRequests::startNext()
{
    std::uint64_t number = 0;
    this->progress.update([&](Progress next) {
        number = next.started < this->plan.requests ? ++next.started : 0;
        return next;
    });
    if (number == 0)
        return;
    RequestKey const key{.service = this->plan.service, .caller = this->plan.callerId, .number = number};
    CallerRequest request;
    request.startedAt = this->hooks.now();
    request.socketIndex = number % this->plan.socketCount;
    this->blackboard.requests.write(key, request, 0);
    this->send(request.startedAt, key, request);
    this->scheduleCheck(key);
    if (this->plan.cancelAfter > Duration{})
        this->hooks.schedule(this->plan.cancelAfter, [this, key] { this->cancel(key); });
    this->hooks.schedule(this->plan.deadline + this->plan.gracePeriod, [this, key] {
        this->end(this->hooks.now(), key, CallerOutcome::NoOutcome, Reason::None);
    });
}

void CallerRequests::send(Timestamp now, RequestKey const &key, CallerRequest const &request)
{
    Duration const timeLeft = request.startedAt + this->plan.deadline - now;
    this->hooks.send(request.socketIndex,
                     Request{.key = key,
                             .attempt = request.attempt,
                             .requestClass = this->plan.requestClass,
                             .idempotency = this->plan.idempotency,
                             .timeLeft = std::max(timeLeft, Duration{}),
                             .payload = this->plan.runParameters.toPayload()});
}

void CallerRequests::cancel(RequestKey const &key)
{
    auto const request = this->blackboard.requests.read(key);
    if (request && request->value.outcome == CallerOutcome::Pending)
        this->hooks.send(request->value.socketIndex, CancelRequest{.key = key, .tryId = 0});
}

void CallerRequests::scheduleCheck(RequestKey const &key)
{
    this->hooks.schedule(this->plan.resendAfter, [this, key] { this->checkProgress(key); });
}

void CallerRequests::checkProgress(RequestKey const &key)
{
    bool hasProgress = false;
    bool isNewAttempt = false;
    auto const request = this->blackboard.requests.update(
        key, [&](std::optional<CallerRequest> known) -> std::optional<CallerRequest> {
            if (!known || known->outcome != CallerOutcome::Pending)
                return known;
            hasProgress = known->receivedParts > known->partsAtLastProgressCheck;
            known->partsAtLastProgressCheck = known->receivedParts;
            known->checksWithoutProgress = hasProgress ? 0 : known->checksWithoutProgress + 1;
            isNewAttempt = !hasProgress
                && (known->answers.empty() || known->checksWithoutProgress > maxChecksWithoutProgress);
            known->attempt += isNewAttempt ? 1 : 0;
            known->checksWithoutProgress = isNewAttempt ? 0 : known->checksWithoutProgress;
            return known;
        });
    if (!request || request->outcome != CallerOutcome::Pending)
        return;
    if (isNewAttempt) {
        updateCounts(this->blackboard, [](CallerCounts &counts) { ++counts.requestResends; });
        this->send(this->hooks.now(), key, *request);
    }
    this->scheduleCheck(key);
}

void CallerRequests::checkMissingParts(RequestKey const &key)
{
    bool isStalled = false;
    auto const request = this->blackboard.requests.update(
        key, [&](std::optional<CallerRequest> known) -> std::optional<CallerRequest> {
            if (!known || known->outcome != CallerOutcome::Pending)
                return known;
            isStalled = known->receivedParts == known->partsAtLastMissingPartsCheck;
            known->partsAtLastMissingPartsCheck = known->receivedParts;
            return known;
        });
    if (!request || request->outcome != CallerOutcome::Pending)
        return;
    if (isStalled)
        this->requestMissingParts(key);
    this->hooks.schedule(this->plan.missingPartsTimeout, [this, key] { this->checkMissingParts(key); });
}

void CallerRequests::requestMissingParts(RequestKey const &key)
{
    std::vector<ResendParts> messages;
    auto const request = this->blackboard.requests.update(
        key, [&](std::optional<CallerRequest> known) -> std::optional<CallerRequest> {
            if (!known || known->outcome != CallerOutcome::Pending)
                return known;
            messages.clear();
            known->expectedParts = known->receivedParts;
            for (auto const &[tryId, answer] : known->answers) {
                messages.push_back(ResendParts{
                    .key = key, .tryId = tryId, .parts = answer->missingParts(maxPartsPerResend)});
                known->expectedParts += messages.back().parts.size();
            }
            return known;
        });
    for (ResendParts const &message : messages) {
        updateCounts(this->blackboard, [](CallerCounts &counts) { ++counts.partResends; });
        this->hooks.send(request->socketIndex, message);
    }
}

void CallerRequests::handle(Timestamp now, CallerReply const &reply)
{
    if (auto const *const part = std::get_if<AnswerPart>(&reply))
        this->handlePart(now, *part);
    else if (auto const *const notRun = std::get_if<NotRun>(&reply))
        this->end(now, notRun->key, CallerOutcome::NotRun, notRun->reason);
    else if (auto const *const unknown = std::get_if<OutcomeUnknown>(&reply))
        this->end(now, unknown->key, CallerOutcome::Unknown, unknown->reason);
}

void CallerRequests::handlePart(Timestamp now, AnswerPart const &part)
{
    bool isFirst = false;
    bool isResendComplete = false;
    auto const request = this->blackboard.requests.update(
        part.key, [&](std::optional<CallerRequest> known) -> std::optional<CallerRequest> {
            if (!known || known->outcome != CallerOutcome::Pending)
                return known;
            isFirst = known->receivedParts == 0;
            auto &answer = known->answers[part.tryId];
            if (!answer)
                answer = std::make_shared<AnswerAssembly const>();
            std::size_t const before = answer->receivedParts();
            answer = std::make_shared<AnswerAssembly const>(answer->with(part));
            known->receivedParts += answer->receivedParts() - before;
            isResendComplete = known->expectedParts > 0 && known->receivedParts >= known->expectedParts;
            known->expectedParts = isResendComplete ? 0 : known->expectedParts;
            return known;
        });
    if (!request) {
        // This caller has not sent the request.
        updateCounts(this->blackboard, [](CallerCounts &counts) { ++counts.wrongAnswers; });
        return;
    }
    if (request->outcome == CallerOutcome::NotRun)
        updateCounts(this->blackboard, [](CallerCounts &counts) { ++counts.answeredAfterNotRun; });
    if (request->outcome != CallerOutcome::Pending)
        return;
    this->checkAnswer(now, part.key, *request->answers.at(part.tryId));
    if (isResendComplete)
        this->requestMissingParts(part.key);
    if (isFirst)
        this->hooks.schedule(this->plan.missingPartsTimeout,
                             [this, key = part.key] { this->checkMissingParts(key); });
}

void CallerRequests::checkAnswer(Timestamp now, RequestKey const &key, AnswerAssembly const &answer)
{
    AssemblyState const state = answer.state();
    if (state == AssemblyState::Incomplete)
        return;
    std::size_t const size = this->plan.runParameters.answerSize;
    bool const isCorrect =
        state == AssemblyState::Complete && answer.body() == answerBytes(key, size, 0, size);
    if (!isCorrect)
        updateCounts(this->blackboard, [](CallerCounts &counts) { ++counts.wrongAnswers; });
    this->end(now, key, CallerOutcome::Answered, Reason::None);
}

void CallerRequests::end(Timestamp now, RequestKey const &key, CallerOutcome outcome, Reason reason)
{
    auto const known = this->blackboard.requests.read(key);
    if (!known || known->value.outcome != CallerOutcome::Pending)
        return;
    CallerRequest ended = known->value;
    ended.outcome = outcome;
    ended.reason = reason;
    ended.endedAt = now;
    ended.answers.clear();
    if (this->blackboard.requests.write(key, ended, known->version) == WriteOutcome::Conflict) {
        this->end(now, key, outcome, reason);
        return;
    }
    this->hooks.requestEnded(key, ended);
    std::uint64_t endedCount = 0;
    this->progress.update([&](Progress next) {
        endedCount = ++next.ended;
        return next;
    });
    if (endedCount == this->plan.requests)
        this->hooks.allRequestsEnded();
    if (this->plan.requestRate == 0)
        this->startNext();
}

} // namespace almondwing
