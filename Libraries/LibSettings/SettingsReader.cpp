// Reads settings values and checks each of them; SettingsCheck looks at how they fit together.

#include <LibSettings/SettingsReader.h>

#include <LibSettings/OperatorToken.h>
#include <LibSettings/SettingsCheck.h>
#include <LibSettings/SettingsValues.h>
#include <LibSettings/TomlReader.h>

namespace almondwing {

namespace {

constexpr std::string_view allowedLevels = R"("information", "warning" or "error")";

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
                        .role = table.member("control", "true or false").boolean() ? ControlRole::Control
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
        settings.threads = threads.number(1, maxThreads);
    if (TomlValue const folder = root.optionalMember("data_folder"); folder.isPresent())
        settings.dataFolder = readFolder(folder);
    for (TomlValue const &table : root.optionalMember("peers").tables())
        settings.peers.push_back(readPeer(table));
    for (TomlValue const &table : root.optionalMember("operators").tables())
        settings.operators.push_back(readOperator(table));
    return settings;
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
    auto const text = readSettingsFile(path);
    if (auto const *const errors = std::get_if<SettingsErrors>(&text))
        return *errors;
    return parseSettings(std::get<std::string>(text), path);
}

} // namespace almondwing
