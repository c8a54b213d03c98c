// Messages of long-lived flows between callers, instances and targets.

#pragma once

#include <LibCore/Hash.h>
#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibMessages/Reason.h>

#include <compare>
#include <cstdint>
#include <string>

namespace almondwing {

// Identifies a flow. The caller chooses the flow number at random for each new flow.
struct FlowKey
{
    ServiceId service;
    std::uint64_t flow = 0;

    friend constexpr auto operator<=>(FlowKey const &, FlowKey const &) = default;
};

struct OpenFlow
{
    FlowKey key;
    std::string payload;

    friend bool operator==(OpenFlow const &, OpenFlow const &) = default;
};

struct FlowAccepted
{
    FlowKey key;

    friend bool operator==(FlowAccepted const &, FlowAccepted const &) = default;
};

struct FlowRefused
{
    FlowKey key;
    Reason reason = Reason::None;
    Duration retryAfter{};

    friend bool operator==(FlowRefused const &, FlowRefused const &) = default;
};

// Payload of an established flow, in either direction.
struct FlowData
{
    FlowKey key;
    std::string payload;

    friend bool operator==(FlowData const &, FlowData const &) = default;
};

struct CloseFlow
{
    FlowKey key;

    friend bool operator==(CloseFlow const &, CloseFlow const &) = default;
};

// Notifies the caller (or the dispatcher, if a target sends it) that the flow no longer exists.
struct FlowBroken
{
    FlowKey key;
    Reason reason = Reason::None;

    friend bool operator==(FlowBroken const &, FlowBroken const &) = default;
};

} // namespace almondwing

template<>
struct std::hash<almondwing::FlowKey>
{
    std::size_t operator()(almondwing::FlowKey const &key) const noexcept
    {
        return almondwing::combineHashes(key.service.value, key.flow);
    }
};
