// The whole state of the configuration's state machine, as a value. A snapshot of the replicated log is one
// of these.

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

// How a change request was met.
enum class AuditKind : std::uint8_t {
    Decided, // Seen for the first time.
    Repeated, // A resend, answered with the first outcome.
    IdReused, // Another change under a known request id, rejected.
};

struct AuditEntry
{
    std::uint64_t index = 0; // In the replicated log.
    std::int64_t submittedAt = 0; // Unix seconds by the clock of the proposing instance.
    std::string operatorName = {};
    std::string requestId = {};
    std::optional<std::uint64_t> baseVersion = {};
    std::uint64_t resultingVersion = 0; // The current version afterwards, changed or not.
    std::string description = {};
    AuditKind kind = AuditKind::Decided;
    ChangeOutcome outcome = {};

    friend auto operator<=>(AuditEntry const &, AuditEntry const &) = default;
};

// The first outcome of a request id.
struct KnownRequest
{
    std::string requestId;
    std::uint64_t contentHash = 0;
    ChangeOutcome outcome = {};

    friend auto operator<=>(KnownRequest const &, KnownRequest const &) = default;
};

// The change that made the current version.
struct LastAccepted
{
    std::string requestId = {};
    std::string operatorName = {};

    friend auto operator<=>(LastAccepted const &, LastAccepted const &) = default;
};

// 22 days at the design size of 450 changes a day. A request that is resent later on a base version meets a
// conflict, because its base is no longer current.
constexpr std::size_t maxKnownRequests = 10000;
constexpr std::size_t maxAuditEntries = 10000;

// Full lists take 5.6 MB if all changes were accepted, and 18.5 MB if all were rejected with this many
// errors. Operators get all errors of a manifest from the parser, before the change enters the log.
constexpr std::size_t maxStoredErrors = 3;
constexpr std::size_t maxStoredErrorLength = 300;

// Invariants: both lists are ordered by time and stay within their limits; request ids of known requests are
// unique; audit indexes ascend and do not exceed lastIndex.
struct ConfigurationState
{
    Configuration configuration = {};
    std::uint64_t lastIndex = 0; // Log index of the last change that was applied.
    LastAccepted lastAccepted = {};
    SharedList<KnownRequest> knownRequests = {};
    SharedList<AuditEntry> audit = {};

    friend bool operator==(ConfigurationState const &, ConfigurationState const &) = default;
};

} // namespace almondwing
