// Rules that concern several settings at once.

#pragma once

#include <LibSettings/DaemonSettings.h>
#include <LibSettings/TomlReader.h>

namespace almondwing {

// Reports into the document whose root is given. Values that could not be read are passed over.
void checkSettings(DaemonSettings const &settings, TomlValue const &root);

} // namespace almondwing
