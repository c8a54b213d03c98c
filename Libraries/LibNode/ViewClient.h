// Keeps the view of an entry (configuration, failure domains out of service, targets) up to date. It polls
// one control instance, called the source, and prefers those of its own failure domain. It tries one after
// the other until it finds one that is in contact with a majority. While it has no view at all, it tries all
// of them at the same time and follows the first one that accepts a connection.

#pragma once

#include <LibCore/EventCatalogue.h>
#include <LibFrontEnd/HttpConnection.h>
#include <LibNode/ContactTimeout.h>
#include <LibNode/NodeWire.h>
#include <LibNode/SourceSearch.h>
#include <LibRegistry/PeerDirectory.h>
#include <LibRegistry/TargetRegistry.h>
#include <LibSettings/NodeSettings.h>
#include <LibTokenRouting/TokenBlackboard.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace almondwing {

struct ViewClientHooks
{
    std::function<void()> viewChanged;
    std::function<void(Timestamp until)> permitColdFlows;
    std::function<std::vector<TargetActivity>()> activity; // Returns the flows of this entry at each target.
    EventReporter report;
};

// How current and how complete the view is.
struct ViewFreshness
{
    // Time of the latest answer of a control instance in contact with a majority; Timestamp{} if there was
    // none.
    Timestamp answeredAt;
    std::uint64_t revision = 0;
    bool isRegistryComplete = false;

    friend bool operator==(ViewFreshness const &, ViewFreshness const &) = default;
};

class ViewClient
{
public:
    ViewClient(IoRuntime &ioRuntime, NodeSettings const &nodeSettings, TokenBlackboard &tokenBlackboard,
               ViewClientHooks clientHooks);

    void start();

    void addSeeds(std::vector<Endpoint> const &seeds);

    // A control instance says that it has started. An entry that searches for one follows it at once.
    void handleControlStarted(Endpoint controlInstance);

    ViewFreshness freshness() const { return *this->currentFreshness.read(); }

private:
    // The position in the registry of a control instance up to which this entry has the changes.
    struct Position
    {
        std::uint64_t bootId = 0;
        std::uint64_t registryGeneration = 0;

        friend bool operator==(Position const &, Position const &) = default;
    };

    struct Source
    {
        Endpoint endpoint;
        std::shared_ptr<HttpConnection> link;
        Position position;
        bool hasAnswered = false;
    };

    void sendRequest();
    std::optional<std::vector<TargetActivity>> activityIfDue(Timestamp now);
    void scheduleRequest();
    void handleReply(absl::StatusOr<HttpResponse> const &response, Timestamp sentAt);
    void apply(ViewReply const &reply, Timestamp sentAt, Timestamp now);
    void chooseSource();
    void follow(Endpoint endpoint);
    void continueSearch();
    void handleSearchResult(Endpoint candidate, bool isAccepted);
    void dropSource(std::string const &reason);
    void publishView(Timestamp now);
    std::vector<Endpoint> candidates() const;

    IoRuntime &runtime;
    std::string instance;
    std::string failureDomain;
    std::optional<Endpoint> readiness; // Of this entry, for control instances that start.
    TokenBlackboard &blackboard;
    ViewClientHooks hooks;
    TargetRegistry registry;
    PeerDirectory directory;
    Cell<ViewFreshness> currentFreshness;

    SerialQueue queue;

    // The members below are accessed only on the queue.
    std::optional<Source> source;
    std::map<Endpoint, Position> positions; // Of all former sources, to continue there after a switch back.
    std::size_t nextCandidate = 0;
    SourceSearch search;
    bool isSearchScheduled = false; // continueSearch() is called when the next try is due.
    ContactTimeout contactTimeout;
    Timestamp nextActivityReport; // The earliest time of the next report of flows, unless the source is new.
    std::optional<ConfigurationView> configuration; // Its revision never decreases.
    std::set<TargetNumber> overdue;
};

} // namespace almondwing
