// Implements the server of the view.

#include <LibNode/ViewServer.h>

#include <algorithm>
#include <utility>

namespace almondwing {

namespace {

// A leader without a majority steps down within 400 ms, and its permits expire 1 s after that.
constexpr Duration permitDelay = 2s;

// Encoded changes are sent to many entries at about the same time. An entry counts the ages in them from
// their arrival, so the ages may be wrong by up to this time.
constexpr Duration encodedChangesLifetime = 100ms;

} // namespace

ViewServer::ViewServer(ViewServerSettings viewSettings, DocumentLog &documentLog,
                       TargetRegistry &targetRegistry, PeerDirectory &peerDirectory,
                       ActivityBlackboard &activityBlackboard)
    : settings(viewSettings), log(documentLog), registry(targetRegistry), directory(peerDirectory),
      activity(activityBlackboard)
{
}

void ViewServer::refresh(Timestamp now)
{
    std::vector<TargetNumber> overdueTargets = this->registry.overdue(now);
    if (overdueTargets != *this->overdue.read())
        this->overdue.update([&overdueTargets](auto const &) { return overdueTargets; });
    std::uint64_t const generation = this->registry.changeGeneration();
    if (this->tokenIndexGeneration.exchange(generation) != generation)
        this->tokenIndex.update([next = makeTokenIndex(this->registry)](TokenIndex const &) { return next; });
    this->activity.removeExpired(now);
    auto const index = this->tokenIndex.read();
    this->publishedLocalFlows.update(
        [next = this->activity.localFlows(*index)](auto const &) { return next; });
    this->publishedLoads.update([next = this->activity.loads(*index)](auto const &) { return next; });
}

void ViewServer::handle(ViewRequest request, HttpResponder respond, Timestamp now)
{
    if (request.activity)
        this->activity.updateEntry(request.instance, *request.activity, now);
    {
        std::scoped_lock const lock(this->mutex);
        this->waitingRequests.push_back(WaitingRequest{.request = std::move(request),
                                                       .respond = std::move(respond),
                                                       .deadline = now + this->settings.maxWait,
                                                       .wasInContact = this->log.isInContact(now),
                                                       .overdue = *this->overdue.read()});
    }
    this->answerDue(now);
}

bool ViewServer::isDue(WaitingRequest const &waitingRequest, std::vector<TargetNumber> const &currentOverdue,
                       Timestamp now) const
{
    return now >= waitingRequest.deadline || waitingRequest.request.isNewSource
        || waitingRequest.request.bootId != this->settings.bootId
        || this->registry.changeGeneration() > waitingRequest.request.registryGeneration
        || this->log.applied()->view.revision > waitingRequest.request.revision
        || this->log.isInContact(now) != waitingRequest.wasInContact
        || currentOverdue != waitingRequest.overdue;
}

// Only the leader grants permits, and only after those of a former leader have expired.
bool ViewServer::hasColdPermit(std::string const &instance, Timestamp now) const
{
    auto const since = this->leaderSince.read();
    if (!this->log.isInContact(now) || !since->has_value() || now - **since < permitDelay)
        return false;
    return this->activity.rankOf(instance) < this->settings.maxColdPermits;
}

void ViewServer::updateLeadership(Timestamp now)
{
    bool const isLeader = this->log.contact()->status.role == ReplicaRole::Leader;
    if (isLeader == this->leaderSince.read()->has_value())
        return;
    this->leaderSince.update(
        [&](auto const &) { return isLeader ? std::optional(now) : std::optional<Timestamp>(); });
}

std::shared_ptr<ViewServer::EncodedChanges const> ViewServer::encodedChangesAfter(std::uint64_t generation,
                                                                                  Timestamp now)
{
    std::scoped_lock const lock(this->encodedChangesMutex);
    std::erase_if(this->encodedChanges,
                  [&](auto const &entry) { return now - entry.second->encodedAt > encodedChangesLifetime; });
    auto const cached = this->encodedChanges.find(generation);
    bool const isCurrent = cached != this->encodedChanges.end()
        && (cached->second->isTruncated
            || cached->second->lastGeneration == this->registry.changeGeneration());
    if (isCurrent)
        return cached->second;
    RegistryChanges const changes =
        this->registry.oldestChangesAfter(generation, this->settings.maxTargetsPerReply);
    auto encoded = std::make_shared<EncodedChanges const>(EncodedChanges{
        .targets = changes.targets.empty() ? std::string() : formatTargets(changes.targets, now),
        .lastGeneration = changes.lastGeneration,
        .isTruncated = changes.isTruncated,
        .encodedAt = now});
    this->encodedChanges.insert_or_assign(generation, encoded);
    return encoded;
}

std::string ViewServer::encodedConfiguration(ConfigurationView const &view)
{
    std::scoped_lock const lock(this->encodedChangesMutex);
    if (this->encodedRevision != view.revision) {
        this->encodedRevision = view.revision;
        this->configurationText = formatConfiguration(view);
    }
    return this->configurationText;
}

ViewReply ViewServer::makeReply(ViewRequest const &request, EncodedChanges const &encoded,
                                std::vector<TargetNumber> currentOverdue, Timestamp now)
{
    bool const isSameProcess = request.bootId == this->settings.bootId;
    ViewReply reply{.bootId = this->settings.bootId,
                    .registryGeneration = encoded.lastGeneration,
                    .extent = isSameProcess ? RegistryExtent::Delta : RegistryExtent::Full,
                    .isRegistryComplete = !encoded.isTruncated
                        && now - this->settings.startedAt >= this->settings.completionDelay,
                    .isInContact = this->log.isInContact(now),
                    .overdue = std::move(currentOverdue)};
    if (!isSameProcess || this->log.applied()->view.revision > request.revision) {
        for (auto const &[endpoint, peer] : this->directory.peers())
            reply.controlInstances.push_back(peer);
    }
    reply.hasColdPermit = this->hasColdPermit(request.instance, now);
    if (!request.activity)
        return reply;
    auto const index = this->tokenIndex.read();
    reply.activity = this->activity.takeChangesFor(request.instance, request.failureDomain, *index,
                                                   isSameProcess && !request.isNewSource
                                                       ? ActivityBlackboard::Baseline::LastReply
                                                       : ActivityBlackboard::Baseline::Empty);
    auto const loads = this->publishedLoads.read();
    for (GroupLoad const &load : *loads) {
        if (load.group.failureDomain != request.failureDomain)
            reply.loads.push_back(load);
    }
    return reply;
}

void ViewServer::answerDue(Timestamp now)
{
    this->updateLeadership(now);
    std::vector<TargetNumber> const currentOverdue = *this->overdue.read();
    std::vector<WaitingRequest> due;
    {
        std::scoped_lock const lock(this->mutex);
        if (now < this->nextRound)
            return;
        std::erase_if(this->waitingRequests, [&](WaitingRequest &waitingRequest) {
            if (!this->isDue(waitingRequest, currentOverdue, now))
                return false;
            due.push_back(std::move(waitingRequest));
            return true;
        });
        if (due.size() > this->settings.maxEntriesWithoutPause)
            this->nextRound = now + due.size() * this->settings.roundTimePerEntry;
    }
    for (WaitingRequest const &waitingRequest : due) {
        bool const isSameProcess = waitingRequest.request.bootId == this->settings.bootId;
        auto const encoded =
            this->encodedChangesAfter(isSameProcess ? waitingRequest.request.registryGeneration : 0, now);
        auto const applied = this->log.applied();
        bool const hasNewer = applied->view.revision > waitingRequest.request.revision;
        ViewReply const reply = this->makeReply(waitingRequest.request, *encoded, currentOverdue, now);
        waitingRequest.respond(HttpResponse{
            .body = formatViewReply(reply,
                                    EncodedViewParts{.targets = encoded->targets,
                                                     .configuration = hasNewer
                                                         ? this->encodedConfiguration(applied->view)
                                                         : std::string()})});
    }
}

void ViewServer::answerAll(Timestamp now)
{
    {
        std::scoped_lock const lock(this->mutex);
        for (WaitingRequest &waitingRequest : this->waitingRequests)
            waitingRequest.deadline = now;
        this->nextRound = now;
    }
    this->answerDue(now);
}

} // namespace almondwing
