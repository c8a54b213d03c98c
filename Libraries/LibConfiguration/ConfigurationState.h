// The complete state of the state machine of the manifest (see ApplyChange.h), as a value. The snapshots of
// the replicated log contain this state.

#pragma once

#include <LibConfiguration/ChangeOutcome.h>
#include <LibConfiguration/SharedList.h>
#include <LibManifest/Manifest.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace almondwing {

// How a change request was handled.
enum class AuditKind : std::uint8_t {
    Decided, // The request was not a known one and was decided.
    Repeated, // The request was a resend and got the first outcome.
    IdReused, // The request was another change with a known request id and was rejected.
};

struct AuditEntry
{
    std::uint64_t index = 0; // In the replicated log.
    std::int64_t submittedAt = 0; // In Unix seconds, by the clock of the proposing instance.
    std::string operatorName = {};
    std::string requestId = {};
    std::optional<std::uint64_t> baseVersion = {};
    std::uint64_t resultingVersion = 0; // The current version after the request, whether it changed or not.
    std::string description = {};
    AuditKind kind = AuditKind::Decided;
    ChangeOutcome outcome = {};

    friend auto operator<=>(AuditEntry const &, AuditEntry const &) = default;
};

// The outcome of the decided request with this id.
struct KnownRequest
{
    std::string requestId;
    std::uint64_t contentHash = 0;
    ChangeOutcome outcome = {};

    friend auto operator<=>(KnownRequest const &, KnownRequest const &) = default;
};

// The change that created the current version.
struct LastAccepted
{
    std::string requestId = {};
    std::string operatorName = {};

    friend auto operator<=>(LastAccepted const &, LastAccepted const &) = default;
};

// Covers 22 days at 450 changes per day, the highest rate that the design assumes. A request that is resent
// later is decided again: with a base version it conflicts, because its base is no longer current.
constexpr std::size_t maxKnownRequests = 10000;
constexpr std::size_t maxAuditEntries = 10000;

// Full lists use 5.6 MB if all changes were accepted, and 18.5 MB if all were rejected with this many errors.
// Of further errors only the count is stored; operators get all of them from the parser beforehand.
constexpr std::size_t maxStoredErrors = 3;
constexpr std::size_t maxStoredErrorLength = 300;

// Invariants: both lists are in log order and within their limits; the ids of the known requests are unique;
// the indexes of the audit entries ascend and do not exceed lastIndex.
struct ConfigurationState
{
    Configuration configuration = {};
    std::uint64_t lastIndex = 0; // The log index of the last applied change.
    LastAccepted lastAccepted = {};
    SharedList<KnownRequest> knownRequests = {};
    SharedList<AuditEntry> audit = {};

    friend bool operator==(ConfigurationState const &, ConfigurationState const &) = default;
};

} // namespace almondwing
