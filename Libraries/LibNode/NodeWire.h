// Messages between instances that route by tokens, and their JSON codec. Times travel as ages, because the
// clocks of instances differ.

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

// A machine that is down or cut off does not answer an attempt to connect. Links between failure domains of
// one region take 0.5 ms, and between regions tens of milliseconds.
constexpr Duration nodeConnectTimeout = 150ms;

constexpr std::string_view viewPath = "/v1/view";
constexpr std::string_view registryPath = "/v1/registry";
constexpr std::string_view replicationPath = "/v1/replication";

// An entry asks for what has changed since; the answer waits until something has.
struct ViewRequest
{
    std::string instance;
    std::string failureDomain;
    std::uint64_t boot = 0; // Of the process that answered last; the generation belongs to it.
    std::uint64_t registryGeneration = 0;
    std::uint64_t revision = 0; // Of the configuration log, as far as the entry has it.
    bool isNewSource = false; // The entry has followed another instance since, and forgotten remote flows.
    // Flows of this entry at each target; absent if the latest report still holds.
    std::optional<std::vector<TargetActivity>> activity;

    friend bool operator==(ViewRequest const &, ViewRequest const &) = default;
};

// What the configuration log says at one revision.
struct ConfigurationView
{
    std::uint64_t revision = 0;
    FlowConfiguration configuration;
    std::set<std::string> domainsTakenOut;

    friend bool operator==(ConfigurationView const &, ConfigurationView const &) = default;
};

enum class RegistryExtent : std::uint8_t { Difference = 0, Full = 1 };

struct ViewReply
{
    std::uint64_t boot = 0;
    std::uint64_t registryGeneration = 0;
    RegistryExtent extent = RegistryExtent::Difference;
    bool isComplete = false; // The control instance has had the time to hear of every target.
    bool isInContact = false; // It is in contact with a majority of the configuration log.
    std::optional<ConfigurationView> configuration; // Only if it is newer than the request says.
    std::vector<RegisteredTarget> targets; // Changed ones.
    std::vector<TargetNumber> overdue; // Targets whose heartbeats have stopped.
    std::vector<ControlPeer> controls;
    bool mayOpenCold = false; // The entry may open flows at cold targets for a second.
    // Answers a report: flows of all other entries at targets of the entry's failure domain, as far as they
    // have changed, and the load of each service elsewhere.
    std::vector<TargetActivity> activity;
    std::vector<GroupLoad> loads;

    friend bool operator==(ViewReply const &, ViewReply const &) = default;
};

// Between control instances.
struct RegistryExchange
{
    Endpoint from;
    std::string failureDomain;
    std::uint64_t boot = 0;
    std::vector<ControlPeer> peers; // lastSeenAt is meaningful only as "lately or not".
    std::vector<Endpoint> hears; // Peers that the sender has heard directly a short time ago.
    std::vector<RegisteredTarget> targets;
    std::vector<RegisteredTarget> heard; // Only number, order and lastSeenAt: heartbeats without a change.
    std::vector<GroupLoad> flows; // Of the entries that follow the sender; without slots.

    friend bool operator==(RegistryExchange const &, RegistryExchange const &) = default;
};

struct RegistryExchangeReply
{
    std::uint64_t boot = 0; // Of the receiver; if it is another one than before, it needs everything again.

    friend bool operator==(RegistryExchangeReply const &, RegistryExchangeReply const &) = default;
};

// `now` is the local time that ages refer to. The parse functions refuse anything that does not decode
// completely.
std::string formatViewRequest(ViewRequest const &request);
absl::StatusOr<ViewRequest> parseViewRequest(std::string_view text);
std::string formatViewReply(ViewReply const &reply, Timestamp now);
// With targets that were formatted before, by formatTargets(); an empty text for none.
std::string formatViewReply(ViewReply const &reply, std::string const &targets);
absl::StatusOr<ViewReply> parseViewReply(std::string_view text, Timestamp now);
std::string formatRegistryExchange(RegistryExchange const &exchange, Timestamp now);
absl::StatusOr<RegistryExchange> parseRegistryExchange(std::string_view text, Timestamp now);
std::string formatRegistryExchangeReply(RegistryExchangeReply const &reply);
absl::StatusOr<RegistryExchangeReply> parseRegistryExchangeReply(std::string_view text);

// A list of targets, as in a view and as a control instance keeps its registry on its disk for its next
// start.
std::string formatTargets(std::vector<RegisteredTarget> const &targets, Timestamp now);
absl::StatusOr<std::vector<RegisteredTarget>> parseTargets(std::string_view text, Timestamp now);

} // namespace almondwing
