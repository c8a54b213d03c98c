// Decides which of two configurations is in force.

#include <LibConfiguration/ConfigurationInstaller.h>

#include <LibManifest/ManifestCheck.h>

#include <fmt/format.h>

namespace almondwing {

ConfigurationInstaller::ConfigurationInstaller(Blackboard &sharedBlackboard, EventReporter eventReporter)
    : blackboard(sharedBlackboard), report(std::move(eventReporter))
{
}

InstallOutcome ConfigurationInstaller::install(Configuration const &offered)
{
    for (;;) {
        auto const current = this->blackboard.configuration.read();
        if (offered.version < current->version || offered == *current)
            return InstallOutcome::NotNewer;
        if (offered.version == current->version)
            return this->refuse(offered.version, "differs from the version in force");
        if (InputErrors const errors = checkManifest(offered.manifest); !errors.empty())
            return this->refuse(offered.version, errors.front().toString());
        if (this->blackboard.configuration.replace(current, offered))
            break;
    }
    this->report(Event::ConfigurationInForce, fmt::format("version {}", offered.version));
    return InstallOutcome::Installed;
}

InstallOutcome ConfigurationInstaller::refuse(std::uint64_t version, std::string const &reason) const
{
    this->report(Event::ConfigurationRefused, fmt::format("version {}: {}", version, reason));
    return InstallOutcome::Refused;
}

} // namespace almondwing
