// Generators of the change requests of competing operators for property tests.

#pragma once

#include "../LibManifest/ManifestGenerator.h"

#include <LibConfiguration/ApplyChange.h>

#include <fmt/format.h>
#include <rapidcheck.h>

#include <optional>
#include <vector>

namespace almondwing {

inline ConfigurationChange arbitraryChange()
{
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
        return ApplyManifest{
            .proposal = {.manifest = makeManifest(5, 2, *rc::gen::inRange<std::uint32_t>(0, 4))}};
    case 1:
        return SetFailureDomainState{
            .failureDomain = fmt::format("zone-{}", *rc::gen::inRange(0, 6)),
            .state = *rc::gen::element(FailureDomainState::InService, FailureDomainState::TakenOut),
            .policy = *rc::gen::element(LastDomainPolicy::Refuse, LastDomainPolicy::Force)};
    default:
        return SetTargetDraining{.target = *rc::gen::element<std::string>("target-1", "target-2", "Bad name"),
                                 .state = *rc::gen::element(DrainState::Draining, DrainState::Active)};
    }
}

// Base versions are close to the versions that a short log reaches, so that conflicts are frequent.
inline ChangeRequest arbitraryRequest()
{
    ChangeRequest request{.requestId = fmt::format("r{}", *rc::gen::inRange(0, 1000)),
                          .operatorName = *rc::gen::element<std::string>("jana", "asha", "petra"),
                          .submittedAt = *rc::gen::inRange<std::int64_t>(1'700'000'000, 1'800'000'000),
                          .change = arbitraryChange()};
    if (*rc::gen::inRange(0, 3) > 0)
        request.baseVersion = *rc::gen::inRange<std::uint64_t>(0, 6);
    return request;
}

// A log that begins with a manifest, followed by new requests, resends and reused ids in any order.
inline std::vector<ChangeRequest> arbitraryLog()
{
    std::vector<ChangeRequest> log{
        {.requestId = "first",
         .operatorName = "jana",
         .baseVersion = 0,
         .change = ApplyManifest{.proposal = {.manifest = makeManifest(5, 2, 2)}}}};
    int const length = *rc::gen::inRange(0, 25);
    for (int count = 0; count < length; ++count) {
        int const kind = *rc::gen::inRange(0, 5);
        ChangeRequest request = arbitraryRequest();
        if (kind <= 1) {
            ChangeRequest const &earlier = log[*rc::gen::inRange<std::size_t>(0, log.size())];
            request.requestId = earlier.requestId;
            if (kind == 0) {
                request.operatorName = earlier.operatorName;
                request.baseVersion = earlier.baseVersion;
                request.change = earlier.change;
            }
        }
        log.push_back(std::move(request));
    }
    return log;
}

inline ConfigurationState applyLog(std::vector<ChangeRequest> const &log)
{
    ConfigurationState state;
    std::uint64_t index = 0;
    for (ChangeRequest const &request : log)
        state = applyChange(std::move(state), ++index, request).state;
    return state;
}

} // namespace almondwing
