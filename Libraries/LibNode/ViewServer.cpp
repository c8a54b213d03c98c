// Implements answering entries.

#include <LibNode/ViewServer.h>

#include <algorithm>
#include <utility>

namespace almondwing {

namespace {

// A leader without a majority steps down within 400 ms, and its permits end 1 s after that.
constexpr Duration permitDelay = 2s;

// A part of the registry is told to many entries at about the same time, each of which takes the ages in it
// from when it arrives; so much older they may be.
constexpr Duration partLifetime = 100ms;

} // namespace

ViewServer::ViewServer(ViewServerSettings viewSettings, DocumentLog &documentLog,
                       TargetRegistry &targetRegistry, PeerDirectory &peerDirectory,
                       ActivityBoard &activityBoard)
    : settings(viewSettings), log(documentLog), registry(targetRegistry), directory(peerDirectory),
      activity(activityBoard)
{
}

void ViewServer::refresh(Timestamp now)
{
    std::vector<TargetNumber> silent = this->registry.overdue(now);
    if (silent != *this->overdue.read())
        this->overdue.update([&silent](auto const &) { return silent; });
    std::uint64_t const generation = this->registry.changeGeneration();
    if (this->placesGeneration.exchange(generation) != generation)
        this->tokenPlacesNow.update(
            [next = tokenPlaces(this->registry)](TokenPlaces const &) { return next; });
    this->activity.removeExpired(now);
    auto const places = this->tokenPlacesNow.read();
    this->ownFlowsNow.update([next = this->activity.ownFlows(*places)](auto const &) { return next; });
    this->loadsNow.update([next = this->activity.loads(*places)](auto const &) { return next; });
}

void ViewServer::handle(ViewRequest request, HttpResponder respond, Timestamp now)
{
    if (request.activity)
        this->activity.reportEntry(request.instance, *request.activity, now);
    {
        std::scoped_lock const lock(this->mutex);
        this->waiting.push_back(Waiting{.request = std::move(request),
                                        .respond = std::move(respond),
                                        .deadline = now + this->settings.longestWait,
                                        .wasInContact = this->log.contact()->isInContact,
                                        .overdue = *this->overdue.read()});
    }
    this->answerDue(now);
}

bool ViewServer::isDue(Waiting const &entry, std::vector<TargetNumber> const &overdueNow, Timestamp now) const
{
    return now >= entry.deadline || entry.request.isNewSource || entry.request.boot != this->settings.boot
        || this->registry.changeGeneration() > entry.request.registryGeneration
        || this->log.applied()->view.revision > entry.request.revision
        || this->log.contact()->isInContact != entry.wasInContact || overdueNow != entry.overdue;
}

// Only the leader gives permits, and only after those of an earlier leader have ended.
bool ViewServer::mayOpenCold(std::string const &instance, Timestamp now) const
{
    auto const since = this->leadsSince.read();
    if (!since->has_value() || now - **since < permitDelay)
        return false;
    return this->activity.rankOf(instance) < this->settings.coldPermits;
}

void ViewServer::noteLeadership(Timestamp now)
{
    bool const leads = this->log.contact()->status.role == ReplicaRole::Leader;
    if (leads == this->leadsSince.read()->has_value())
        return;
    this->leadsSince.update(
        [&](auto const &) { return leads ? std::optional(now) : std::optional<Timestamp>(); });
}

std::shared_ptr<ViewServer::Part const> ViewServer::partAfter(std::uint64_t generation, Timestamp now)
{
    std::scoped_lock const lock(this->partsMutex);
    std::erase_if(this->parts, [&](auto const &entry) { return now - entry.second->madeAt > partLifetime; });
    auto const known = this->parts.find(generation);
    bool const isCurrent = known != this->parts.end()
        && (known->second->isTruncated || known->second->lastGeneration == this->registry.changeGeneration());
    if (isCurrent)
        return known->second;
    RegistryChanges const changes =
        this->registry.oldestChangesAfter(generation, this->settings.targetsInReply);
    auto part = std::make_shared<Part const>(
        Part{.targets = changes.targets.empty() ? std::string() : formatTargets(changes.targets, now),
             .lastGeneration = changes.lastGeneration,
             .isTruncated = changes.isTruncated,
             .madeAt = now});
    this->parts.insert_or_assign(generation, part);
    return part;
}

ViewReply ViewServer::replyTo(ViewRequest const &request, Part const &part,
                              std::vector<TargetNumber> overdueNow, Timestamp now)
{
    bool const isSameBoot = request.boot == this->settings.boot;
    ViewReply reply{.boot = this->settings.boot,
                    .registryGeneration = part.lastGeneration,
                    .extent = isSameBoot ? RegistryExtent::Difference : RegistryExtent::Full,
                    .isComplete =
                        !part.isTruncated && now - this->settings.startedAt >= this->settings.completeAfter,
                    .isInContact = this->log.contact()->isInContact,
                    .overdue = std::move(overdueNow)};
    if (auto const applied = this->log.applied(); applied->view.revision > request.revision)
        reply.configuration = applied->view;
    if (!isSameBoot || reply.configuration) {
        for (auto const &[endpoint, peer] : this->directory.peers())
            reply.controls.push_back(peer);
    }
    reply.mayOpenCold = this->mayOpenCold(request.instance, now);
    if (!request.activity)
        return reply;
    auto const tokens = this->tokenPlacesNow.read();
    reply.activity = this->activity.changesFor(
        request.instance, request.failureDomain, *tokens,
        isSameBoot && !request.isNewSource ? ActivityBoard::Told::Earlier : ActivityBoard::Told::Nothing);
    auto const loads = this->loadsNow.read();
    for (GroupLoad const &load : *loads) {
        if (load.group.failureDomain != request.failureDomain)
            reply.loads.push_back(load);
    }
    return reply;
}

void ViewServer::answerDue(Timestamp now)
{
    this->noteLeadership(now);
    std::vector<TargetNumber> const overdueNow = *this->overdue.read();
    std::vector<Waiting> due;
    {
        std::scoped_lock const lock(this->mutex);
        if (now < this->nextRound)
            return;
        std::erase_if(this->waiting, [&](Waiting &entry) {
            if (!this->isDue(entry, overdueNow, now))
                return false;
            due.push_back(std::move(entry));
            return true;
        });
        if (due.size() > this->settings.entriesWithoutPause)
            this->nextRound = now + due.size() * this->settings.roundTimeOfEntry;
    }
    for (Waiting const &entry : due) {
        bool const isSameBoot = entry.request.boot == this->settings.boot;
        auto const part = this->partAfter(isSameBoot ? entry.request.registryGeneration : 0, now);
        ViewReply const reply = this->replyTo(entry.request, *part, overdueNow, now);
        entry.respond(HttpResponse{.body = formatViewReply(reply, part->targets)});
    }
}

void ViewServer::answerAll(Timestamp now)
{
    {
        std::scoped_lock const lock(this->mutex);
        for (Waiting &entry : this->waiting)
            entry.deadline = now;
        this->nextRound = now;
    }
    this->answerDue(now);
}

} // namespace almondwing
