// Reads the settings file and the values that several settings formats share: names, endpoints and folders.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibSettings/SettingsError.h>
#include <LibSettings/TomlReader.h>

#include <string>
#include <string_view>
#include <variant>

namespace almondwing {

constexpr std::string_view allowedEndpoints = "a.b.c.d:port with a port from 1 to 65535, and not 0.0.0.0";
constexpr std::string_view allowedFolders = "an absolute path";

// Each of these reports a value that is not allowed, and the first two also report an absent one. The result
// is meaningful only if nothing was reported.
std::string readName(TomlValue const &table, std::string_view key);
Endpoint readEndpoint(TomlValue const &table, std::string_view key);
Endpoint readEndpointValue(TomlValue const &value);
std::string readFolder(TomlValue const &value);

std::variant<std::string, SettingsErrors> readSettingsFile(std::string const &path);

} // namespace almondwing
