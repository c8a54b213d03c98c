// Checks the rules that involve several settings.

#pragma once

#include <LibSettings/DaemonSettings.h>
#include <LibSettings/TomlReader.h>

namespace almondwing {

// Reports errors to the document of `root`. Values that could not be read are skipped.
void checkSettings(DaemonSettings const &settings, TomlValue const &root);

} // namespace almondwing
