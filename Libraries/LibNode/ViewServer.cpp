// Implements answering entries.

#include <LibNode/ViewServer.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace almondwing {

namespace {

// A leader without a majority steps down within 400 ms, and its permits end 1 s after that.
constexpr Duration permitDelay = 2s;

// Keeps the given number of changes, those of the oldest generations, and what else has the last of these
// generations, so that the next answer goes on after it. Returns whether some were cut.
bool cutToOldest(std::vector<RegistryEntry> &changes, std::size_t count)
{
    if (changes.size() <= count)
        return false;
    std::ranges::sort(changes, {}, &RegistryEntry::changeGeneration);
    auto end = changes.begin() + static_cast<std::ptrdiff_t>(count);
    std::uint64_t const last = std::prev(end)->changeGeneration;
    while (end != changes.end() && end->changeGeneration == last)
        ++end;
    bool const isCut = end != changes.end();
    changes.erase(end, changes.end());
    return isCut;
}

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
    this->activity.forgetOld(now);
    auto const places = this->tokenPlacesNow.read();
    this->ownFlowsNow.update([next = this->activity.ownFlows(*places)](auto const &) { return next; });
    this->loadsNow.update([next = this->activity.loads(*places)](auto const &) { return next; });
}

void ViewServer::handle(ViewRequest request, HttpRespond respond, Timestamp now)
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

ViewReply ViewServer::replyTo(ViewRequest const &request, std::vector<TargetNumber> overdueNow, Timestamp now)
{
    bool const isSameBoot = request.boot == this->settings.boot;
    ViewReply reply{.boot = this->settings.boot,
                    .registryGeneration = this->registry.changeGeneration(),
                    .extent = isSameBoot ? RegistryExtent::Difference : RegistryExtent::Full,
                    .isComplete = now - this->settings.startedAt >= this->settings.completeAfter,
                    .isInContact = this->log.contact()->isInContact,
                    .overdue = std::move(overdueNow)};
    std::vector<RegistryEntry> changes =
        this->registry.changedAfter(isSameBoot ? request.registryGeneration : 0);
    if (cutToOldest(changes, this->settings.targetsInReply)) {
        reply.registryGeneration = changes.back().changeGeneration;
        reply.isComplete = false;
    }
    for (RegistryEntry &entry : changes)
        reply.targets.push_back(std::move(entry.target));
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
        ViewReply const reply = this->replyTo(entry.request, overdueNow, now);
        entry.respond(HttpResponse{.body = formatViewReply(reply, now)});
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
