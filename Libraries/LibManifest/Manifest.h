// Plain structs for the manifest: services, failure domains and target pools, with the states that operators
// set.

#pragma once

#include <LibCore/Endpoint.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace almondwing {

enum class FailureDomainState : std::uint8_t { InService, TakenOut };

struct FailureDomain
{
    std::string name;
    std::string region;
    FailureDomainState state = FailureDomainState::InService;

    friend auto operator<=>(FailureDomain const &, FailureDomain const &) = default;
};

// Capacity of one warm target of a pool.
struct TargetLimits
{
    std::uint32_t slots = 0; // Requests that run at the same time.
    std::uint32_t connections = 0; // Flows that are open at the same time.

    friend auto operator<=>(TargetLimits const &, TargetLimits const &) = default;
};

enum class LoadReporting : std::uint8_t { None, ReportsLoad };

struct TargetPool
{
    std::string name;
    TargetLimits limits;
    LoadReporting loadReporting = LoadReporting::None;

    friend auto operator<=>(TargetPool const &, TargetPool const &) = default;
};

struct Service
{
    std::string name;
    Endpoint address = {}; // Where callers send packets.
    std::string pool;

    friend auto operator<=>(Service const &, Service const &) = default;
};

// Invariants, which the parser and the operations maintain: names are unique within their list, addresses of
// services are unique, each service refers to a pool of the manifest, limits are at least 1.
struct Manifest
{
    std::string deployment;
    std::vector<FailureDomain> failureDomains = {};
    std::vector<TargetPool> pools = {};
    std::vector<Service> services = {};
    std::vector<std::string> drainingTargets = {}; // Names, sorted.

    friend auto operator<=>(Manifest const &, Manifest const &) = default;
};

// The manifest with the version that the replicated log assigned to it. Version 0 is the empty configuration
// before the first accepted change.
struct Configuration
{
    std::uint64_t version = 0;
    Manifest manifest;

    friend auto operator<=>(Configuration const &, Configuration const &) = default;
};

} // namespace almondwing
