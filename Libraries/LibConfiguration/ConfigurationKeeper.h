// Installs newer configurations on this instance, from the log or from a peer, and never an older one.

#pragma once

#include <LibCore/EventCatalogue.h>
#include <LibState/Blackboard.h>

#include <cstdint>

namespace almondwing {

enum class KeepOutcome : std::uint8_t {
    Kept,
    NotNewer,
    Refused, // The manifest is invalid, or it differs from the installed one of the same version.
};

class ConfigurationKeeper
{
public:
    ConfigurationKeeper(Blackboard &sharedBlackboard, EventReporter eventReporter);

    KeepOutcome take(Configuration const &offered);

private:
    KeepOutcome refuse(std::uint64_t version, std::string const &reason) const;

    Blackboard &blackboard;
    EventReporter report;
};

} // namespace almondwing
