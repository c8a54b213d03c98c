// Messages between the instances of a cluster that routes by tokens, and their JSON codec. Times are sent as
// ages, because the clocks of instances differ.

#pragma once

#include <LibRegistry/PeerDirectory.h>
#include <LibTokenRouting/FlowConfiguration.h>
#include <LibTokenRouting/TokenBlackboard.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace almondwing {

// Limits the wait for a control instance that is down or unreachable. The latency between failure domains of
// one region is 0.5 ms, and between regions tens of milliseconds.
constexpr Duration nodeConnectTimeout = 150ms;

constexpr std::string_view viewPath = "/v1/view";
constexpr std::string_view registryPath = "/v1/registry";
constexpr std::string_view replicationPath = "/v1/replication";

// A long poll of an entry: the reply is sent once something has changed after the given generation and
// revision.
struct ViewRequest
{
    std::string instance;
    std::string failureDomain;
    std::uint64_t bootId = 0; // Of the control process that registryGeneration comes from.
    std::uint64_t registryGeneration = 0;
    std::uint64_t revision = 0; // The index in the replicated log up to which the entry has the view.
    // The entry has switched to this control instance and has discarded the flow counts that it had for other
    // entries.
    bool isNewSource = false;
    std::optional<Endpoint> readiness; // Of the entry; only with isNewSource.
    // Number of flows of this entry at each target; absent if the previous report is still valid.
    std::optional<std::vector<TargetActivity>> activity;

    friend bool operator==(ViewRequest const &, ViewRequest const &) = default;
};

// The configuration and the failure domains out of service at one revision of the replicated log. It contains
// no targets; the ServingView of an entry does.
struct ConfigurationView
{
    std::uint64_t revision = 0;
    FlowConfiguration configuration;
    std::set<std::string> domainsTakenOut;

    friend bool operator==(ConfigurationView const &, ConfigurationView const &) = default;
};

enum class RegistryExtent : std::uint8_t { Delta = 0, Full = 1 }; // Full: from an empty registry.

struct ViewReply
{
    std::uint64_t bootId = 0;
    std::uint64_t registryGeneration = 0;
    RegistryExtent extent = RegistryExtent::Delta;
    // With this reply the entry has all targets: no further parts follow, and every target has had the time
    // to send a heartbeat.
    bool isRegistryComplete = false;
    bool isInContact = false; // The control instance is in contact with a majority of the log's voters.
    std::optional<ConfigurationView> configuration; // Only if it is newer than the revision of the request.
    std::vector<RegisteredTarget> targets; // Targets that have changed.
    std::vector<TargetNumber> overdue; // Targets whose heartbeats have stopped.
    std::vector<ControlPeer> controlInstances;
    bool hasColdPermit = false; // The entry may open flows at cold targets for 1 s.
    // Set if the request has a report: changed flow counts at targets of the entry's failure domain, summed
    // over the other entries that report here, and the load of each service in the other failure domains.
    std::vector<TargetActivity> activity;
    std::vector<GroupLoad> loads;

    friend bool operator==(ViewReply const &, ViewReply const &) = default;
};

// Parts of a view reply that are the same for many entries. An empty text stands for none.
struct EncodedViewParts
{
    std::string targets; // By formatTargets().
    std::string configuration; // By formatConfiguration().

    friend bool operator==(EncodedViewParts const &, EncodedViewParts const &) = default;
};

// Changes and heartbeats that one control instance sends to another.
struct RegistryExchange
{
    Endpoint from;
    std::string failureDomain;
    std::uint64_t bootId = 0;
    std::vector<ControlPeer> peers; // lastSeenAt is not sent.
    std::vector<Endpoint> reachablePeers; // Peers that the sender was in direct contact with recently.
    std::vector<RegisteredTarget> targets;
    // Heartbeats without a change; only number, reportVersion and lastSeenAt are set.
    std::vector<RegisteredTarget> heartbeats;
    // The receiving process that has confirmed the records to which the heartbeats refer. Absent in messages
    // of earlier versions.
    std::optional<std::uint64_t> receiverBootId;
    std::vector<GroupLoad> flows; // Flows of the entries that report to the sender; without slots.

    friend bool operator==(RegistryExchange const &, RegistryExchange const &) = default;
};

struct RegistryExchangeReply
{
    std::uint64_t bootId = 0; // Of the receiving process; a new process needs the whole registry.
    // Targets whose heartbeats arrived without a record that is known here; the sender sends the records.
    std::vector<TargetNumber> missing;

    friend bool operator==(RegistryExchangeReply const &, RegistryExchangeReply const &) = default;
};

// `now` is the local time that ages are relative to. The parse functions reject any message that doesn't
// decode completely.
std::string formatViewRequest(ViewRequest const &request);
absl::StatusOr<ViewRequest> parseViewRequest(std::string_view text);
std::string formatViewReply(ViewReply const &reply, Timestamp now);
// Takes parts that are formatted already, instead of those of the reply.
std::string formatViewReply(ViewReply const &reply, EncodedViewParts const &parts);
absl::StatusOr<ViewReply> parseViewReply(std::string_view text, Timestamp now);
std::string formatRegistryExchange(RegistryExchange const &exchange, Timestamp now);
absl::StatusOr<RegistryExchange> parseRegistryExchange(std::string_view text, Timestamp now);
std::string formatRegistryExchangeReply(RegistryExchangeReply const &reply);
absl::StatusOr<RegistryExchangeReply> parseRegistryExchangeReply(std::string_view text);

std::string formatConfiguration(ConfigurationView const &view);

// A list of targets, as in a view reply and as in the copy of the registry that a control instance stores on
// its disk.
std::string formatTargets(std::vector<RegisteredTarget> const &targets, Timestamp now);
absl::StatusOr<std::vector<RegisteredTarget>> parseTargets(std::string_view text, Timestamp now);

} // namespace almondwing
