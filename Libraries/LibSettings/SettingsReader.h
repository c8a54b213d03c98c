// Reads the settings file of the daemon (TOML).

#pragma once

#include <LibSettings/DaemonSettings.h>
#include <LibSettings/SettingsError.h>

#include <string>
#include <variant>

namespace almondwing {

using SettingsResult = std::variant<DaemonSettings, SettingsErrors>;

// Reads and checks settings. All errors of a file are reported at once, except that only the first syntax
// error is reported for text that is not TOML. `file` is used only in the errors.
SettingsResult parseSettings(std::string const &text, std::string const &file);

// Reads and checks a settings file. A file that can't be read is reported as an error at line 0.
SettingsResult loadSettings(std::string const &path);

} // namespace almondwing
