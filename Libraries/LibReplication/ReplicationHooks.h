// Settings of the replicated log and the hooks through which the core acts. The core calls hooks while it
// runs; a hook only queues or stores, and never calls back into the core.

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

// Which instances the log may admit as voters.
enum class VoterAdmission : std::uint8_t {
    ListedInstances, // Only those of the settings.
    AnyInstance, // Every instance that asks; the settings name only those that begin the history.
};

struct ReplicationSettings
{
    // Names of all instances with a data folder, 3 to 7; with open admission, those that begin the history.
    std::vector<std::string> controlInstances;
    VoterAdmission admission = VoterAdmission::ListedInstances;

    // A heartbeat is about 300 bytes of JSON. At one a second the leader of 7 replicas sends 1.8 KB/s of
    // bodies, HTTP headers not counted; an instance may spend 2 KB/s on control.
    Duration heartbeatInterval = 1s;
    // The shortest election timeout allows for two lost heartbeats; the longest spreads candidates over
    // several round trips between regions.
    Duration minElectionTimeout = 3s;
    Duration maxElectionTimeout = 6s;
    Duration joinInterval = 1s;
    // With open admission, a voter that was silent for so long is removed, as long as three others remain and
    // one more than their majority answers. It may ask to join again.
    Duration voterRemovalTimeout = 3s;

    std::size_t maxPayloadBytes = 256UL * 1024;
    std::size_t maxBatchBytes = 256UL * 1024;
    std::size_t maxBatchEntries = 64;
    std::size_t maxSnapshotPartBytes = 256UL * 1024;
    std::size_t maxSnapshotBytes = 64UL * 1024 * 1024; // The memory of an instance bounds what it collects.
    std::size_t maxInFlightBatches = 4; // To one follower.
    std::size_t catchUpBytesPerSecond = 1024UL * 1024; // To one follower, after a burst of one batch.
    std::size_t maxUncommittedEntries = 256; // Further proposals are refused.
    std::size_t entriesPerSnapshot = 1000;
    std::size_t logBytesPerSnapshot = 4UL * 1024 * 1024;
};

// Names a read that waits for the leader to be confirmed.
using ReadToken = std::uint64_t;

enum class ProposalOutcome : std::uint8_t {
    Committed, // Applied; the entry is never lost.
    Unknown, // Leadership or the storage was lost; the entry may still be committed by another leader.
};

struct ReplicationHooks
{
    std::function<void(ReplicaEnvelope)> send;
    std::function<void(LogEntry const &)> apply; // Committed commands, once each and in order.
    std::function<void(Snapshot const &)> restore; // Replaces the whole state of the state machine.
    std::function<std::string()> takeSnapshot; // The state after the last applied command.
    std::function<void(LogIndex, ProposalOutcome)> resolveProposal; // Called after apply.
    std::function<void(ReadToken, absl::Status const &)> resolveRead;
    // With open admission: further instances to ask for the log, beside those of the settings.
    std::function<std::vector<std::string>()> knownInstances;
    // False while another part of the instance has evidence of an earlier history, such as a peer that
    // reports a configuration version.
    std::function<bool()> mayBootstrap;
    RandomSource random;
    EventReporter report;
};

struct ReplicationCounters
{
    std::uint64_t messagesSent = 0;
    std::uint64_t payloadBytesSent = 0; // Entries and snapshot parts; without the encoding.

    friend bool operator==(ReplicationCounters const &, ReplicationCounters const &) = default;
};

} // namespace almondwing
