// The state machine of almondwingd's configuration, a manifest whose changes may name the version that they
// are based on. For the one of almondwing-node see DocumentState.h. The function is pure, so every replica
// that applies the same log computes the same state and the same outcomes.

#pragma once

#include <LibConfiguration/ChangeRequest.h>
#include <LibConfiguration/ConfigurationState.h>

#include <cstdint>

namespace almondwing {

struct AppliedChange
{
    ConfigurationState state;
    ChangeOutcome outcome;

    friend bool operator==(AppliedChange const &, AppliedChange const &) = default;
};

// Applies the log entry at `index`. An entry at or below the last applied index was applied before and
// changes nothing.
AppliedChange applyChange(ConfigurationState state, std::uint64_t index, ChangeRequest const &request);

} // namespace almondwing
