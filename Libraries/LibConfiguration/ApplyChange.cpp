// Implements the application of change requests to the state of the configuration.

#include <LibConfiguration/ApplyChange.h>

#include <LibManifest/InputError.h>
#include <LibManifest/ManifestCheck.h>
#include <LibManifest/Name.h>

#include <absl/status/statusor.h>
#include <fmt/format.h>

#include <algorithm>

namespace almondwing {

namespace {

ChangeRejected rejected(std::string error)
{
    error.resize(std::min(error.size(), maxStoredErrorLength));
    return ChangeRejected{.errors = {std::move(error)}};
}

ChangeRejected rejected(InputErrors const &errors)
{
    ChangeRejected result;
    for (std::size_t index = 0; index < std::min(errors.size(), maxStoredErrors); ++index) {
        std::string text = errors[index].toString();
        text.resize(std::min(text.size(), maxStoredErrorLength));
        result.errors.push_back(std::move(text));
    }
    if (errors.size() > maxStoredErrors)
        result.errors.push_back(fmt::format("{} more errors", errors.size() - maxStoredErrors));
    return result;
}

absl::StatusOr<Manifest> changedManifest(Manifest const &manifest, ApplyManifest const &change)
{
    return applyProposal(manifest, change.proposal);
}

absl::StatusOr<Manifest> changedManifest(Manifest const &manifest, SetFailureDomainState const &change)
{
    return setFailureDomainState(manifest, change.failureDomain, change.state, change.policy);
}

absl::StatusOr<Manifest> changedManifest(Manifest const &manifest, SetTargetDraining const &change)
{
    return setTargetDraining(manifest, change.target, change.state);
}

KnownRequest const *findKnownRequest(ConfigurationState const &state, std::string const &requestId)
{
    // The search begins at the end, because resends usually follow soon. A few hundred changes a day need no
    // index.
    auto const found = std::find_if(state.knownRequests.rbegin(), state.knownRequests.rend(),
                                    [&](KnownRequest const &known) { return known.requestId == requestId; });
    return found == state.knownRequests.rend() ? nullptr : &*found;
}

ChangeConflict conflictWithBase(ConfigurationState const &state, std::uint64_t baseVersion)
{
    ChangeConflict conflict{.currentVersion = state.configuration.version,
                            .winningRequestId = state.lastAccepted.requestId,
                            .winningOperator = state.lastAccepted.operatorName};
    ChangeOutcome const winningOutcome = ChangeAccepted{.version = baseVersion + 1};
    auto const isWinner = [&](AuditEntry const &entry) {
        return entry.kind == AuditKind::Decided && entry.outcome == winningOutcome;
    };
    auto const winner = std::find_if(state.audit.rbegin(), state.audit.rend(), isWinner);
    if (winner != state.audit.rend()) {
        conflict.winningRequestId = winner->requestId;
        conflict.winningOperator = winner->operatorName;
    }
    return conflict;
}

// Decides a request that is not a known one. Updates the configuration if it is accepted.
ChangeOutcome decide(ConfigurationState &state, ChangeRequest const &request)
{
    auto const *const apply = std::get_if<ApplyManifest>(&request.change);
    if (apply != nullptr && !request.baseVersion)
        return rejected("applying a manifest needs the base version that it was made for");
    if (request.baseVersion && *request.baseVersion != state.configuration.version)
        return conflictWithBase(state, *request.baseVersion);
    if (apply == nullptr && state.configuration.version == 0)
        return rejected("no manifest has been applied yet, so there is nothing to change");
    if (apply != nullptr) {
        if (InputErrors const errors = checkManifest(apply->proposal.manifest); !errors.empty())
            return rejected(errors);
    }
    absl::StatusOr<Manifest> manifest =
        std::visit([&](auto const &change) { return changedManifest(state.configuration.manifest, change); },
                   request.change);
    if (!manifest.ok())
        return rejected(std::string(manifest.status().message()));
    state.configuration = {.version = state.configuration.version + 1, .manifest = *std::move(manifest)};
    state.lastAccepted = {.requestId = request.requestId, .operatorName = request.operatorName};
    return ChangeAccepted{.version = state.configuration.version};
}

struct HandledRequest
{
    AuditKind kind = AuditKind::Decided;
    ChangeOutcome outcome;
};

HandledRequest handleRequest(ConfigurationState &state, ChangeRequest const &request)
{
    // These rejections are not stored in knownRequests, because the id is not a valid key or no operator can
    // be identified.
    if (!isValidRequestId(request.requestId))
        return {AuditKind::Decided,
                rejected(fmt::format("request id {}, allowed: {}", quotedValue(request.requestId),
                                     requestIdRule))};
    if (!isValidName(request.operatorName))
        return {AuditKind::Decided,
                rejected(fmt::format("operator {}, allowed: {}", quotedValue(request.operatorName),
                                     allowedNames))};
    std::uint64_t const hash = contentHash(request);
    if (KnownRequest const *const known = findKnownRequest(state, request.requestId)) {
        if (known->contentHash == hash)
            return {AuditKind::Repeated, known->outcome};
        return {AuditKind::IdReused,
                rejected(fmt::format("request id {} was used for another change",
                                     quotedValue(request.requestId)))};
    }
    ChangeOutcome outcome = decide(state, request);
    state.knownRequests.pushBack({.requestId = request.requestId, .contentHash = hash, .outcome = outcome});
    if (state.knownRequests.size() > maxKnownRequests)
        state.knownRequests.popFront();
    return {AuditKind::Decided, std::move(outcome)};
}

AuditEntry makeAuditEntry(ConfigurationState const &state, std::uint64_t index, ChangeRequest const &request,
                          HandledRequest const &handled)
{
    // Invalid names may be of any length; they are truncated to bound the memory of the audit trail.
    return AuditEntry{.index = index,
                      .submittedAt = request.submittedAt,
                      .operatorName = request.operatorName.substr(0, maxNameLength),
                      .requestId = request.requestId.substr(0, maxRequestIdLength),
                      .baseVersion = request.baseVersion,
                      .resultingVersion = state.configuration.version,
                      .description = describeChange(request.change),
                      .kind = handled.kind,
                      .outcome = handled.outcome};
}

ChangeOutcome outcomeOfEarlierEntry(ConfigurationState const &state, ChangeRequest const &request)
{
    if (KnownRequest const *const known = findKnownRequest(state, request.requestId))
        return known->outcome;
    return rejected("the log entry was applied before, and its outcome is no longer stored");
}

} // namespace

AppliedChange applyChange(ConfigurationState state, std::uint64_t index, ChangeRequest const &request)
{
    if (index <= state.lastIndex) {
        ChangeOutcome outcome = outcomeOfEarlierEntry(state, request);
        return {.state = std::move(state), .outcome = std::move(outcome)};
    }
    HandledRequest handled = handleRequest(state, request);
    state.lastIndex = index;
    state.audit.pushBack(makeAuditEntry(state, index, request, handled));
    if (state.audit.size() > maxAuditEntries)
        state.audit.popFront();
    return {.state = std::move(state), .outcome = std::move(handled.outcome)};
}

} // namespace almondwing
