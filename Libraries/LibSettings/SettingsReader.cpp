// Reads settings values and checks each of them; SettingsCheck looks at how they fit together.

#include <LibSettings/SettingsReader.h>

#include <LibManifest/Name.h>
#include <LibSettings/OperatorToken.h>
#include <LibSettings/SettingsCheck.h>
#include <LibSettings/TomlReader.h>

#include <fmt/format.h>

#include <fstream>
#include <iterator>

namespace almondwing {

namespace {

constexpr std::string_view allowedEndpoints = "a.b.c.d:port with a port from 1 to 65535, and not 0.0.0.0";
constexpr std::string_view allowedFolders = "an absolute path";
constexpr std::string_view allowedLevels = R"("information", "warning" or "error")";

// A settings file with all peers takes about 150 bytes for each of them.
constexpr std::size_t maximumFileSize = std::size_t{4} * 1024 * 1024;

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
    TomlValue const value = table.member(key, allowedEndpoints);
    std::string const text = value.text(allowedEndpoints);
    absl::StatusOr<Endpoint> const endpoint = Endpoint::parse(text);
    // The instance tells its endpoints to others, so "any address" is of no use.
    if (endpoint.ok() && endpoint->address != 0)
        return *endpoint;
    if (value.isText())
        value.report(allowedEndpoints);
    return {};
}

std::string readFolder(TomlValue const &value)
{
    std::string folder = value.text(allowedFolders);
    // A relative path would depend on where the daemon was started; a zero byte would cut the path short.
    if (value.isText() && (!folder.starts_with('/') || folder.find('\0') != std::string::npos))
        value.report(allowedFolders);
    return folder;
}

ListenSettings readListen(TomlValue const &table)
{
    table.allowKeys({"entry", "target", "peer", "http"});
    return ListenSettings{.entry = readEndpoint(table, "entry"),
                          .target = readEndpoint(table, "target"),
                          .peer = readEndpoint(table, "peer"),
                          .http = readEndpoint(table, "http")};
}

PeerSettings readPeer(TomlValue const &table)
{
    table.allowKeys({"name", "failure_domain", "peer", "http", "control"});
    return PeerSettings{.name = readName(table, "name"),
                        .failureDomain = readName(table, "failure_domain"),
                        .peer = readEndpoint(table, "peer"),
                        .http = readEndpoint(table, "http"),
                        .role = table.member("control", "true or false").truth() ? ControlRole::Control
                                                                                 : ControlRole::None};
}

OperatorSettings readOperator(TomlValue const &table)
{
    table.allowKeys({"name", "token_hash"});
    OperatorSettings settings{.name = readName(table, "name"), .tokenHash = {}};
    TomlValue const hash = table.member("token_hash", allowedTokenHashes);
    settings.tokenHash = hash.text(allowedTokenHashes);
    if (hash.isText() && !isTokenHash(settings.tokenHash))
        hash.report(allowedTokenHashes);
    return settings;
}

Severity readLevel(TomlValue const &value)
{
    std::string const text = value.text(allowedLevels);
    if (text == "warning")
        return Severity::Warning;
    if (text == "error")
        return Severity::Error;
    if (value.isText() && text != "information")
        value.report(allowedLevels);
    return Severity::Information;
}

LogSettings readLog(TomlValue const &table)
{
    table.allowKeys({"folder", "level"});
    return LogSettings{.folder = readFolder(table.member("folder", allowedFolders)),
                       .level = readLevel(table.optionalMember("level"))};
}

DaemonSettings readSettings(TomlValue const &root)
{
    root.allowKeys({"cluster", "instance", "failure_domain", "threads", "data_folder", "listen", "peers",
                    "operators", "log"});
    DaemonSettings settings{.cluster = readName(root, "cluster"),
                            .instance = readName(root, "instance"),
                            .failureDomain = readName(root, "failure_domain"),
                            .listen = readListen(root.member("listen", "a table")),
                            .log = readLog(root.member("log", "a table"))};
    if (TomlValue const threads = root.optionalMember("threads"); threads.isPresent())
        settings.threads = threads.number(1, maximumThreads);
    if (TomlValue const folder = root.optionalMember("data_folder"); folder.isPresent())
        settings.dataFolder = readFolder(folder);
    for (TomlValue const &table : root.optionalMember("peers").tables())
        settings.peers.push_back(readPeer(table));
    for (TomlValue const &table : root.optionalMember("operators").tables())
        settings.operators.push_back(readOperator(table));
    return settings;
}

SettingsErrors unreadableFile(std::string const &path, std::string allowed)
{
    return {{.file = path, .line = 0, .key = "", .value = "(unreadable)", .allowed = std::move(allowed)}};
}

} // namespace

SettingsResult parseSettings(std::string const &text, std::string const &file)
{
    TomlDocument document(text, file);
    DaemonSettings settings = readSettings(document.root());
    checkSettings(settings, document.root());
    if (!document.errors().empty())
        return sortedByLine(document.errors());
    return settings;
}

SettingsResult loadSettings(std::string const &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return unreadableFile(path, "a file that the daemon may read");
    std::string text(maximumFileSize + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad() || file.gcount() == 0)
        return unreadableFile(path, "a file that is neither a folder nor empty");
    if (static_cast<std::size_t>(file.gcount()) > maximumFileSize)
        return unreadableFile(path, fmt::format("at most {} bytes", maximumFileSize));
    text.resize(static_cast<std::size_t>(file.gcount()));
    return parseSettings(text, path);
}

} // namespace almondwing
