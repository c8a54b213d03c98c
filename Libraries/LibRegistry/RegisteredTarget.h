// One target as its heartbeats describe it. Instances exchange these records; nothing of them is durable,
// except that control instances keep a recent copy for their next start.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Time.h>

#include <compare>
#include <cstdint>
#include <string>

namespace almondwing {

// The number by which a target recognizes packets that are meant for it.
struct TargetNumber
{
    std::uint64_t value = 0;

    bool isNone() const { return this->value == 0; }

    friend constexpr auto operator<=>(TargetNumber, TargetNumber) = default;
};

enum class RegisteredState : std::uint8_t {
    Ready = 0,
    Draining = 1, // Keeps its flows and gets no new ones.
    Gone = 2, // Has ended for certain; final for its incarnation.
};

// Orders what is said of one target: a later start goes first, then the later report.
struct ReportVersion
{
    std::int64_t startUnixMilliseconds = 0; // Unix time of the start of the target.
    std::uint64_t sequence = 0; // Of the heartbeat; counts anew after a start.

    friend constexpr auto operator<=>(ReportVersion, ReportVersion) = default;
};

struct RegisteredTarget
{
    TargetNumber number;
    std::string service;
    std::string failureDomain;
    Endpoint endpoint;
    std::uint32_t slots = 1; // Requests that it works on at a time; at least 1.
    RegisteredState state = RegisteredState::Ready;
    ReportVersion reportVersion;
    Timestamp lastSeenAt; // When its latest heartbeat reached some control instance, in local time.
    Timestamp coldUntil; // It is warm from then on, in local time.

    bool isColdAt(Timestamp now) const { return now < this->coldUntil; }

    friend bool operator==(RegisteredTarget const &, RegisteredTarget const &) = default;
};

} // namespace almondwing

template<>
struct std::hash<almondwing::TargetNumber>
{
    std::size_t operator()(almondwing::TargetNumber number) const noexcept { return number.value; }
};
