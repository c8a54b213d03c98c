// Messages of requests between callers, instances and targets.
//
// An attempt is one transmission of a request by its caller. A try is one assignment of the request to a
// target by a dispatcher; its ID distinguishes it from other tries of the same request.
//
// A request ends in exactly one of three outcomes: answered (its last AnswerPart), NotRun or OutcomeUnknown.

#pragma once

#include <LibCore/Hash.h>
#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibMessages/Reason.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace almondwing {

enum class RequestClass : std::uint8_t { Urgent = 0, Interactive = 1, Bulk = 2 };

enum class Idempotency : std::uint8_t { Idempotent = 0, NonIdempotent = 1 };

// Identifies one request for its whole lifetime, across all resends by the caller.
struct RequestKey
{
    ServiceId service;
    std::uint64_t caller = 0;
    std::uint64_t number = 0;

    friend constexpr auto operator<=>(RequestKey const &, RequestKey const &) = default;
};

struct Request
{
    RequestKey key;
    std::uint32_t attempt = 1; // Counts the transmissions by the caller, from 1.
    RequestClass requestClass = RequestClass::Interactive;
    Idempotency idempotency = Idempotency::NonIdempotent;
    Duration timeLeft{}; // Until the caller's deadline, at the time of sending.
    std::string payload;

    friend bool operator==(Request const &, Request const &) = default;
};

// Instructs a target to run a request. Retransmissions of one try carry the same try ID, and
// the target starts it once.
struct RunRequest
{
    RequestKey key;
    std::uint64_t tryId = 0;
    RequestClass requestClass = RequestClass::Interactive;
    Idempotency idempotency = Idempotency::NonIdempotent;
    Duration timeLeft{};
    std::string payload;

    friend bool operator==(RunRequest const &, RunRequest const &) = default;
};

// Sent by a target: the try was received and is running.
struct RequestStarted
{
    RequestKey key;
    std::uint64_t tryId = 0;

    friend bool operator==(RequestStarted const &, RequestStarted const &) = default;
};

// Sent by a target: the try was not run and will not be run.
struct Shed
{
    RequestKey key;
    std::uint64_t tryId = 0;
    Duration retryAfter{};

    friend bool operator==(Shed const &, Shed const &) = default;
};

// Sent by a target: the try ended without an answer, after a cancellation or at its deadline, and its slot is
// free. It may have run in part.
struct RunEnded
{
    RequestKey key;
    std::uint64_t tryId = 0;

    friend bool operator==(RunEnded const &, RunEnded const &) = default;
};

// Sent by a caller (with try ID 0) or a dispatcher: the answer is no longer needed.
struct CancelRequest
{
    RequestKey key;
    std::uint64_t tryId = 0;

    friend bool operator==(CancelRequest const &, CancelRequest const &) = default;
};

enum class PartPosition : std::uint8_t { NotLast = 0, Last = 1 };

// One part of an answer; parts are numbered from 0. The try ID is that of the try that produced the answer.
struct AnswerPart
{
    RequestKey key;
    std::uint64_t tryId = 0;
    std::uint32_t part = 0;
    PartPosition position = PartPosition::Last;
    std::string payload;

    friend bool operator==(AnswerPart const &, AnswerPart const &) = default;
};

// Asks the sender of an answer for parts that did not arrive. A caller sends it with the try ID of the parts
// that it has, a dispatcher with the ID of its own try.
struct ResendParts
{
    RequestKey key;
    std::uint64_t tryId = 0;
    std::vector<std::uint32_t> parts;

    friend bool operator==(ResendParts const &, ResendParts const &) = default;
};

// The request was not processed and will not be processed for this attempt.
struct NotRun
{
    RequestKey key;
    Reason reason = Reason::None;
    Duration retryAfter{};

    friend bool operator==(NotRun const &, NotRun const &) = default;
};

// The request may or may not have been processed; it will not be run again.
struct OutcomeUnknown
{
    RequestKey key;
    Reason reason = Reason::None;

    friend bool operator==(OutcomeUnknown const &, OutcomeUnknown const &) = default;
};

} // namespace almondwing

template<>
struct std::hash<almondwing::RequestKey>
{
    std::size_t operator()(almondwing::RequestKey const &key) const noexcept
    {
        return almondwing::combineHashes(key.service.value,
                                         almondwing::combineHashes(key.caller, key.number));
    }
};
