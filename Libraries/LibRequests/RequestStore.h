// Access to the blackboard tables that requests use. Each change compares the version of the entry and is
// decided again if another thread has changed the entry. The class has no state of its own. Functions that
// change a record return the new one only if this call made the change, so that exactly one thread acts on
// it.

#pragma once

#include <LibRequests/ExpirySchedule.h>
#include <LibRequests/RequestSettings.h>
#include <LibRequests/RequestStep.h>
#include <LibState/Blackboard.h>

#include <functional>
#include <optional>
#include <vector>

namespace almondwing {

enum class TryEvent : std::uint8_t { Answered, AnsweredSlowly, Shed, TimedOut, Started };

class RequestStore
{
public:
    // Returns the new record, or nullopt for no change. May run repeatedly, so each run must set all outputs.
    using RecordChange = std::function<std::optional<RequestRecord>(RequestRecord const &)>;
    using QueueChange = std::function<RequestQueue(RequestQueue)>;

    RequestStore(Blackboard &sharedState, RequestSettings const &settingsInUse, ExpirySchedule &expiry);

    std::optional<RequestRecord> find(RequestKey key) const;
    WriteOutcome create(RequestKey key, RequestRecord const &record);
    std::optional<RequestRecord> change(RequestKey key, RecordChange const &decide);

    // Records that the message of the step is sent now. Returns nullopt if the step is no longer due.
    std::optional<RequestRecord> markSent(RequestKey key, RequestStep step, Timestamp now);
    std::optional<RequestRecord> moveToTarget(RequestKey key, TargetId target);

    // Returns the time until which the record of an ended request is kept.
    Timestamp keepUntil(RequestRecord const &record, Timestamp now) const;
    void scheduleExpiry(RequestKey key, RequestRecord const &record);
    void expire(std::vector<RequestKey> const &keys, Timestamp now);

    RequestQueue queue(TargetId target) const;
    void changeQueue(TargetId target, QueueChange const &decide);
    // Removes the keys of requests whose phase no longer belongs to the list that they are in.
    void pruneQueue(TargetId target);
    void removeEmptyQueue(TargetId target);

    TargetUsage usage(TargetId target) const;
    bool takeSlot(TargetId target, RequestClass requestClass, TargetLimits limits, RequestQueue const &queue,
                  Timestamp now);
    void releaseSlot(TargetId target);
    void countEvent(TargetId target, TryEvent event, Timestamp now);

    // Reserves memory for a part and evicts finished answers if necessary, those that expire first. Returns
    // false if that does not free enough.
    bool reserveAnswerBytes(std::size_t bytes, Timestamp now);
    void releaseAnswerBytes(std::size_t bytes);

    InstanceId self() const;
    std::shared_ptr<RoutingView const> view() const { return this->blackboard.routingView.read(); }

    // Whether operators have taken out the failure domain of the target.
    bool isTakenOut(RoutedTarget const &target) const;

    Blackboard &board() { return this->blackboard; }
    RequestSettings const &requestSettings() const { return this->settings; }

private:
    void countBucket(RequestKey key, TargetId target, int change);
    void evictAnswers(std::size_t bytes, Timestamp now);
    void dropAnswer(RequestKey key);

    Blackboard &blackboard;
    RequestSettings const &settings;
    ExpirySchedule &schedule;
};

} // namespace almondwing
