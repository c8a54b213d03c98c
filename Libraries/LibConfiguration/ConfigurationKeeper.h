// Brings newer configurations into force on this instance, from the log or from a peer, and never goes back
// to an older one.

#pragma once

#include <LibCore/EventCatalogue.h>
#include <LibState/Blackboard.h>

#include <cstdint>

namespace almondwing {

enum class KeepOutcome : std::uint8_t {
    Kept,
    NotNewer,
    Refused, // Breaks a rule of manifests, or has the version in force with another content.
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
