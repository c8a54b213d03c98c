// A pure function that decides which timer-driven step of a request is due: a retransmission, a timeout, the
// passing of the deadline or the release of a slot.

#pragma once

#include <LibRequests/RequestSettings.h>
#include <LibState/RequestRecord.h>

#include <cstdint>

namespace almondwing {

enum class RequestStep : std::uint8_t {
    None,
    RetransmitLocate,
    EndLocate, // Not all instances have answered within `locateTimeout`.
    RetransmitRecord,
    GiveUpRecording,
    RefusePastDeadline, // The deadline has passed and no try is running.
    RetransmitRun,
    RequestParts,
    CancelPastDeadline, // The deadline has passed while a try is running.
    RetransmitCancel,
    GiveUpTry, // The target has not confirmed the end of a cancelled try within `cancelTimeout`.
    ReleaseSlot, // The grace period of a slot whose release the target did not confirm is over.
};

RequestStep nextStep(RequestRecord const &record, RequestSettings const &settings, Timestamp now);

} // namespace almondwing
