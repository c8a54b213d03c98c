// Implements the reading of values that several settings formats share.

#include <LibSettings/SettingsValues.h>

#include <LibManifest/Name.h>

#include <fmt/format.h>

#include <array>
#include <fstream>

namespace almondwing {

namespace {

// A settings file with all peers takes about 150 bytes for each of them.
constexpr std::size_t maxFileBytes = std::size_t{4} * 1024 * 1024;

SettingsErrors unreadableFile(std::string const &path, std::string allowed)
{
    return {{.file = path, .line = 0, .key = "", .value = "(unreadable)", .allowed = std::move(allowed)}};
}

} // namespace

std::string readName(TomlValue const &table, std::string_view key)
{
    TomlValue const value = table.member(key, allowedNames);
    std::string name = value.text(allowedNames);
    if (value.isText() && !isValidName(name))
        value.report(allowedNames);
    return name;
}

Endpoint readEndpoint(TomlValue const &table, std::string_view key)
{
    return readEndpointValue(table.member(key, allowedEndpoints));
}

Endpoint readEndpointValue(TomlValue const &value)
{
    std::string const text = value.text(allowedEndpoints);
    absl::StatusOr<Endpoint> const endpoint = Endpoint::parse(text);
    // The instance announces its endpoints to others, for which the wildcard address would be useless.
    if (endpoint.ok() && endpoint->address != 0)
        return *endpoint;
    if (value.isText())
        value.report(allowedEndpoints);
    return {};
}

std::string readFolder(TomlValue const &value)
{
    std::string folder = value.text(allowedFolders);
    // A relative path would depend on where the daemon was started; a zero byte would truncate the path.
    if (value.isText() && (!folder.starts_with('/') || folder.find('\0') != std::string::npos))
        value.report(allowedFolders);
    return folder;
}

std::variant<std::string, SettingsErrors> readSettingsFile(std::string const &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return unreadableFile(path, "a file that the daemon may read");
    // Read in chunks, because a buffer of the maximum size would dominate the memory of a small process.
    std::string text;
    std::array<char, 16384> chunk{};
    while (file.read(chunk.data(), chunk.size()) || file.gcount() > 0) {
        text.append(chunk.data(), static_cast<std::size_t>(file.gcount()));
        if (text.size() > maxFileBytes)
            return unreadableFile(path, fmt::format("at most {} bytes", maxFileBytes));
    }
    if (file.bad() || text.empty())
        return unreadableFile(path, "a file that is neither a folder nor empty");
    return text;
}

} // namespace almondwing
