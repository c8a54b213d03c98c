// What became of a change request.

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

// Another change was accepted on the same base version.
struct ChangeConflict
{
    std::uint64_t currentVersion = 0;
    // The change that was accepted on the base version of this one. If that is no longer known, or the base
    // version does not exist yet, the change that made the current version. Empty before the first change.
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

// One line for logs.
std::string describeOutcome(ChangeOutcome const &outcome);

} // namespace almondwing
