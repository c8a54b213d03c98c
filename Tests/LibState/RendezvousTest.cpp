// Tests of the choice of dispatchers and replica groups by rendezvous hashing.

#include <LibState/Rendezvous.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace almondwing {

namespace {

std::string const domain = "zvolen";

// Instances with distinct ids, about two thirds of which are in the failure domain.
std::vector<MemberRecord> anyMembers()
{
    auto const ids =
        *rc::gen::unique<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 1'000'000));
    std::vector<MemberRecord> members;
    members.reserve(ids.size());
    for (std::uint64_t const id : ids)
        members.push_back(MemberRecord{.id = InstanceId{id},
                                       .failureDomain = *rc::gen::inRange(0, 3) > 0 ? domain : "banska",
                                       .state = static_cast<MemberState>(*rc::gen::inRange(0, 4))});
    return members;
}

TargetId anyTarget()
{
    return TargetId{*rc::gen::arbitrary<std::uint64_t>()};
}

// Returns the members in reverse order, rotated by a random number.
std::vector<MemberRecord> reordered(std::vector<MemberRecord> members)
{
    std::ranges::reverse(members);
    auto const first = *rc::gen::inRange<std::size_t>(0, members.size() + 1);
    std::rotate(members.begin(), members.begin() + static_cast<std::ptrdiff_t>(first), members.end());
    return members;
}

bool canDispatch(MemberRecord const &member)
{
    return member.failureDomain == domain
        && (member.state == MemberState::Alive || member.state == MemberState::Suspect);
}

std::vector<MemberRecord> withoutMember(std::vector<MemberRecord> members, InstanceId removed)
{
    std::erase_if(members, [removed](MemberRecord const &member) { return member.id == removed; });
    return members;
}

} // namespace

class RendezvousTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RendezvousTest);
    CPPUNIT_TEST(orderOfMembersHasNoEffect);
    CPPUNIT_TEST(dispatcherIsTheHighestRanked);
    CPPUNIT_TEST(removalMovesOnlyOwnTargets);
    CPPUNIT_TEST(replicaGroupIgnoresLiveness);
    CPPUNIT_TEST(newInstanceReplacesAtMostOneMember);
    CPPUNIT_TEST(targetsAreSpreadEvenly);
    CPPUNIT_TEST_SUITE_END();

    // Guards against two dispatchers of one target at instances that received the members in different
    // orders.
    void orderOfMembersHasNoEffect()
    {
        CPPUNIT_ASSERT(rc::check("choices do not depend on the order of members", [] {
            auto const members = anyMembers();
            auto const others = reordered(members);
            TargetId const target = anyTarget();
            RC_ASSERT(chooseDispatcher(target, domain, members) == chooseDispatcher(target, domain, others));
            RC_ASSERT(chooseReplicaGroup(target, domain, members)
                      == chooseReplicaGroup(target, domain, others));
        }));
    }

    // Guards against a dispatcher that is leaving, dead, in another failure domain or not the highest ranked.
    // At a handover, the next in rank receives the records.
    void dispatcherIsTheHighestRanked()
    {
        CPPUNIT_ASSERT(rc::check("the dispatcher is the highest ranked that can dispatch", [] {
            auto const members = anyMembers();
            TargetId const target = anyTarget();
            std::vector<InstanceId> eligible;
            for (MemberRecord const &member : members) {
                if (canDispatch(member))
                    eligible.push_back(member.id);
            }
            auto const ranked = rankInstances(target, eligible);
            RC_ASSERT(chooseDispatcher(target, domain, members)
                      == (ranked.empty() ? InstanceId{} : ranked.front()));
            RC_ASSERT(std::ranges::is_permutation(ranked, eligible));
        }));
    }

    // Guards against a lost instance that changes the dispatcher of targets of other instances, whose flows
    // would then need a takeover.
    void removalMovesOnlyOwnTargets()
    {
        CPPUNIT_ASSERT(rc::check("removal of an instance moves only its own targets", [] {
            auto const members = anyMembers();
            TargetId const target = anyTarget();
            InstanceId const before = chooseDispatcher(target, domain, members);
            for (MemberRecord const &member : members) {
                InstanceId const after = chooseDispatcher(target, domain, withoutMember(members, member.id));
                RC_ASSERT((member.id == before) == (after != before));
            }
        }));
    }

    // Guards against a group that changes while an instance is down: a quorum of the new group could then
    // miss records that a quorum of the old group has, and a request could run twice.
    void replicaGroupIgnoresLiveness()
    {
        CPPUNIT_ASSERT(rc::check("the replica group ignores liveness", [] {
            auto members = anyMembers();
            TargetId const target = anyTarget();
            auto const group = chooseReplicaGroup(target, domain, members);
            auto const inDomain =
                static_cast<std::size_t>(std::ranges::count(members, domain, &MemberRecord::failureDomain));
            RC_ASSERT(group.size() == std::min(inDomain, replicaGroupSize));
            for (MemberRecord &member : members)
                member.state = static_cast<MemberState>(*rc::gen::inRange(0, 4));
            RC_ASSERT(chooseReplicaGroup(target, domain, members) == group);
        }));
    }

    // Guards against a join that replaces two members of a group, whose old and new quorums then need not
    // intersect.
    void newInstanceReplacesAtMostOneMember()
    {
        CPPUNIT_ASSERT(rc::check("a new instance replaces at most one member of the group", [] {
            auto members = anyMembers();
            TargetId const target = anyTarget();
            auto const before = chooseReplicaGroup(target, domain, members);
            InstanceId const added{*rc::gen::inRange<std::uint64_t>(1'000'000, 2'000'000)};
            members.push_back(MemberRecord{.id = added, .failureDomain = domain});
            auto after = chooseReplicaGroup(target, domain, members);
            std::erase(after, added);
            RC_ASSERT(after.size() + 1 >= before.size());
            RC_ASSERT(std::ranges::equal(after, std::span(before).first(after.size())));
        }));
    }

    // Guards against instances that dispatch far more targets than others. The bound is five standard
    // deviations of a binomial distribution: with 4,500 targets over 9 instances the mean is 500 and the
    // standard deviation is 21.
    void targetsAreSpreadEvenly()
    {
        constexpr int targetCount = 4500;
        constexpr int maxDeviation = 106;
        std::vector<MemberRecord> members(9);
        for (std::size_t index = 0; index < members.size(); ++index) {
            members[index].id = InstanceId::fromName("zvolen-" + std::to_string(index));
            members[index].failureDomain = domain;
        }
        std::map<InstanceId, int> counts;
        for (int index = 0; index < targetCount; ++index)
            ++counts[chooseDispatcher(TargetId::fromName("cab-" + std::to_string(index)), domain, members)];
        CPPUNIT_ASSERT_EQUAL(members.size(), counts.size());
        int const mean = targetCount / static_cast<int>(members.size());
        for (auto const &[instance, count] : counts)
            CPPUNIT_ASSERT(std::abs(count - mean) <= maxDeviation);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RendezvousTest);

} // namespace almondwing
