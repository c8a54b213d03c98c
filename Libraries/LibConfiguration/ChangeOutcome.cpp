// Implements the descriptions of change outcomes.

#include <LibConfiguration/ChangeOutcome.h>

#include <fmt/format.h>

namespace almondwing {

namespace {

std::string describe(ChangeAccepted const &accepted)
{
    return fmt::format("accepted as version {}", accepted.version);
}

std::string describe(ChangeConflict const &conflict)
{
    if (conflict.winningRequestId.empty())
        return fmt::format("conflict: the current version is {}", conflict.currentVersion);
    return fmt::format("conflict: the current version is {}; request {} of {} was accepted earlier",
                       conflict.currentVersion, conflict.winningRequestId, conflict.winningOperator);
}

std::string describe(ChangeRejected const &rejected)
{
    return fmt::format("rejected: {}", fmt::join(rejected.errors, "; "));
}

} // namespace

std::string describeOutcome(ChangeOutcome const &outcome)
{
    return std::visit([](auto const &alternative) { return describe(alternative); }, outcome);
}

} // namespace almondwing
