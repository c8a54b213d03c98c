// Keeps the view of an entry up to date: asks one control instance after the other, those of the own failure
// domain first, and stays with one that is in contact with a majority.

#pragma once

#include <LibCore/EventCatalogue.h>
#include <LibFrontEnd/HttpConnection.h>
#include <LibNode/ContactPatience.h>
#include <LibNode/NodeWire.h>
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

struct FollowerHooks
{
    std::function<void()> viewChanged;
    std::function<void(Timestamp until)> coldFlowsPermitted;
    std::function<std::vector<TargetActivity>()> activity; // Of this entry.
    EventReporter report;
};

// What is known of how current the view is.
struct ViewFreshness
{
    Timestamp answeredAt; // By a control instance in contact with a majority; the beginning of time before.
    std::uint64_t revision = 0;
    bool isRegistryComplete = false;

    friend bool operator==(ViewFreshness const &, ViewFreshness const &) = default;
};

class ViewFollower
{
public:
    ViewFollower(IoRuntime &ioRuntime, NodeSettings const &nodeSettings, TokenBlackboard &tokenBoard,
                 FollowerHooks followerHooks);

    void start();

    void addSeeds(std::vector<Endpoint> const &seeds);

    ViewFreshness freshness() const { return *this->currentFreshness.read(); }

private:
    // How far the registry of a control instance is known here.
    struct Position
    {
        std::uint64_t boot = 0;
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

    void ask();
    std::optional<std::vector<TargetActivity>> activityIfDue(Timestamp now);
    void askLater();
    void handleReply(absl::StatusOr<HttpResponse> const &response);
    void apply(ViewReply const &reply, Timestamp now);
    void chooseSource();
    void leaveSource(std::string const &reason);
    void publishView(Timestamp now);
    std::vector<Endpoint> candidates() const;

    IoRuntime &runtime;
    std::string instance;
    std::string failureDomain;
    TokenBlackboard &board;
    FollowerHooks hooks;
    TargetRegistry registry;
    PeerDirectory directory;
    Cell<ViewFreshness> currentFreshness;

    SerialQueue queue;

    // Touched only by work on the queue.
    std::optional<Source> source;
    std::map<Endpoint, Position> positions; // Of all instances that have answered, to go on from there.
    std::size_t nextCandidate = 0;
    ContactPatience patience;
    Timestamp nextActivity; // No report of flows before that time, unless the source is new.
    std::optional<ConfigurationView> configuration; // Its revision never falls.
    std::set<TargetNumber> overdue;
};

} // namespace almondwing
