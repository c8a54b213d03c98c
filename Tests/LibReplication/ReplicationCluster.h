// Simulates several replicas on fake disks and a fake network. After every step, records a violation
// if a committed or acknowledged command was lost or changed, if a confirmed read misses an acknowledged
// command, or if a term has two leaders.

#pragma once

#include "FakeDisk.h"

#include <LibReplication/FileStorage.h>
#include <LibReplication/ReplicationCore.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace almondwing {

struct LinkFaults
{
    unsigned lossPercent = 0;
    unsigned duplicatePercent = 0;
    Duration maxDelay = 20ms;
};

class ReplicationCluster
{
public:
    // One instance: its disk, and its process while that runs.
    struct Node
    {
        std::string instance;
        FakeDisk disk;
        std::unique_ptr<ReplicationCore> core; // Null while the process is down.
        ReplicationStatus status; // The last observed status.
        std::vector<std::string> commands; // The state machine: all applied commands.
        std::vector<LogIndex> appliedIndexes; // Entries applied by this process, without restored ones.
        std::map<ReadToken, std::size_t> reads; // The number of acknowledged commands when the read started.
        std::map<LogIndex, std::string> proposals;
        std::vector<Event> events;
        int partition = 0; // Only replicas in the same network partition reach each other.
        std::string storageError; // The error with which the storage failed to open.
    };

    ReplicationCluster(std::size_t size, std::uint64_t seed,
                       ReplicationSettings newSettings = testSettings());

    static ReplicationSettings testSettings();

    // Adds and starts an instance that the settings do not list. At most 4 can be added.
    std::size_t addNode();

    void run(Duration duration);
    void start(std::size_t index);
    void stop(std::size_t index); // Ends the process; the disk keeps all written data.
    void losePower(std::size_t index); // Ends the process with a power loss.
    void wipe(std::size_t index); // Ends the process and empties the disk.
    void heal(); // Removes the partitions and faults and starts all processes.

    // Proposes a new unique command. Returns no value if the replica refuses it.
    std::optional<LogIndex> propose(std::size_t index, std::size_t padding = 0);
    void startRead(std::size_t index);
    std::optional<std::size_t> leader() const; // The leader of the highest term.
    bool waitUntil(std::function<bool()> const &condition); // Returns whether it became true in time.
    std::size_t waitForLeader(); // Records a violation if no leader is elected in time.
    bool commitOne(); // Returns whether a new command was committed in time.
    bool hasConverged() const; // Whether all replicas are voters and have applied all commands.
    // Whether a majority of the voters still has its disks if this disk is lost, both before and after a
    // pending membership change. No replicated log can make progress safely without that majority.
    bool canLoseDisk(std::size_t index) const;
    bool hasReported(Event event) const;

    // Holds messages of one type in the network until they are released.
    template<typename Message>
    void holdBack()
    {
        this->isHeldBack = [](ReplicaMessage const &message) {
            return std::holds_alternative<Message>(message);
        };
    }
    void releaseHeldBack();

    std::vector<Node> nodes;
    LinkFaults faults;
    bool isBootstrapAllowed = true;
    Timestamp now{1h};
    std::vector<std::string> committed; // All committed commands in log order.
    std::set<std::string> acknowledged;
    std::size_t acknowledgedLength = 0; // The number of commands up to the last acknowledged one.
    std::vector<std::string> violations;
    std::size_t readsConfirmed = 0;

private:
    struct InFlightMessage
    {
        ReplicaEnvelope envelope;
        std::size_t recipient = 0;
    };

    ReplicationHooks hooksOf(std::size_t index);
    void transmit(std::size_t from, ReplicaEnvelope const &envelope);
    void deliverDue();
    void observe(std::size_t index);
    void apply(Node &node, LogEntry const &entry);
    void restore(Node &node, Snapshot const &snapshot);
    void require(bool condition, std::string const &violation);
    bool hasMajorityWithout(std::vector<Replica> const &voters, std::size_t lostIndex) const;
    std::size_t indexOf(std::string const &instance) const;

    ReplicationSettings settings;
    std::mt19937_64 random;
    std::multimap<Timestamp, InFlightMessage> inFlightMessages;
    std::function<bool(ReplicaMessage const &)> isHeldBack;
    std::vector<ReplicaEnvelope> heldBack;
    std::map<std::pair<HistoryId, Term>, ReplicaId> leaders;
    std::map<LogIndex, LogEntry> entries; // All applied entries.
    std::size_t proposalCount = 0;
};

} // namespace almondwing
