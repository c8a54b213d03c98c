// The outcome of a change request.

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace almondwing {

struct ChangeAccepted
{
    std::uint64_t version = 0; // The new version.

    friend auto operator<=>(ChangeAccepted const &, ChangeAccepted const &) = default;
};

// The base version of the request is not the current version; usually another change was accepted on it
// first.
struct ChangeConflict
{
    std::uint64_t currentVersion = 0;
    // The change that was accepted on the base version of this request. If it is no longer known, or if the
    // base version does not exist yet, the change that created the current version. Empty before the first
    // change.
    std::string winningRequestId = {};
    std::string winningOperator = {};

    friend auto operator<=>(ChangeConflict const &, ChangeConflict const &) = default;
};

struct ChangeRejected
{
    std::vector<std::string> errors; // Never empty.

    friend auto operator<=>(ChangeRejected const &, ChangeRejected const &) = default;
};

using ChangeOutcome = std::variant<ChangeAccepted, ChangeConflict, ChangeRejected>;

// A description in one line, for logs.
std::string describeOutcome(ChangeOutcome const &outcome);

} // namespace almondwing
