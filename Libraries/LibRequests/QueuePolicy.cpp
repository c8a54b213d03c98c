// Implements the decisions about the queue and the slots of a target.

#include <LibRequests/QueuePolicy.h>

#include <algorithm>

namespace almondwing {

namespace {

std::size_t indexOf(RequestClass requestClass)
{
    return static_cast<std::size_t>(requestClass);
}

std::size_t waitingUpTo(RequestClass requestClass, RequestQueue const &queue)
{
    std::size_t waiting = 0;
    for (std::size_t index = 0; index <= indexOf(requestClass); ++index)
        waiting += queue.waiting[index].size();
    return waiting;
}

bool hasPriorityWork(RequestQueue const &queue)
{
    return !queue.waiting[indexOf(RequestClass::Urgent)].empty()
        || !queue.waiting[indexOf(RequestClass::Interactive)].empty();
}

} // namespace

std::uint32_t occupiedSlots(TargetUsage const &usage, Timestamp now)
{
    return usage.busySlots + (now < usage.inheritedUntil ? usage.inheritedSlots : 0);
}

bool mayTakeSlot(RequestClass requestClass, TargetUsage const &usage, TargetLimits limits,
                 RequestQueue const &queue, RequestSettings const &settings, Timestamp now)
{
    std::uint32_t const occupied = occupiedSlots(usage, now);
    if (requestClass != RequestClass::Bulk)
        return occupied < limits.slots;
    if (limits.slots == 1)
        return occupied == 0 && !hasPriorityWork(queue)
            && now - queue.lastPriorityWork >= settings.bulkQuietTime;
    return occupied + 1 < limits.slots;
}

std::optional<TargetUsage> takeSlot(RequestClass requestClass, TargetUsage const &usage, TargetLimits limits,
                                    RequestQueue const &queue, RequestSettings const &settings, Timestamp now)
{
    if (!mayTakeSlot(requestClass, usage, limits, queue, settings, now))
        return std::nullopt;
    TargetUsage next = usage;
    ++next.busySlots;
    return next;
}

std::optional<RequestKey> nextToStart(RequestQueue const &queue, ReadyCheck const &isReady,
                                      TargetUsage const &usage, TargetLimits limits,
                                      RequestSettings const &settings, Timestamp now)
{
    for (std::size_t index = 0; index < requestClassCount; ++index) {
        if (!mayTakeSlot(static_cast<RequestClass>(index), usage, limits, queue, settings, now))
            return std::nullopt;
        auto const found = std::ranges::find_if(queue.waiting[index], isReady);
        if (found != queue.waiting[index].end())
            return *found;
    }
    return std::nullopt;
}

Duration expectedWait(RequestClass requestClass, RequestQueue const &queue, TargetUsage const &usage,
                      TargetLimits limits, Timestamp now)
{
    std::uint32_t const occupied = occupiedSlots(usage, now);
    std::uint32_t const slots = std::max(limits.slots, 1U);
    // Inherited slots are not released individually, but all at `inheritedUntil`.
    bool const isBlocked = now < usage.inheritedUntil && usage.inheritedSlots >= slots;
    Duration const blocked = isBlocked ? usage.inheritedUntil - now : Duration::zero();
    Duration work{};
    for (std::size_t index = 0; index <= indexOf(requestClass); ++index)
        work += queue.serviceTime[index] * static_cast<Duration::rep>(queue.waiting[index].size());
    if (waitingUpTo(requestClass, queue) == 0 && occupied < slots)
        return Duration::zero();
    // Assumes that the running tries end, on average, after half of the highest average service time.
    work += std::ranges::max(queue.serviceTime) * static_cast<Duration::rep>(std::min(occupied, slots)) / 2;
    return std::max(work / slots, blocked);
}

bool hasTimeToRun(RequestClass requestClass, Duration timeLeft, Duration wait, QueueMembership membership,
                  RequestQueue const &queue, TargetUsage const &usage, RequestSettings const &settings)
{
    if (settings.deadlineChecks == DeadlineChecks::Off)
        return true;
    std::size_t const own = membership == QueueMembership::Waiting ? 1 : 0;
    bool const isAlone = waitingUpTo(requestClass, queue) <= own && usage.busySlots == 0;
    Duration const needed = isAlone ? wait : wait + queue.serviceTime[indexOf(requestClass)];
    return needed <= timeLeft;
}

AdmissionDecision decideAdmission(RequestClass requestClass, Duration timeLeft, RequestQueue const &queue,
                                  TargetUsage const &usage, TargetLimits limits,
                                  RequestSettings const &settings, Timestamp now)
{
    Duration const wait = expectedWait(requestClass, queue, usage, limits, now);
    if (queue.waiting[indexOf(requestClass)].size() >= settings.maxQueueLength)
        return {.admission = QueueAdmission::QueueFull, .wait = wait};
    if (!hasTimeToRun(requestClass, timeLeft, wait, QueueMembership::Arriving, queue, usage, settings))
        return {.admission = QueueAdmission::DeadlineTooShort, .wait = wait};
    return {.admission = QueueAdmission::Accepted, .wait = wait};
}

RequestQueue withWaiting(RequestQueue queue, RequestKey key, RequestClass requestClass, Timestamp now)
{
    queue.waiting[indexOf(requestClass)].push_back(key);
    if (requestClass != RequestClass::Bulk)
        queue.lastPriorityWork = now;
    return queue;
}

RequestQueue withActive(RequestQueue queue, RequestKey key)
{
    queue.active.push_back(key);
    return queue;
}

RequestQueue withoutWaiting(RequestQueue queue, RequestKey key)
{
    for (auto &waiting : queue.waiting)
        std::erase(waiting, key);
    return queue;
}

RequestQueue withoutActive(RequestQueue queue, RequestKey key)
{
    std::erase(queue.active, key);
    return queue;
}

RequestQueue withServiceTime(RequestQueue queue, RequestClass requestClass, Duration measured, Timestamp now)
{
    // Each new measurement counts for one eighth, so that short bursts don't change the average much.
    constexpr Duration::rep smoothing = 8;
    Duration &average = queue.serviceTime[indexOf(requestClass)];
    average = average == Duration::zero() ? measured : average + (measured - average) / smoothing;
    if (requestClass != RequestClass::Bulk)
        queue.lastPriorityWork = now;
    return queue;
}

} // namespace almondwing
