// Reads the settings file of the daemon (TOML).

#pragma once

#include <LibSettings/DaemonSettings.h>
#include <LibSettings/SettingsError.h>

#include <string>
#include <variant>

namespace almondwing {

using SettingsResult = std::variant<DaemonSettings, SettingsErrors>;

// Reads and checks settings. All errors of a file are reported at once, except that text which is no TOML is
// reported up to its first error. `file` only appears in the errors.
SettingsResult parseSettings(std::string const &text, std::string const &file);

// The same for a file. A file that can't be read is an error at line 0.
SettingsResult loadSettings(std::string const &path);

} // namespace almondwing
