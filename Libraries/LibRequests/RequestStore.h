// The tables of the blackboard that requests use, with the compare on version that every change needs.
// Holds no state of its own. Functions that return a record return it only if this call made the change, so
// that of several threads exactly one acts on it.

#pragma once

#include <LibRequests/ExpirySchedule.h>
#include <LibRequests/RequestSettings.h>
#include <LibRequests/RequestStep.h>
#include <LibState/Blackboard.h>

#include <functional>
#include <optional>
#include <vector>

namespace almondwing {

enum class SlotEvent : std::uint8_t { Answered, SlowlyAnswered, Shed, TimedOut, None };

class RequestStore
{
public:
    // Gives the new record, or nullopt to leave it as it is. Pure; may run again.
    using Decide = std::function<std::optional<RequestRecord>(RequestRecord const &)>;
    using DecideQueue = std::function<RequestQueue(RequestQueue)>;

    RequestStore(Blackboard &sharedState, RequestSettings const &settingsInUse, ExpirySchedule &expiry);

    std::optional<RequestRecord> find(RequestKey key) const;
    WriteOutcome create(RequestKey key, RequestRecord const &record);
    std::optional<RequestRecord> change(RequestKey key, Decide const &decide);

    // Notes that the message of the step is sent now; nothing if the step is not due any more.
    std::optional<RequestRecord> markSent(RequestKey key, RequestStep step, Timestamp now);
    std::optional<RequestRecord> moveToTarget(RequestKey key, TargetId target);

    // Sets the time until which a record that has ended is kept.
    Timestamp keepUntil(RequestRecord const &record, Timestamp now) const;
    void fileForExpiry(RequestKey key, RequestRecord const &record);
    void expire(std::vector<RequestKey> const &keys, Timestamp now);

    RequestQueue queue(TargetId target) const;
    void changeQueue(TargetId target, DecideQueue const &decide);
    // Removes keys that are no longer in a phase that belongs to their list.
    void tidyQueue(TargetId target);
    void forgetEmptyQueue(TargetId target);

    TargetUsage usage(TargetId target) const;
    bool takeSlot(TargetId target, RequestClass requestClass, TargetLimits limits, RequestQueue const &queue,
                  Timestamp now);
    void releaseSlot(TargetId target);
    void countEvent(TargetId target, SlotEvent event, Timestamp now);

    // Makes room for a part by dropping the oldest finished answers; false if there is none to drop.
    bool reserveAnswerBytes(std::size_t bytes, Timestamp now);
    void returnAnswerBytes(std::size_t bytes);

    InstanceId self() const;
    std::shared_ptr<RoutingView const> view() const { return this->blackboard.routingView.read(); }

    // Whether operators have taken out the failure domain of the target.
    bool isTakenOut(RoutedTarget const &target) const;

    Blackboard &board() { return this->blackboard; }
    RequestSettings const &times() const { return this->settings; }

private:
    void countBucket(RequestKey key, TargetId target, int change);
    void evictUntil(std::size_t bytes, Timestamp now);
    void dropAnswer(RequestKey key);

    Blackboard &blackboard;
    RequestSettings const &settings;
    ExpirySchedule &schedule;
};

} // namespace almondwing
