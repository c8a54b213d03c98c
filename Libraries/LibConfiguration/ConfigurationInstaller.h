// Installs newer configurations on this instance, from the log or from a peer, and never an older one.

#pragma once

#include <LibCore/EventCatalogue.h>
#include <LibState/Blackboard.h>

#include <cstdint>

namespace almondwing {

enum class InstallOutcome : std::uint8_t {
    Installed,
    NotNewer,
    Refused, // The manifest is invalid, or it differs from the installed one of the same version.
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
