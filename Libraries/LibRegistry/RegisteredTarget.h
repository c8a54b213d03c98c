// A target of almondwing-node, as its heartbeats describe it. Instances exchange these records. They are not
// durable, except that control instances store a recent copy for their next start.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Time.h>

#include <absl/status/status.h>

#include <compare>
#include <cstdint>
#include <string>

namespace almondwing {

// The number by which a target recognizes the packets that are addressed to it.
struct TargetNumber
{
    std::uint64_t value = 0;

    bool isNone() const { return this->value == 0; }

    friend constexpr auto operator<=>(TargetNumber, TargetNumber) = default;
};

enum class RegisteredState : std::uint8_t {
    Ready = 0,
    Draining = 1, // Keeps its flows and gets no new ones.
    // Has deregistered, or another target has started later at its endpoint. A target that has deregistered
    // still serves its flows until it receives the acknowledgement. Final until the target starts again.
    Gone = 2,
};

// Orders the reports about one target: by the start of the target, then by the sequence number.
struct ReportVersion
{
    std::int64_t startUnixMilliseconds = 0;
    std::uint64_t sequence = 0; // Of the heartbeat. Starts again with each start of the target.

    friend constexpr auto operator<=>(ReportVersion, ReportVersion) = default;
};

constexpr std::uint32_t maxSlots = 65'536;

struct RegisteredTarget
{
    TargetNumber number;
    std::string service;
    std::string failureDomain;
    Endpoint endpoint;
    std::uint32_t slots = 1; // The number of requests that it processes concurrently; 1 to maxSlots.
    RegisteredState state = RegisteredState::Ready;
    ReportVersion reportVersion;
    // When the latest heartbeat reached any control instance, or when the target was marked Gone, in local
    // time.
    Timestamp lastSeenAt;
    // When the cold phase ends, in local time. In this phase, after its start or the return of its failure
    // domain to service, the target should get less work.
    Timestamp coldUntil;

    bool isColdAt(Timestamp now) const { return now < this->coldUntil; }

    friend bool operator==(RegisteredTarget const &, RegisteredTarget const &) = default;
};

// What every record must fulfil, whether it comes from a heartbeat, another instance or a stored copy:
// number, service, failure domain, endpoint, start and sequence are set, and the slots are in their range.
// Returns InvalidArgument that names the member otherwise. Such a record is not from a target and must not be
// used.
absl::Status checkRecord(RegisteredTarget const &target);

} // namespace almondwing

template<>
struct std::hash<almondwing::TargetNumber>
{
    std::size_t operator()(almondwing::TargetNumber number) const noexcept { return number.value; }
};
