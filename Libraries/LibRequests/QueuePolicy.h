// Pure decisions about queues and slots of one target: which request may start, how long one would wait.

#pragma once

#include <LibManifest/Manifest.h>
#include <LibRequests/RequestSettings.h>
#include <LibState/RequestRecord.h>
#include <LibState/TargetUsage.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace almondwing {

// Slots that count as in use: own tries, and those that a predecessor may have left.
std::uint32_t occupiedSlots(TargetUsage const &usage, Timestamp now);

// Whether a request of the class may take a slot now. Bulk never takes the last one; with a single slot it
// runs only when nothing else waits and the target had no urgent or interactive work for `bulkQuietTime`.
bool mayTakeSlot(RequestClass requestClass, TargetUsage const &usage, TargetLimits limits,
                 RequestQueue const &queue, RequestSettings const &settings, Timestamp now);

// The usage with one more busy slot, or nullopt if the class may not take one.
std::optional<TargetUsage> takeSlot(RequestClass requestClass, TargetUsage const &usage, TargetLimits limits,
                                    RequestQueue const &queue, RequestSettings const &settings,
                                    Timestamp now);

// Whether a waiting request can be started at once: recorded, and not waiting for a retry delay.
using ReadyCheck = std::function<bool(RequestKey)>;

// The waiting request that starts next: urgent before interactive before bulk, each in order of arrival.
std::optional<RequestKey> nextToStart(RequestQueue const &queue, ReadyCheck const &isReady,
                                      TargetUsage const &usage, TargetLimits limits,
                                      RequestSettings const &settings, Timestamp now);

// Time until a new request of the class would start, from the measured service times.
Duration expectedWait(RequestClass requestClass, RequestQueue const &queue, TargetUsage const &usage,
                      TargetLimits limits, Timestamp now);

// Whether the request that is judged stands in the queue itself.
enum class QueueMembership : std::uint8_t { Arriving, Waiting };

// Whether a request that starts after the wait can be expected to be answered in the time left. One that
// could only start would hold a slot until its deadline and give no answer. The only request of an idle
// target runs all the same, so that a service time that was measured too long is corrected. A target with one
// slot is idle after each run, so idleness alone must not be enough.
bool hasTimeToRun(RequestClass requestClass, Duration timeLeft, Duration wait, QueueMembership membership,
                  RequestQueue const &queue, TargetUsage const &usage, RequestSettings const &settings);

enum class QueuePlace : std::uint8_t { Reserved, QueueFull, DeadlineTooShort };

struct PlaceDecision
{
    QueuePlace place = QueuePlace::Reserved;
    Duration wait{}; // Expected.

    friend bool operator==(PlaceDecision const &, PlaceDecision const &) = default;
};

PlaceDecision decidePlace(RequestClass requestClass, Duration timeLeft, RequestQueue const &queue,
                          TargetUsage const &usage, TargetLimits limits, RequestSettings const &settings,
                          Timestamp now);

RequestQueue withWaiting(RequestQueue queue, RequestKey key, RequestClass requestClass, Timestamp now);
RequestQueue withActive(RequestQueue queue, RequestKey key);
RequestQueue withoutWaiting(RequestQueue queue, RequestKey key);
RequestQueue withoutActive(RequestQueue queue, RequestKey key);
RequestQueue withServiceTime(RequestQueue queue, RequestClass requestClass, Duration measured, Timestamp now);

} // namespace almondwing
