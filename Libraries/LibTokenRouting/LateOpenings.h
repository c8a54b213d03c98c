// Decides when an opening without an answer is looked at before its caller retransmits it, so that a flow
// does not wait 200 ms for a target that is gone. The target is checked, and only if it is gone, the opening
// is repeated at another target: two living targets that both answer would both get packets of the flow.
//
// Answers the load of targets that end without notice while callers open flows. The limit is a share of the
// openings of each service that the operator sets; 0 turns the repetition off.

#pragma once

#include <LibTokenRouting/FlowConfiguration.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace almondwing {

struct RepeatSettings
{
    double share = 0; // Openings that may be repeated, as a share of all openings of the service; 0 to 1.
    // Callers with a shorter latency objective are late after any retransmission.
    Duration minObjective = 350ms;
    // An opening is late after a multiple of the 95th percentile of the service's recent openings.
    int lateFactor = 3;
    Duration minWait = 20ms; // Scheduling and links delay single packets by some milliseconds.
    // Callers retransmit after 200 ms, and a check takes up to 120 ms. If openings are late only after more
    // than this, the whole service is slow, and repeating some of them would only add load.
    Duration maxWait = 80ms;
    double maxBudget = 10; // Repetitions that may follow each other at once.

    friend bool operator==(RepeatSettings const &, RepeatSettings const &) = default;
};

// The times from an opening to the next packet of the flow, of the latest openings of a service.
struct OpeningTimes
{
    static constexpr std::size_t capacity = 64;

    std::array<std::uint32_t, capacity> microseconds{};
    std::uint64_t count = 0; // Of all times so far; the latest `capacity` of them are kept.

    friend bool operator==(OpeningTimes const &, OpeningTimes const &) = default;
};

OpeningTimes withTime(OpeningTimes times, Duration time);

// Returns the time after which an opening counts as late, or nullopt if too few times are known or the
// service is slow.
std::optional<Duration> lateAfter(OpeningTimes const &times, RepeatSettings const &settings);

// Whether late openings of a route with these terms may be repeated.
bool mayRepeat(RouteTerms const &terms, RepeatSettings const &settings);

// The repetitions that a service may still make.
struct RepeatBudget
{
    double repetitions = 0;

    friend bool operator==(RepeatBudget const &, RepeatBudget const &) = default;
};

// The budget after one more opening.
RepeatBudget refilled(RepeatBudget budget, RepeatSettings const &settings);

// The budget after a repetition, or nullopt if it does not allow one.
std::optional<RepeatBudget> withdrawn(RepeatBudget budget);

} // namespace almondwing
