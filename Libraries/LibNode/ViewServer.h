// Answers entries that ask for the view: at once if something has changed, else after a while.

#pragma once

#include <LibFrontEnd/HttpTypes.h>
#include <LibNode/ActivityBoard.h>
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
    std::uint64_t boot = 0; // Of this process.
    // An entry learns within this time that its control instance is gone; each answer costs about 300 bytes.
    Duration longestWait = 400ms;
    // After so long every target has sent a heartbeat here or to a peer: two intervals, and 1 s for a target
    // that first tries an instance that does not answer.
    Duration completeAfter = 3400ms;
    Timestamp startedAt;
    std::size_t coldPermits = 4; // Entries that may open flows at cold targets at a time.
    // Time between two rounds of answers for each entry that waits, so that changes which follow each other
    // closely are told together. An answer takes about 40 us (perf, 100 entries), so answers take at most 4%
    // of a core.
    Duration roundTimeOfEntry = 1ms;
    std::size_t entriesWithoutPause = 16; // A round of so many answers takes less than 1 ms.
    // The changes of further targets come with the next answers. So many take about 30 KB.
    std::size_t targetsInReply = 250;

    friend bool operator==(ViewServerSettings const &, ViewServerSettings const &) = default;
};

class ViewServer
{
public:
    ViewServer(ViewServerSettings viewSettings, DocumentLog &documentLog, TargetRegistry &targetRegistry,
               PeerDirectory &peerDirectory, ActivityBoard &activityBoard);

    void handle(ViewRequest request, HttpResponder respond, Timestamp now);

    // Answers the requests for which something has changed or that have waited long enough, unless the round
    // before was too short a time ago; a later call does it then.
    void answerDue(Timestamp now);

    // Looks which heartbeats have stopped, and where the tokens belong; called once or twice a second.
    void refresh(Timestamp now);

    // Flows of the entries that report here, as of the last refresh.
    Cell<GroupFlows>::Snapshot ownFlows() const { return this->ownFlowsNow.read(); }

    // Answers all that wait, before a planned stop.
    void answerAll(Timestamp now);

private:
    struct Waiting
    {
        ViewRequest request;
        HttpResponder respond;
        Timestamp deadline;
        bool wasInContact = false;
        std::vector<TargetNumber> overdue;
    };

    // Some changes of the registry after a generation, in the form in which they are told.
    struct Part
    {
        std::string targets; // As of formatTargets(); empty if nothing has changed.
        std::uint64_t lastGeneration = 0;
        bool isTruncated = false; // More has changed.
        Timestamp madeAt;

        friend bool operator==(Part const &, Part const &) = default;
    };

    std::shared_ptr<Part const> partAfter(std::uint64_t generation, Timestamp now);
    bool isDue(Waiting const &waiting, std::vector<TargetNumber> const &overdue, Timestamp now) const;
    // Without its targets, which the part holds.
    ViewReply replyTo(ViewRequest const &request, Part const &part, std::vector<TargetNumber> overdue,
                      Timestamp now);
    bool mayOpenCold(std::string const &instance, Timestamp now) const;
    void noteLeadership(Timestamp now);

    ViewServerSettings settings;
    DocumentLog &log;
    TargetRegistry &registry;
    PeerDirectory &directory;
    ActivityBoard &activity;
    Cell<std::vector<TargetNumber>> overdue; // As of the last refresh.
    Cell<TokenPlaces> tokenPlacesNow; // Likewise.
    Cell<GroupFlows> ownFlowsNow; // Likewise.
    Cell<std::vector<GroupLoad>> loadsNow; // Likewise.
    std::atomic<std::uint64_t> placesGeneration{0};
    Cell<std::optional<Timestamp>> leadsSince; // Nothing while another replica leads.
    std::mutex partsMutex; // Guards parts.
    std::map<std::uint64_t, std::shared_ptr<Part const>> parts; // By the generation that they follow.
    std::mutex mutex; // Guards waiting and nextRound.
    std::vector<Waiting> waiting;
    Timestamp nextRound; // Nothing is answered before.
};

} // namespace almondwing
