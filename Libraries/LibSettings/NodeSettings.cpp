// Reads and checks the settings of a process in a cluster that routes by tokens.

#include <LibSettings/NodeSettings.h>

#include <LibSettings/SettingsValues.h>
#include <LibSettings/TomlReader.h>

namespace almondwing {

namespace {

constexpr std::uint32_t maxMilliseconds = 600'000;
constexpr double maxColdFlowsPerSecond = 1000;
constexpr double maxPercent = 100;

std::optional<Endpoint> readOptionalEndpoint(TomlValue const &table, std::string_view key)
{
    TomlValue const value = table.optionalMember(key);
    return value.isPresent() ? std::optional(readEndpointValue(value)) : std::nullopt;
}

Duration readMilliseconds(TomlValue const &table, std::string_view key, Duration defaultValue)
{
    TomlValue const value = table.optionalMember(key);
    return value.isPresent() ? Duration(std::chrono::milliseconds(value.number(1, maxMilliseconds)))
                             : defaultValue;
}

Duration readSeconds(TomlValue const &table, std::string_view key, Duration defaultValue)
{
    TomlValue const value = table.optionalMember(key);
    if (!value.isPresent())
        return defaultValue;
    constexpr double maxSeconds = 600;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value.real(0, maxSeconds)));
}

NodeSettings readNodeSettings(TomlValue const &root)
{
    root.allowKeys({"instance", "failure_domain", "failure_domains", "packets", "readiness", "control",
                    "control_listen", "metrics", "seeds", "data_folder", "first_start", "heartbeat_ms",
                    "stop_s", "cold_flows_per_s", "repeat_percent"});
    NodeSettings settings{.instance = readName(root, "instance"),
                          .failureDomain = readName(root, "failure_domain"),
                          .packets = readOptionalEndpoint(root, "packets"),
                          .readiness = readOptionalEndpoint(root, "readiness"),
                          .control = readOptionalEndpoint(root, "control"),
                          .controlListen = readOptionalEndpoint(root, "control_listen"),
                          .metrics = readOptionalEndpoint(root, "metrics")};
    // The names are not checked; they are only compared with those in the reports of targets and the requests
    // of operators.
    for (TomlValue const &domain : root.optionalMember("failure_domains").elements())
        settings.failureDomains.push_back(domain.text("the name of a failure domain"));
    for (TomlValue const &seed : root.member("seeds", "a list of endpoints").elements())
        settings.seeds.push_back(readEndpointValue(seed));
    if (TomlValue const folder = root.optionalMember("data_folder"); folder.isPresent())
        settings.dataFolder = readFolder(folder);
    settings.isFirstStart = root.optionalMember("first_start").boolean();
    settings.heartbeatInterval = readMilliseconds(root, "heartbeat_ms", settings.heartbeatInterval);
    settings.stopTimeout = readSeconds(root, "stop_s", settings.stopTimeout);
    if (TomlValue const rate = root.optionalMember("cold_flows_per_s"); rate.isPresent())
        settings.coldFlowsPerSecond = rate.real(0, maxColdFlowsPerSecond);
    if (TomlValue const percent = root.optionalMember("repeat_percent"); percent.isPresent())
        settings.repeatPercent = percent.real(0, maxPercent);
    // These calls only report the absent key.
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
