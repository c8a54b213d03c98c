// Plain structs for the settings of almondwingd. The settings of almondwing-node are in NodeSettings.h.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/EventCatalogue.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondwing {

// The four sockets of an instance. The fabric is the network in front of the instances, which distributes the
// packets of callers over them.
struct ListenSettings
{
    Endpoint entry = {}; // UDP, from callers through the fabric.
    Endpoint target = {}; // UDP, from targets.
    Endpoint peer = {}; // UDP, from other instances.
    Endpoint http = {}; // TCP.

    friend auto operator<=>(ListenSettings const &, ListenSettings const &) = default;
};

// Whether an instance has a data folder and takes part in the replicated log.
enum class ControlRole : std::uint8_t { None, Control };

// An instance that is listed in the settings. Others are discovered through membership.
struct PeerSettings
{
    std::string name;
    std::string failureDomain;
    Endpoint peer = {};
    Endpoint http = {};
    ControlRole role = ControlRole::None;

    friend auto operator<=>(PeerSettings const &, PeerSettings const &) = default;
};

struct OperatorSettings
{
    std::string name;
    std::string tokenHash; // As returned by hashToken().

    friend auto operator<=>(OperatorSettings const &, OperatorSettings const &) = default;
};

struct LogSettings
{
    std::string folder = {}; // Absolute.
    Severity level = Severity::Information; // Events below it are not logged.

    friend auto operator<=>(LogSettings const &, LogSettings const &) = default;
};

constexpr std::uint32_t defaultThreads = 4;
constexpr std::uint32_t maxThreads = 64;

// Every instance may be listed as a peer; the limit is several times the design scale of 680 instances.
constexpr std::size_t maxPeers = 4096;
// Includes this instance. A majority of 7 survives the loss of 3; more instances would only slow writes.
constexpr std::size_t maxControlInstances = 7;
constexpr std::size_t maxOperators = 256;

// Invariants, which parseSettings() ensures: all names are valid; the UDP endpoints of this instance and
// its peers differ from each other, as do their HTTP endpoints and their names.
struct DaemonSettings
{
    std::string cluster = {};
    std::string instance = {};
    std::string failureDomain = {};
    ListenSettings listen = {};
    std::uint32_t threads = defaultThreads;
    std::optional<std::string> dataFolder = {}; // Absolute; present on control instances only.
    std::vector<PeerSettings> peers = {};
    std::vector<OperatorSettings> operators = {};
    LogSettings log = {};

    friend auto operator<=>(DaemonSettings const &, DaemonSettings const &) = default;
};

} // namespace almondwing
