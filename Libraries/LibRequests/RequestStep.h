// Pure decision about what time alone makes of a request: repeats, timeouts, expiry.

#pragma once

#include <LibRequests/RequestSettings.h>
#include <LibState/RequestRecord.h>

#include <cstdint>

namespace almondwing {

enum class RequestStep : std::uint8_t {
    None,
    RepeatLocate,
    EndLocate, // Not all have answered in time.
    RepeatRecord,
    GiveUpRecording,
    RefuseExpired, // Never sent to a target, and its deadline has passed.
    RepeatRun,
    AskForParts,
    CancelOverdue,
    RepeatCancel,
    GiveUpTry, // The target has not confirmed the end of a cancelled try.
    FreeSlot, // The grace time of a slot without confirmation is over.
};

RequestStep nextStep(RequestRecord const &record, RequestSettings const &settings, Timestamp now);

} // namespace almondwing
