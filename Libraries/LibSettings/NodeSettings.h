// Settings of a process in a cluster that routes by the tokens that identify targets in packets: an entry,
// which forwards packets, or a control instance, which keeps the configuration and the registry of targets.
// Both run almondwing-node; the settings of almondwingd are in DaemonSettings.h.
//
// The fabric is the network in front of the entries. It distributes the packets of callers over the entries
// whose readiness checks succeed.

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
    // All failure domains of the deployment. A control instance refuses the reports of targets of others,
    // unless the list is empty.
    std::vector<std::string> failureDomains;
    std::optional<Endpoint> packets; // UDP, from callers; entries only.
    std::optional<Endpoint> readiness; // HTTP, queried by the fabric; entries only.
    std::optional<Endpoint> control; // HTTP; control instances only.
    std::optional<Endpoint> controlListen; // Where a control instance listens, if it differs from `control`.
    std::optional<Endpoint> metrics; // HTTP; /metrics in the Prometheus text format.
    std::vector<Endpoint> seeds; // Some control instances; at least one.
    std::optional<std::string> dataFolder; // Control instances only.
    bool isFirstStart = false; // The whole system starts for the first time, with empty disks.
    Duration heartbeatInterval = 1200ms; // Between the heartbeats of a target.
    Duration stopTimeout = 6s; // Time between the request to stop a process and its kill.
    // Maximum rate at which all instances together open flows at a cold target (RegisteredTarget::coldUntil).
    double coldFlowsPerSecond = 5;
    // Openings that an entry may repeat at another target, in percent of the openings of each service; 0
    // turns the repetition off. Applies to routes whose requests may be repeated and whose latency objective
    // leaves time for it.
    double repeatPercent = 0;

    friend bool operator==(NodeSettings const &, NodeSettings const &) = default;
};

using NodeSettingsResult = std::variant<NodeSettings, SettingsErrors>;

NodeSettingsResult parseNodeSettings(std::string const &text, std::string const &file);
NodeSettingsResult loadNodeSettings(std::string const &path);

} // namespace almondwing
