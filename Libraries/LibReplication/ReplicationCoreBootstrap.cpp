// Implements the bootstrap of a history, the admission of replicas and the handling of lost disks. The head
// comment of ReplicationCore.h explains the terms.

#include <LibReplication/ReplicationCore.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace almondwing {

namespace {

constexpr std::size_t maxVoters = 7;
constexpr LogIndex bootstrapIndex = 1;
constexpr Term bootstrapTerm = 1;
// Join intervals until a replaced disk no longer counts. Its replica asks to join once per interval.
constexpr int replacedDiskExpiryIntervals = 5;
// A learner is dropped after this many maximum election timeouts without a reply.
constexpr int learnerExpiryTimeouts = 10;

std::vector<Replica> withoutReplica(std::vector<Replica> voters, ReplicaId id)
{
    std::erase_if(voters, [id](Replica const &voter) { return voter.id == id; });
    return voters;
}

} // namespace

// The coordinator is the instance of the settings whose name sorts first. There is only one, so that two
// bootstraps never compete.
bool ReplicationCore::isCoordinator() const
{
    return !this->settings.controlInstances.empty()
        && this->self.instance == this->settings.controlInstances.front();
}

void ReplicationCore::tickJoining(Timestamp now)
{
    if (now < this->nextJoin)
        return;
    this->nextJoin = now + this->settings.joinInterval;
    if (this->isEmpty() && this->isCoordinator())
        this->sendBootstrapQueries();
    for (std::string const &instance : this->instancesToAsk()) {
        if (instance != this->self.instance)
            this->send(Replica{.id = {}, .instance = instance},
                       JoinRequest{.lastIndex = this->log.lastIndex()});
    }
}

// The instances that get a JoinRequest. With VoterAdmission::AnyInstance all instances of the settings may
// have been replaced, so the voters and the known instances are asked too.
std::set<std::string> ReplicationCore::instancesToAsk() const
{
    std::set<std::string> instances(this->settings.controlInstances.begin(),
                                    this->settings.controlInstances.end());
    if (this->settings.admission == VoterAdmission::ListedInstances)
        return instances;
    for (Replica const &voter : this->log.voters())
        instances.insert(voter.instance);
    for (std::string &instance : this->hooks.knownInstances())
        instances.insert(std::move(instance));
    return instances;
}

void ReplicationCore::sendBootstrapQueries()
{
    this->bootstrapAttempt = this->hooks.random();
    this->emptyInstances = {{this->self.instance, this->self}};
    HardState next = this->hardState;
    next.promisedCoordinator = this->self.id;
    if (!this->saveHardState(next))
        return;
    for (std::string const &instance : this->settings.controlInstances) {
        if (instance != this->self.instance)
            this->send(Replica{.id = {}, .instance = instance},
                       BootstrapQuery{.attempt = this->bootstrapAttempt,
                                      .instances = this->settings.controlInstances});
    }
    this->bootstrapIfAllEmpty();
}

void ReplicationCore::handle(ReplicaEnvelope const &envelope, BootstrapQuery const &query, Timestamp)
{
    BootstrapReply reply{.attempt = query.attempt, .verdict = BootstrapVerdict::Empty};
    if (!this->isEmpty())
        reply.verdict = BootstrapVerdict::HasHistory;
    else if (query.instances != this->settings.controlInstances || query.instances.empty()
             || query.instances.front() != envelope.from.instance)
        reply.verdict = BootstrapVerdict::OtherSettings;
    if (reply.verdict == BootstrapVerdict::Empty) {
        HardState next = this->hardState;
        next.promisedCoordinator = envelope.from.id;
        if (!this->saveHardState(next))
            return;
    }
    this->send(envelope.from, reply);
}

void ReplicationCore::handle(ReplicaEnvelope const &envelope, BootstrapReply const &reply, Timestamp)
{
    if (!this->isEmpty() || this->bootstrapAttempt == 0 || reply.attempt != this->bootstrapAttempt
        || !this->isCoordinator() || !this->isControlInstance(envelope.from.instance)
        || envelope.from.instance == this->self.instance)
        return;
    if (reply.verdict == BootstrapVerdict::Empty) {
        this->emptyInstances[envelope.from.instance] = envelope.from;
        this->bootstrapIfAllEmpty();
        return;
    }
    this->bootstrapAttempt = 0;
    std::string refusal = reply.verdict == BootstrapVerdict::HasHistory
        ? fmt::format("{} already has a history; this replica only joins it", envelope.from.instance)
        : fmt::format("the settings of {} list other control instances", envelope.from.instance);
    if (refusal != std::exchange(this->reportedRefusal, refusal))
        this->hooks.report(Event::BootstrapRefused, refusal);
}

void ReplicationCore::bootstrapIfAllEmpty()
{
    if (this->emptyInstances.size() < this->settings.controlInstances.size())
        return;
    if (!this->hooks.mayBootstrap()) {
        std::string const refusal =
            "every control instance is empty, but this instance may not begin a new history";
        if (refusal != std::exchange(this->reportedRefusal, refusal))
            this->hooks.report(Event::BootstrapRefused, refusal);
        return;
    }
    std::vector<Replica> voters;
    for (auto const &[instance, replica] : this->emptyInstances)
        voters.push_back(replica);
    HistoryId const history{this->hooks.random() | 1U}; // Never none.
    if (!this->beginHistory(history, voters))
        return;
    this->hooks.report(Event::BootstrapCompleted,
                       fmt::format("history {:016x} begins with {} voters", history.value, voters.size()));
    for (Replica const &voter : voters) {
        if (voter.id != this->self.id)
            this->send(voter, BootstrapCommand{.origin = BootstrapOrigin::Coordinator, .voters = voters});
    }
}

// The entry is stored before the history, because a history without its first entry could block every later
// bootstrap.
bool ReplicationCore::beginHistory(HistoryId history, std::vector<Replica> const &voters)
{
    if (!voters.empty()) {
        LogEntry const entry{.index = bootstrapIndex,
                             .term = bootstrapTerm,
                             .kind = EntryKind::Membership,
                             .payload = {},
                             .voters = voters};
        std::span<LogEntry const> const entries(&entry, 1);
        if (!this->failUnlessOk(this->storage.replaceFrom(entries)))
            return false;
        this->log.replaceFrom(entries);
    }
    return this->saveHardState(
        HardState{.history = history, .term = bootstrapTerm, .vote = {}, .promisedCoordinator = {}});
}

void ReplicationCore::handle(ReplicaEnvelope const &envelope, BootstrapCommand const &command, Timestamp now)
{
    if (!this->isEmpty() || envelope.history.isNone())
        return;
    if (command.origin == BootstrapOrigin::Coordinator
        && envelope.from.id != this->hardState.promisedCoordinator)
        return;
    bool const namesSelf =
        std::ranges::find(command.voters, this->self.id, &Replica::id) != command.voters.end();
    if (!command.voters.empty() && !namesSelf)
        return;
    if (this->beginHistory(envelope.history, command.voters))
        this->resetElectionDeadline(now);
}

void ReplicationCore::handle(ReplicaEnvelope const &envelope, JoinRequest const &, Timestamp now)
{
    if (this->isEmpty() || !this->mayJoin(envelope.from.instance))
        return;
    if (!this->isVoter(envelope.from.id)) {
        this->recordReplacedDisk(envelope.from, now);
        if (this->role == ReplicaRole::Leader && this->progressOf(envelope.from.id) == nullptr)
            this->addProgress(envelope.from, now);
        return;
    }
    // A replica on a wiped disk would have a new id, so a voter without a history only missed the bootstrap.
    if (envelope.history.isNone())
        this->send(envelope.from,
                   BootstrapCommand{.origin = BootstrapOrigin::Member,
                                    .voters = this->log.contains(bootstrapIndex)
                                        ? this->log.at(bootstrapIndex).voters
                                        : std::vector<Replica>{}});
}

void ReplicationCore::recordReplacedDisk(Replica const &replica, Timestamp now)
{
    auto const &voters = this->log.voters();
    if (std::ranges::find(voters, replica.instance, &Replica::instance) == voters.end())
        return;
    this->replacedDisks[replica.instance] = now;
    if (this->majorityDisks == MajorityDisks::Lost
        || this->replacedDisks.size() + this->majority() <= voters.size())
        return;
    this->majorityDisks = MajorityDisks::Lost;
    this->hooks.report(
        Event::MajorityOfDisksLost,
        fmt::format("{} of {} voters returned with an empty or different disk; changes are refused",
                    this->replacedDisks.size(), voters.size()));
}

void ReplicationCore::expireReplacedDisks(Timestamp now)
{
    auto const isVoterInstance = [this](std::string const &instance) {
        return std::ranges::find(this->log.voters(), instance, &Replica::instance)
            != this->log.voters().end();
    };
    std::erase_if(this->replacedDisks, [&](auto const &entry) {
        return now - entry.second > replacedDiskExpiryIntervals * this->settings.joinInterval
            || !isVoterInstance(entry.first);
    });
    if (this->replacedDisks.size() + this->majority() <= this->log.voters().size()
        || this->log.voters().empty())
        this->majorityDisks = MajorityDisks::Present;
}

// A replica is replaced by two membership entries, one for its removal and one for the addition. With a
// single entry, the majorities before and after it could be disjoint if the old disk came back.
void ReplicationCore::changeMembership(Timestamp now)
{
    if (this->role != ReplicaRole::Leader || this->commitIndex < this->termStart
        || this->log.lastMembershipIndex() > this->commitIndex)
        return;
    std::erase_if(this->followers, [&](auto const &entry) {
        return !this->isVoter(entry.first)
            && now - entry.second.lastReplyAt > learnerExpiryTimeouts * this->settings.maxElectionTimeout;
    });
    for (auto const &[id, progress] : this->followers) {
        bool const isCaughtUp = progress.matchIndex >= this->commitIndex
            && now - progress.lastReplyAt < this->settings.minElectionTimeout;
        if (!this->isVoter(id) && isCaughtUp && this->proposeAdmission(Replica(progress.replica), now))
            return;
    }
    // Of an even number of voters, removing a silent one lowers the majority, so that more losses among the
    // responding voters are tolerated. Of an odd number, the majority would stay the same, and fewer disks
    // could be lost: the disk of the removed voter no longer counts when it returns.
    if (this->log.voters().size() % 2 != 0)
        return;
    if (std::optional<Replica> const silent = this->silentVoter(now))
        this->removeVoter(*silent, now);
}

// Whether the other voters keep a majority without this one, even if one more of them is lost. Otherwise the
// silent voter must stay, because it may return with its disk. Example: of five voters, two have lost their
// disks and a third is down. Without the third, only two of the remaining four would respond, which is no
// majority.
bool ReplicationCore::isSafeToRemove(Replica const &voter, Timestamp now) const
{
    std::vector<Replica> const others = withoutReplica(this->log.voters(), voter.id);
    auto const responding = std::ranges::count_if(others, [&](Replica const &other) {
        auto const progress = this->followers.find(other.id);
        return other.id == this->self.id
            || (progress != this->followers.end()
                && now - progress->second.lastReplyAt < this->settings.minElectionTimeout);
    });
    return static_cast<std::size_t>(responding) > others.size() / 2 + 1;
}

// With VoterAdmission::AnyInstance, a voter that sent no reply within the removal timeout and can be removed
// safely. A new leader finds none, because the timeout begins with its election.
std::optional<Replica> ReplicationCore::silentVoter(Timestamp now) const
{
    if (this->settings.admission == VoterAdmission::ListedInstances)
        return std::nullopt;
    for (Replica const &voter : this->log.voters()) {
        auto const progress = this->followers.find(voter.id);
        if (voter.id != this->self.id && progress != this->followers.end()
            && now - progress->second.lastReplyAt > this->settings.voterRemovalTimeout
            && this->isSafeToRemove(voter, now))
            return voter;
    }
    return std::nullopt;
}

// The voter that a learner replaces: the one with the same instance name, otherwise a silent voter, because
// the learner most likely runs on the replacement of its machine.
std::optional<Replica> ReplicationCore::voterToReplace(Replica const &learner, Timestamp now) const
{
    auto const &voters = this->log.voters();
    auto const sameName = std::ranges::find(voters, learner.instance, &Replica::instance);
    if (sameName != voters.end())
        return *sameName;
    return this->silentVoter(now);
}

// Proposes the next membership entry that admits the learner: the removal of the voter that it replaces, or
// its addition. Returns whether an entry was proposed.
bool ReplicationCore::proposeAdmission(Replica const &learner, Timestamp now)
{
    std::vector<Replica> voters = this->log.voters();
    std::optional<Replica> const old = this->voterToReplace(learner, now);
    if (!old) {
        if (voters.size() >= maxVoters)
            return false;
        voters.push_back(learner);
        this->appendAsLeader(LogEntry{.kind = EntryKind::Membership, .voters = std::move(voters)}, now);
        return true;
    }
    FollowerProgress const *const progress = this->progressOf(old->id);
    bool const isOldResponding =
        progress == nullptr || now - progress->lastReplyAt < this->settings.minElectionTimeout;
    if (isOldResponding) {
        this->reportOnce(
            learner.id, Event::DuplicateInstance,
            fmt::format("two replicas use the instance name {}; the new one, {:016x}, is not admitted",
                        learner.instance, learner.id.value));
        return false;
    }
    return this->removeVoter(*old, now);
}

bool ReplicationCore::removeVoter(Replica const &voter, Timestamp now)
{
    this->followers.erase(voter.id);
    this->appendAsLeader(
        LogEntry{.kind = EntryKind::Membership, .voters = withoutReplica(this->log.voters(), voter.id)}, now);
    return true;
}

} // namespace almondwing
