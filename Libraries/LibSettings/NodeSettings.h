// Settings of an instance that routes by tokens: an entry, which forwards packets, or a control instance,
// which keeps the configuration and the registry of targets.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Time.h>
#include <LibSettings/SettingsError.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace almondwing {

struct NodeSettings
{
    std::string instance;
    std::string failureDomain;
    std::vector<std::string> failureDomains; // All of the deployment, the own one included.
    std::optional<Endpoint> packets; // UDP, from callers; of an entry.
    std::optional<Endpoint> readiness; // HTTP, asked by the fabric; of an entry.
    std::optional<Endpoint> control; // HTTP; of a control instance.
    std::optional<Endpoint> controlListen; // Where a control instance listens, if that is not `control`.
    std::optional<Endpoint> metrics; // HTTP; /metrics in the Prometheus text format.
    std::vector<Endpoint> seeds; // Some control instances; at least one.
    std::optional<std::string> dataFolder; // Of a control instance.
    bool isFirstStart = false; // The whole system starts for the first time, with empty disks.
    Duration heartbeatInterval = 1200ms; // Between the heartbeats of a target.
    Duration stopTimeout = 6s; // Until a process that was asked to stop is killed.
    double coldFlowsPerSecond = 5; // That all instances together may open at a cold target.

    friend bool operator==(NodeSettings const &, NodeSettings const &) = default;
};

using NodeSettingsResult = std::variant<NodeSettings, SettingsErrors>;

NodeSettingsResult parseNodeSettings(std::string const &text, std::string const &file);
NodeSettingsResult loadNodeSettings(std::string const &path);

} // namespace almondwing
