// Reads and checks the settings of an instance that routes by tokens.

#include <LibSettings/NodeSettings.h>

#include <LibSettings/SettingsValues.h>
#include <LibSettings/TomlReader.h>

namespace almondwing {

namespace {

constexpr std::uint32_t longestMilliseconds = 600'000;
constexpr double mostColdFlows = 1000;

std::optional<Endpoint> readOptionalEndpoint(TomlValue const &table, std::string_view key)
{
    TomlValue const value = table.optionalMember(key);
    return value.isPresent() ? std::optional(readEndpointValue(value)) : std::nullopt;
}

Duration readMilliseconds(TomlValue const &table, std::string_view key, Duration absent)
{
    TomlValue const value = table.optionalMember(key);
    return value.isPresent() ? Duration(std::chrono::milliseconds(value.number(1, longestMilliseconds)))
                             : absent;
}

Duration readSeconds(TomlValue const &table, std::string_view key, Duration absent)
{
    TomlValue const value = table.optionalMember(key);
    if (!value.isPresent())
        return absent;
    constexpr double longestSeconds = 600;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value.real(0, longestSeconds)));
}

NodeSettings readNodeSettings(TomlValue const &root)
{
    root.allowKeys({"instance", "failure_domain", "failure_domains", "packets", "readiness", "control",
                    "control_listen", "metrics", "seeds", "data_folder", "first_start", "heartbeat_ms",
                    "stop_s", "cold_flows_per_s"});
    NodeSettings settings{.instance = readName(root, "instance"),
                          .failureDomain = readName(root, "failure_domain"),
                          .packets = readOptionalEndpoint(root, "packets"),
                          .readiness = readOptionalEndpoint(root, "readiness"),
                          .control = readOptionalEndpoint(root, "control"),
                          .controlListen = readOptionalEndpoint(root, "control_listen"),
                          .metrics = readOptionalEndpoint(root, "metrics")};
    for (TomlValue const &domain : root.optionalMember("failure_domains").tables())
        settings.failureDomains.push_back(domain.text("a name"));
    for (TomlValue const &seed : root.member("seeds", "a list of endpoints").tables())
        settings.seeds.push_back(readEndpointValue(seed));
    if (TomlValue const folder = root.optionalMember("data_folder"); folder.isPresent())
        settings.dataFolder = readFolder(folder);
    settings.isFirstStart = root.optionalMember("first_start").boolean();
    settings.heartbeatInterval = readMilliseconds(root, "heartbeat_ms", settings.heartbeatInterval);
    settings.stopTimeout = readSeconds(root, "stop_s", settings.stopTimeout);
    if (TomlValue const rate = root.optionalMember("cold_flows_per_s"); rate.isPresent())
        settings.coldFlowsPerSecond = rate.real(0, mostColdFlows);
    if (!settings.packets && !settings.control)
        root.member("packets", "an endpoint, or `control` for a control instance");
    if (settings.packets && !settings.readiness)
        root.member("readiness", std::string(allowedEndpoints));
    if (settings.control && !settings.dataFolder)
        root.member("data_folder", std::string(allowedFolders));
    return settings;
}

} // namespace

NodeSettingsResult parseNodeSettings(std::string const &text, std::string const &file)
{
    TomlDocument document(text, file);
    NodeSettings settings = readNodeSettings(document.root());
    if (!document.errors().empty())
        return sortedByLine(document.errors());
    return settings;
}

NodeSettingsResult loadNodeSettings(std::string const &path)
{
    auto const text = readSettingsFile(path);
    if (auto const *const errors = std::get_if<SettingsErrors>(&text))
        return *errors;
    return parseNodeSettings(std::get<std::string>(text), path);
}

} // namespace almondwing
