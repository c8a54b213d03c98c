// Serves entries the view that they route by (configuration, failure domains out of service, targets) by long
// polling: a request is answered when something has changed, or after a maximum wait.

#pragma once

#include <LibFrontEnd/HttpTypes.h>
#include <LibNode/ActivityBlackboard.h>
#include <LibNode/DocumentLog.h>
#include <LibNode/NodeWire.h>
#include <LibRegistry/PeerDirectory.h>
#include <LibRegistry/TargetRegistry.h>

#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace almondwing {

struct ViewServerSettings
{
    std::uint64_t bootId = 0; // Identifies this process.
    // Bounds the time after which an entry notices that its control instance is gone; each answer takes about
    // 300 bytes.
    Duration maxWait = 400ms;
    // The time after the start by which every target has sent a heartbeat to this instance or a peer: two
    // intervals, and 1 s for a target that first tries an instance that doesn't answer.
    Duration completionDelay = 3400ms;
    Timestamp startedAt;
    std::size_t maxColdPermits = 4; // Entries that may open flows at cold targets at the same time.
    // The pause after a round of more than maxEntriesWithoutPause answers is this time for each answer. It
    // combines changes in quick succession into one answer. An answer to one entry takes about 40 us with 100
    // entries, so answers take at most 4% of a core.
    Duration roundTimePerEntry = 1ms;
    std::size_t maxEntriesWithoutPause = 16; // A round of this many answers takes less than 1 ms.
    // An answer has at most this many changed targets; the rest follows with the next answers. 250 targets
    // take about 30 KB.
    std::size_t maxTargetsPerReply = 250;

    friend bool operator==(ViewServerSettings const &, ViewServerSettings const &) = default;
};

class ViewServer
{
public:
    ViewServer(ViewServerSettings viewSettings, DocumentLog &documentLog, TargetRegistry &targetRegistry,
               PeerDirectory &peerDirectory, ActivityBlackboard &activityBlackboard);

    void handle(ViewRequest request, HttpResponder respond, Timestamp now);

    // Answers the requests for which something has changed or whose maximum wait is over. During the pause
    // after the previous round it does nothing and leaves them to a later call.
    void answerDue(Timestamp now);

    // Updates the overdue targets, the token index and the published loads. Call it once or twice a second.
    void refresh(Timestamp now);

    // Flows of the entries that report to this instance, as of the last refresh.
    Cell<GroupFlows>::Snapshot localFlows() const { return this->publishedLocalFlows.read(); }

    // Answers all waiting requests before a graceful stop.
    void answerAll(Timestamp now);

private:
    struct WaitingRequest
    {
        ViewRequest request;
        HttpResponder respond;
        Timestamp deadline;
        bool wasInContact = false;
        std::vector<TargetNumber> overdue;
    };

    // Changes of the registry after a generation, encoded as they are sent.
    struct EncodedChanges
    {
        std::string targets; // By formatTargets(); empty if nothing has changed.
        std::uint64_t lastGeneration = 0;
        bool isTruncated = false; // There are further changes.
        Timestamp encodedAt;

        friend bool operator==(EncodedChanges const &, EncodedChanges const &) = default;
    };

    std::shared_ptr<EncodedChanges const> encodedChangesAfter(std::uint64_t generation, Timestamp now);
    bool isDue(WaitingRequest const &waitingRequest, std::vector<TargetNumber> const &overdue,
               Timestamp now) const;
    // A configuration of thousands of routes goes to all entries, so it is encoded once for each revision.
    std::string encodedConfiguration(ConfigurationView const &view);
    // Returns the reply without its targets, which are in `encoded`, and without the configuration.
    ViewReply makeReply(ViewRequest const &request, EncodedChanges const &encoded,
                        std::vector<TargetNumber> overdue, Timestamp now);
    bool hasColdPermit(std::string const &instance, Timestamp now) const;
    void updateLeadership(Timestamp now);

    ViewServerSettings settings;
    DocumentLog &log;
    TargetRegistry &registry;
    PeerDirectory &directory;
    ActivityBlackboard &activity;
    // The next four members are as of the last refresh.
    Cell<std::vector<TargetNumber>> overdue;
    Cell<TokenIndex> tokenIndex;
    Cell<GroupFlows> publishedLocalFlows;
    Cell<std::vector<GroupLoad>> publishedLoads;
    std::atomic<std::uint64_t> tokenIndexGeneration{0}; // The generation that tokenIndex was made from.
    Cell<std::optional<Timestamp>> leaderSince; // Nothing while this replica is not the leader.
    std::mutex encodedChangesMutex; // Guards the three members below.
    // By the generation after which the changes were made.
    std::map<std::uint64_t, std::shared_ptr<EncodedChanges const>> encodedChanges;
    std::uint64_t encodedRevision = 0; // Of configurationText; 0 while there is none.
    std::string configurationText;
    std::mutex mutex; // Guards waitingRequests and nextRound.
    std::vector<WaitingRequest> waitingRequests;
    Timestamp nextRound; // The earliest time of the next round of answers.
};

} // namespace almondwing
