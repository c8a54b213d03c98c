// Several replicas on fake disks, joined by a fake link, with a check of every step against what was
// committed, acknowledged and led before.

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
    Duration longestDelay = 20ms;
};

class ReplicationCluster
{
public:
    struct Node
    {
        std::string instance;
        FakeDisk disk;
        std::unique_ptr<ReplicationCore> core; // Null while the process is down.
        ReplicationStatus status; // As seen last.
        std::vector<std::string> commands; // The state machine: every applied command.
        std::vector<LogIndex> appliedIndexes; // Of this process, without restored ones.
        std::map<ReadToken, std::size_t> reads; // Commands that were acknowledged when the read began.
        std::map<LogIndex, std::string> proposals;
        std::vector<Event> events;
        int island = 0; // Replicas reach each other only on the same island.
        std::string refusal; // Why the storage did not open.
    };

    ReplicationCluster(std::size_t size, std::uint64_t seed,
                       ReplicationSettings newSettings = testSettings());

    static ReplicationSettings testSettings();

    // A further instance that the settings do not name. Call it before the first run.
    std::size_t addNode();

    void run(Duration duration);
    void start(std::size_t index);
    void stop(std::size_t index); // The process ends; the disk keeps what was written.
    void crash(std::size_t index); // The machine loses its power.
    void wipe(std::size_t index);
    void heal(); // One island, no faults, all processes up.

    // Proposes a new unique command; nothing if the replica refuses.
    std::optional<LogIndex> propose(std::size_t index, std::size_t padding = 0);
    void beginRead(std::size_t index);
    std::optional<std::size_t> leader() const; // Of the highest term.
    bool waitUntil(std::function<bool()> const &condition); // Whether it became true in time.
    std::size_t waitForLeader(); // Fails the check if none is elected in time.
    bool commitOne(); // Whether a new command gets committed in time.
    bool hasConverged() const; // All replicas are voters and have applied all commands.
    // Whether a majority of the voters still has its disks if this one is lost, before and after a membership
    // change that is under way. Without a majority no safe system could go on.
    bool mayLoseDisk(std::size_t index) const;
    bool hasReported(Event event) const;

    // Keeps messages of one kind in the link until they are released.
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
    bool bootstrapPermission = true;
    Timestamp now{1h};
    std::vector<std::string> committed; // The one order of commands.
    std::set<std::string> acknowledged;
    std::size_t acknowledgedLength = 0; // Commands up to the last acknowledged one.
    std::vector<std::string> violations;
    std::size_t readsConfirmed = 0;

private:
    struct Transit
    {
        ReplicaEnvelope envelope;
        std::size_t target = 0;
    };

    ReplicationHooks hooksOf(std::size_t index);
    void post(std::size_t from, ReplicaEnvelope const &envelope);
    void deliverDue();
    void observe(std::size_t index);
    void apply(Node &node, LogEntry const &entry);
    void restore(Node &node, Snapshot const &snapshot);
    void require(bool condition, std::string const &violation);
    bool keepsMajority(std::vector<Replica> const &voters, std::size_t lostIndex) const;
    std::size_t indexOf(std::string const &instance) const;

    ReplicationSettings settings;
    std::mt19937_64 random;
    std::multimap<Timestamp, Transit> transit;
    std::function<bool(ReplicaMessage const &)> isHeldBack;
    std::vector<ReplicaEnvelope> heldBack;
    std::map<std::pair<HistoryId, Term>, ReplicaId> leaders;
    std::map<LogIndex, LogEntry> entries; // Every applied entry.
    std::size_t proposalCount = 0;
};

} // namespace almondwing
