// Settings of the replicated log and the hooks through which the core acts on its surroundings. The core
// calls them synchronously, so a hook only queues or stores and must not call back into the core.

#pragma once

#include <LibCore/EventCatalogue.h>
#include <LibCore/Time.h>
#include <LibMessages/Outbox.h>
#include <LibReplication/ReplicaMessages.h>

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace almondwing {

// Which instances a leader may admit as voters.
enum class VoterAdmission : std::uint8_t {
    ListedInstances, // Only the control instances of the settings.
    AnyInstance, // Every instance that asks to join; the settings list only those that bootstrap the history.
};

struct ReplicationSettings
{
    // The names of the control instances, that is, of all instances that keep a replica of the log in a data
    // folder, 3 to 7. With VoterAdmission::AnyInstance only they bootstrap the history, but other instances
    // may become voters too.
    std::vector<std::string> controlInstances;
    VoterAdmission admission = VoterAdmission::ListedInstances;

    // A heartbeat is about 300 bytes of JSON. At one heartbeat per second the leader of 7 replicas sends
    // 1.8 KB/s of bodies, not counting HTTP headers. The limit for control traffic is 2 KB/s per instance.
    Duration heartbeatInterval = 1s;
    // The minimum election timeout tolerates two lost heartbeats. The range up to the maximum spreads the
    // candidates over several round trips between regions.
    Duration minElectionTimeout = 3s;
    Duration maxElectionTimeout = 6s;
    Duration joinInterval = 1s;
    // With VoterAdmission::AnyInstance, a voter that sent no reply for this long is removed if that lowers
    // the majority and one more than the majority of the others responds. It may ask to join again.
    Duration voterRemovalTimeout = 3s;

    std::size_t maxPayloadBytes = 256UL * 1024;
    std::size_t maxBatchBytes = 256UL * 1024;
    std::size_t maxBatchEntries = 64;
    std::size_t maxSnapshotPartBytes = 256UL * 1024;
    std::size_t maxSnapshotBytes = 64UL * 1024 * 1024; // Bounds the memory for a snapshot that is received.
    std::size_t maxInFlightBatches = 4; // Per follower.
    std::size_t catchUpBytesPerSecond = 1024UL * 1024; // Per follower, after a burst of one batch.
    std::size_t maxUncommittedEntries = 256; // Further proposals are refused.
    std::size_t entriesPerSnapshot = 1000;
    std::size_t logBytesPerSnapshot = 4UL * 1024 * 1024;
};

// Identifies a read that waits until a majority has confirmed the leader.
using ReadToken = std::uint64_t;

enum class ProposalOutcome : std::uint8_t {
    Committed, // The entry is applied and will not be lost.
    Unknown, // Leadership was lost or the storage failed; another leader may still commit the entry.
};

struct ReplicationHooks
{
    std::function<void(ReplicaEnvelope)> send;
    // Applies a committed command to the state machine. Called once per command, in log order.
    std::function<void(LogEntry const &)> apply;
    // Replaces the whole state of the state machine.
    std::function<void(Snapshot const &)> restore;
    // Serializes the state of the state machine after the last applied command.
    std::function<std::string()> takeSnapshot;
    // Reports the outcome of an accepted proposal. For a committed command it is called after `apply`.
    std::function<void(LogIndex, ProposalOutcome)> resolveProposal;
    std::function<void(ReadToken, absl::Status const &)> resolveRead;
    // Used only with VoterAdmission::AnyInstance: the instances to which this replica sends JoinRequest, in
    // addition to the voters and the instances of the settings.
    std::function<std::vector<std::string>()> knownInstances;
    // Returns whether this instance may begin a new history when all control instances are empty. The owner
    // may refuse it, for example, while a peer reports a configuration version, which proves an earlier
    // history, or unless the operator has marked this start as the first one.
    std::function<bool()> mayBootstrap;
    RandomSource random;
    EventReporter report;
};

struct ReplicationCounters
{
    std::uint64_t messagesSent = 0;
    std::uint64_t payloadBytesSent = 0; // Entry payloads and snapshot parts, without encoding overhead.

    friend bool operator==(ReplicationCounters const &, ReplicationCounters const &) = default;
};

} // namespace almondwing
