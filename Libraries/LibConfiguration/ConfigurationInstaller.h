// Brings newer configurations into force on this instance, from the log or from a peer, and never goes back
// to an older one.

#pragma once

#include <LibCore/EventCatalogue.h>
#include <LibState/Blackboard.h>

#include <cstdint>

namespace almondwing {

enum class InstallOutcome : std::uint8_t {
    Installed,
    NotNewer,
    Refused, // Breaks a rule of manifests, or has the version in force with another content.
};

class ConfigurationInstaller
{
public:
    ConfigurationInstaller(Blackboard &sharedBlackboard, EventReporter eventReporter);

    InstallOutcome install(Configuration const &offered);

private:
    InstallOutcome refuse(std::uint64_t version, std::string const &reason) const;

    Blackboard &blackboard;
    EventReporter report;
};

} // namespace almondwing
