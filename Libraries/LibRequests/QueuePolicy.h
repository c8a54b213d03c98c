// Pure functions that decide about the queue and the slots of one target: which request may start, and how
// long a request would wait.

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

// Returns the slots that count as in use: those of own tries and those that a predecessor may still use.
std::uint32_t occupiedSlots(TargetUsage const &usage, Timestamp now);

// Whether a request of the class may take a slot now. Bulk requests leave the last free slot to other
// classes. At a target with one slot, bulk runs only if no other class waits and the target has had no urgent
// or interactive request for `bulkQuietTime`.
bool mayTakeSlot(RequestClass requestClass, TargetUsage const &usage, TargetLimits limits,
                 RequestQueue const &queue, RequestSettings const &settings, Timestamp now);

// Returns the usage with one more busy slot, or nullopt if the class may not take one.
std::optional<TargetUsage> takeSlot(RequestClass requestClass, TargetUsage const &usage, TargetLimits limits,
                                    RequestQueue const &queue, RequestSettings const &settings,
                                    Timestamp now);

// Whether a waiting request can start now; not while it is being recorded or waits for a retry, for example.
using ReadyCheck = std::function<bool(RequestKey)>;

// Returns the waiting request to start next: urgent before interactive before bulk, and within a class in
// order of arrival.
std::optional<RequestKey> nextToStart(RequestQueue const &queue, ReadyCheck const &isReady,
                                      TargetUsage const &usage, TargetLimits limits,
                                      RequestSettings const &settings, Timestamp now);

// Estimates from the measured service times how long a new request of the class waits until it starts.
Duration expectedWait(RequestClass requestClass, RequestQueue const &queue, TargetUsage const &usage,
                      TargetLimits limits, Timestamp now);

// Whether the request under decision is already in the queue.
enum class QueueMembership : std::uint8_t { Arriving, Waiting };

// Whether a request that starts after `wait` can be expected to be answered within `timeLeft`. A request that
// can start but not finish would hold a slot until its deadline without an answer. The only request at an
// idle target is exempt, so that a service time that was measured too long gets corrected. An idle target
// alone is not enough for the exemption, because a target with one slot is idle after every run.
bool hasTimeToRun(RequestClass requestClass, Duration timeLeft, Duration wait, QueueMembership membership,
                  RequestQueue const &queue, TargetUsage const &usage, RequestSettings const &settings);

enum class QueueAdmission : std::uint8_t { Accepted, QueueFull, DeadlineTooShort };

struct AdmissionDecision
{
    QueueAdmission admission = QueueAdmission::Accepted;
    Duration wait{}; // Estimated.

    friend bool operator==(AdmissionDecision const &, AdmissionDecision const &) = default;
};

AdmissionDecision decideAdmission(RequestClass requestClass, Duration timeLeft, RequestQueue const &queue,
                                  TargetUsage const &usage, TargetLimits limits,
                                  RequestSettings const &settings, Timestamp now);

RequestQueue withWaiting(RequestQueue queue, RequestKey key, RequestClass requestClass, Timestamp now);
RequestQueue withActive(RequestQueue queue, RequestKey key);
RequestQueue withoutWaiting(RequestQueue queue, RequestKey key);
RequestQueue withoutActive(RequestQueue queue, RequestKey key);
RequestQueue withServiceTime(RequestQueue queue, RequestClass requestClass, Duration measured, Timestamp now);

} // namespace almondwing
