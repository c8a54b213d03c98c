// Tests of the decision for each packet.

#include "TokenFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace almondwing {

class TokenRouterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TokenRouterTest);
    CPPUNIT_TEST(openedFlowStaysWithItsTargetOnAnyInstance);
    CPPUNIT_TEST(repeatedOpenGoesToTheSameLivingTarget);
    CPPUNIT_TEST(repeatedOpenLeavesASilentTarget);
    CPPUNIT_TEST(newFlowOfAReusedPortIsPlacedAnew);
    CPPUNIT_TEST(unknownTokenIsHeldAndNeverGuessed);
    CPPUNIT_TEST(nothingIsDecidedWithoutConfiguration);
    CPPUNIT_TEST(flowWithoutRouteIsReset);
    CPPUNIT_TEST(openWithoutTargetIsResetAtOnce);
    CPPUNIT_TEST(openWaitsWhileTheRegistryIsIncomplete);
    CPPUNIT_TEST(drainingTargetKeepsItsFlowsAndGetsNoNewOnes);
    CPPUNIT_TEST(flowsOfAnEndedTargetAreReset);
    CPPUNIT_TEST(takenOutDomainGetsNoNewFlows);
    CPPUNIT_TEST(foreignPacketIsDropped);
    CPPUNIT_TEST(establishedFlowIsReportedOnce);
    CPPUNIT_TEST(unansweredDataMakesATargetSuspect);
    CPPUNIT_TEST(repeatedDataOfAnActiveTargetIsNoSuspicion);
    CPPUNIT_TEST(refusalResetsFlowsForAShortTimeOnly);
    CPPUNIT_TEST(lifeEndsARefusal);
    CPPUNIT_TEST(waitingFlowsOfAnUnreachableTargetAreResetAtOnce);
    CPPUNIT_TEST(silentCheckCountsOnlyWhenSeveralFlowsAreUnanswered);
    CPPUNIT_TEST(silenceOfATargetWithoutHeartbeatsCountsAtOnce);
    CPPUNIT_TEST(targetWithoutHeartbeatsThatAnswersCallersIsNotChecked);
    CPPUNIT_TEST(heartbeatsAreDoubtedWhenHalfOfAllHaveStopped);
    CPPUNIT_TEST(everyCopyOfAnOpenChoosesTheSameService);
    CPPUNIT_TEST_SUITE_END();

    TokenFixture fixture;

    template<typename Kind>
    static bool is(PacketDecision const &decision)
    {
        return std::holds_alternative<Kind>(decision);
    }

    // Guards against per-flow state: an instance that never saw the flow sends its packets to the same
    // target.
    void openedFlowStaysWithItsTargetOnAnyInstance()
    {
        std::vector const targets{testTarget(1, "dar-a"), testTarget(2, "dar-a"), testTarget(3, "dar-b")};
        this->fixture.show(targets);
        TokenFixture other;
        other.show(targets);
        for (std::uint16_t port = 1; port <= 200; ++port) {
            PacketDecision const opened = this->fixture.decide(openPacket(port));
            CPPUNIT_ASSERT(is<ForwardPacket>(opened));
            TargetToken const token = std::get<ForwardPacket>(opened).token;
            CPPUNIT_ASSERT(other.decide(dataPacket(port, token, 1001, 1)) == opened);
        }
    }

    void repeatedOpenGoesToTheSameLivingTarget()
    {
        this->fixture.show({testTarget(1, "dar-a"), testTarget(2, "dar-a")});
        PacketDecision const first = this->fixture.decide(openPacket(1));
        TargetToken const token = std::get<ForwardPacket>(first).token;
        // Another flow shows that the target answers.
        this->fixture.now += 100ms;
        this->fixture.decide(dataPacket(2, token, 1001, 1));
        this->fixture.now += 10ms;
        this->fixture.decide(dataPacket(2, token, 1101, 500));
        this->fixture.now += 90ms;
        CPPUNIT_ASSERT(this->fixture.decide(openPacket(1, 1)) == first);
    }

    void repeatedOpenLeavesASilentTarget()
    {
        this->fixture.show({testTarget(1, "dar-a"), testTarget(2, "dar-a")});
        TargetNumber const first = this->fixture.targetOf(this->fixture.decide(openPacket(1)));
        this->fixture.now += 200ms;
        TargetNumber const second = this->fixture.targetOf(this->fixture.decide(openPacket(1, 1)));
        CPPUNIT_ASSERT(!second.isNone() && second != first);
        CPPUNIT_ASSERT(this->fixture.checked == std::vector{first});
    }

    // Guards against a new flow that goes to a draining target because its caller used the port before.
    void newFlowOfAReusedPortIsPlacedAnew()
    {
        RegisteredTarget const other = testTarget(2, "dar-a");
        RegisteredTarget draining = testTarget(1, "dar-a");
        this->fixture.show({draining});
        PacketDecision const opened = this->fixture.decide(openPacket(1));
        TargetToken const token = std::get<ForwardPacket>(opened).token;
        this->fixture.decide(dataPacket(1, token, 1001, 1));
        draining.state = RegisteredState::Draining;
        this->fixture.show({draining, other});
        this->fixture.now += 10s;
        // A late copy of the opening packet belongs to the flow that is open.
        CPPUNIT_ASSERT(this->fixture.targetOf(this->fixture.decide(openPacket(1, 1))) == draining.number);
        FlowPacket next = openPacket(1);
        next.sequence = 777'000;
        CPPUNIT_ASSERT(this->fixture.targetOf(this->fixture.decide(next)) == other.number);
    }

    // Guards against a packet of one service at a target of another while the registry is behind.
    void unknownTokenIsHeldAndNeverGuessed()
    {
        this->fixture.show({testTarget(1, "dar-a")});
        PacketDecision const decision =
            this->fixture.decide(dataPacket(1, tokenOf(TargetNumber{9}), 1001, 1));
        CPPUNIT_ASSERT(is<HoldPacket>(decision));
        this->fixture.show({testTarget(1, "dar-a"), testTarget(9, "dar-a")});
        CPPUNIT_ASSERT(
            this->fixture.targetOf(this->fixture.decide(dataPacket(1, tokenOf(TargetNumber{9}), 1001, 1)))
            == TargetNumber{9});
    }

    void nothingIsDecidedWithoutConfiguration()
    {
        CPPUNIT_ASSERT(is<HoldPacket>(this->fixture.decide(openPacket(1))));
    }

    void flowWithoutRouteIsReset()
    {
        this->fixture.show({testTarget(1, "dar-a")});
        FlowPacket packet = openPacket(1);
        packet.flow.service = otherAddress;
        CPPUNIT_ASSERT(this->fixture.decide(packet) == PacketDecision(ResetFlow{ResetReason::NoRoute}));
    }

    void openWithoutTargetIsResetAtOnce()
    {
        this->fixture.show({});
        CPPUNIT_ASSERT(this->fixture.decide(openPacket(1))
                       == PacketDecision(ResetFlow{ResetReason::NoTarget}));
    }

    // Guards against refusals after a start of everything, before the targets have sent a heartbeat.
    void openWaitsWhileTheRegistryIsIncomplete()
    {
        this->fixture.show({}, {}, false);
        CPPUNIT_ASSERT(is<HoldPacket>(this->fixture.decide(openPacket(1))));
    }

    void drainingTargetKeepsItsFlowsAndGetsNoNewOnes()
    {
        RegisteredTarget draining = testTarget(1, "dar-a");
        draining.state = RegisteredState::Draining;
        this->fixture.show({draining, testTarget(2, "dar-b")});
        for (std::uint16_t port = 1; port <= 50; ++port)
            CPPUNIT_ASSERT(this->fixture.targetOf(this->fixture.decide(openPacket(port))) == TargetNumber{2});
        CPPUNIT_ASSERT(
            this->fixture.targetOf(this->fixture.decide(dataPacket(99, tokenOf(TargetNumber{1}), 1001, 1)))
            == TargetNumber{1});
    }

    void flowsOfAnEndedTargetAreReset()
    {
        RegisteredTarget ended = testTarget(1, "dar-a");
        ended.state = RegisteredState::Gone;
        this->fixture.show({ended, testTarget(2, "dar-a")});
        CPPUNIT_ASSERT(this->fixture.decide(dataPacket(1, tokenOf(TargetNumber{1}), 1001, 1))
                       == PacketDecision(ResetFlow{ResetReason::TargetEnded}));
    }

    void takenOutDomainGetsNoNewFlows()
    {
        this->fixture.show({testTarget(1, "dar-a"), testTarget(2, "dar-b")}, {"dar-a"});
        for (std::uint16_t port = 1; port <= 50; ++port)
            CPPUNIT_ASSERT(this->fixture.targetOf(this->fixture.decide(openPacket(port))) == TargetNumber{2});
    }

    void foreignPacketIsDropped()
    {
        this->fixture.show({testTarget(1, "dar-a")});
        FlowPacket packet = openPacket(1);
        packet.kind = PacketKind::Foreign;
        CPPUNIT_ASSERT(is<DropPacket>(this->fixture.decide(packet)));
    }

    void establishedFlowIsReportedOnce()
    {
        this->fixture.show({testTarget(1, "dar-a")});
        this->fixture.decide(openPacket(1));
        this->fixture.now += 7ms;
        this->fixture.decide(dataPacket(1, tokenOf(TargetNumber{1}), 1001, 1));
        this->fixture.decide(dataPacket(1, tokenOf(TargetNumber{1}), 1101, 300));
        CPPUNIT_ASSERT(this->fixture.established == std::vector<Duration>{7ms});
    }

    // A target that answered others a moment ago answers nobody since the packet was sent first.
    void unansweredDataMakesATargetSuspect()
    {
        this->fixture.show({testTarget(1, "dar-a"), testTarget(2, "dar-a")});
        TargetToken const token = tokenOf(TargetNumber{1});
        this->fixture.decide(dataPacket(1, token, 1001, 1));
        this->fixture.now += 50ms;
        this->fixture.decide(dataPacket(1, token, 1101, 300)); // It answered the first packet.
        this->fixture.now += 100ms;
        this->fixture.decide(dataPacket(1, token, 1201, 300));
        this->fixture.now += 200ms;
        this->fixture.decide(dataPacket(1, token, 1201, 300));
        CPPUNIT_ASSERT(this->fixture.checked == std::vector{TargetNumber{1}});
        for (std::uint16_t port = 10; port <= 50; ++port)
            CPPUNIT_ASSERT(this->fixture.targetOf(this->fixture.decide(openPacket(port))) == TargetNumber{2});
    }

    // Guards against checks and moves because of a slow request.
    void repeatedDataOfAnActiveTargetIsNoSuspicion()
    {
        this->fixture.show({testTarget(1, "dar-a"), testTarget(2, "dar-a")});
        TargetToken const token = tokenOf(TargetNumber{1});
        this->fixture.decide(dataPacket(1, token, 1001, 1));
        this->fixture.decide(dataPacket(2, token, 1001, 1));
        this->fixture.now += 100ms;
        this->fixture.decide(dataPacket(2, token, 1101, 300));
        this->fixture.now += 100ms;
        this->fixture.decide(dataPacket(1, token, 1001, 1));
        CPPUNIT_ASSERT(this->fixture.checked.empty());
    }

    // Guards against the reset of a living target's flow after the link that refused has healed.
    void refusalResetsFlowsForAShortTimeOnly()
    {
        this->fixture.show({testTarget(1, "dar-a"), testTarget(2, "dar-a")});
        TargetToken const token = tokenOf(TargetNumber{1});
        this->fixture.decide(dataPacket(1, token, 1001, 1));
        this->fixture.now += 200ms;
        this->fixture.router.recordCheckResult(token, CheckResult::Refused, this->fixture.now);
        this->fixture.now += 100ms;
        CPPUNIT_ASSERT(is<ResetFlow>(this->fixture.decide(dataPacket(1, token, 1001, 1))));
        CPPUNIT_ASSERT(this->fixture.targetOf(this->fixture.decide(openPacket(7))) == TargetNumber{2});
        this->fixture.now += PassiveHealthSettings{}.unreachable;
        CPPUNIT_ASSERT(is<ForwardPacket>(this->fixture.decide(dataPacket(1, token, 1001, 1))));
    }

    // A caller whose deadline is shorter than its second repeat learns of the end in time to ask elsewhere.
    // Idle flows stay: the link may heal.
    void waitingFlowsOfAnUnreachableTargetAreResetAtOnce()
    {
        this->fixture.show({testTarget(1, "dar-a"), testTarget(2, "dar-a")});
        TargetToken const token = tokenOf(TargetNumber{1});
        for (std::uint16_t port = 1; port <= 3; ++port)
            this->fixture.decide(dataPacket(port, token, 1001, 1));
        this->fixture.now += 20ms;
        for (std::uint16_t port = 1; port <= 3; ++port)
            this->fixture.decide(dataPacket(port, token, 1101, 300));
        this->fixture.now += 20ms;
        FlowPacket answered = dataPacket(3, token, 1201, 600);
        answered.length = 0; // Only acknowledges.
        this->fixture.decide(answered);
        this->fixture.now += 20ms;
        FlowPacket const waiting = dataPacket(1, token, 1201, 300);
        this->fixture.decide(waiting);
        auto const reset =
            this->fixture.router.recordCheckResult(token, CheckResult::Refused, this->fixture.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reset.size());
        CPPUNIT_ASSERT(reset[0].flow == waiting.flow);
        CPPUNIT_ASSERT_EQUAL(300U, reset[0].acknowledgement);
        CPPUNIT_ASSERT(
            this->fixture.router.recordCheckResult(token, CheckResult::Accepted, this->fixture.now).empty());
    }

    void lifeEndsARefusal()
    {
        this->fixture.show({testTarget(1, "dar-a"), testTarget(2, "dar-a")});
        TargetToken const token = tokenOf(TargetNumber{1});
        this->fixture.decide(dataPacket(1, token, 1001, 1));
        this->fixture.router.recordCheckResult(token, CheckResult::Refused, this->fixture.now);
        CPPUNIT_ASSERT(is<ForwardPacket>(this->fixture.decide(dataPacket(1, token, 1101, 300))));
        CPPUNIT_ASSERT(is<ForwardPacket>(this->fixture.decide(dataPacket(1, token, 1201, 300))));
    }

    // A cut between failure domains: the first repeats lead to a check, and from then on flows are reset at
    // their next packet. Guards against the same for a single packet that was lost.
    void silentCheckCountsOnlyWhenSeveralFlowsAreUnanswered()
    {
        this->fixture.show({testTarget(1, "dar-b"), testTarget(2, "dar-a")});
        TargetToken const token = tokenOf(TargetNumber{1});
        for (std::uint16_t port = 1; port <= 3; ++port)
            this->fixture.decide(dataPacket(port, token, 1001, 1));
        for (std::uint16_t port = 1; port <= 3; ++port)
            this->fixture.decide(dataPacket(port, token, 1101, 300)); // All were answered before.
        this->fixture.now += 10ms;
        this->fixture.decide(dataPacket(1, token, 1201, 300));
        this->fixture.decide(dataPacket(2, token, 1201, 300));
        this->fixture.now += 200ms;
        this->fixture.decide(dataPacket(1, token, 1201, 300));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->fixture.checked.size());
        this->fixture.router.recordCheckResult(token, CheckResult::Silent, this->fixture.now);
        CPPUNIT_ASSERT(is<ForwardPacket>(this->fixture.decide(dataPacket(3, token, 1201, 300))));
        this->fixture.decide(dataPacket(2, token, 1201, 300));
        this->fixture.router.recordCheckResult(token, CheckResult::Silent, this->fixture.now);
        CPPUNIT_ASSERT(this->fixture.decide(dataPacket(3, token, 1301, 300))
                       == PacketDecision(ResetFlow{ResetReason::TargetUnreachable}));
        this->fixture.router.recordCheckResult(token, CheckResult::Accepted, this->fixture.now);
        CPPUNIT_ASSERT(is<ForwardPacket>(this->fixture.decide(dataPacket(3, token, 1301, 300))));
    }

    // Guards against callers that wait until their deadline because a failure domain is without power and
    // each of its many targets has one flow here.
    void silenceOfATargetWithoutHeartbeatsCountsAtOnce()
    {
        std::vector const targets{testTarget(1, "dar-b"), testTarget(2, "dar-a"), testTarget(3, "dar-a")};
        this->fixture.show(targets);
        TargetToken const token = tokenOf(TargetNumber{1});
        this->fixture.decide(dataPacket(1, token, 1001, 1));
        this->fixture.decide(dataPacket(1, token, 1101, 300)); // Acknowledges an answer.
        this->fixture.now += PassiveHealthSettings{}.recentLife + 1ms;
        this->fixture.show(targets, {}, true, {TargetNumber{1}});
        FlowPacket const waiting = dataPacket(1, token, 1201, 300);
        CPPUNIT_ASSERT(is<ForwardPacket>(this->fixture.decide(waiting)));
        CPPUNIT_ASSERT(this->fixture.checked == std::vector{TargetNumber{1}});
        this->fixture.now += 120ms;
        auto const reset =
            this->fixture.router.recordCheckResult(token, CheckResult::Silent, this->fixture.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reset.size());
        CPPUNIT_ASSERT(reset[0].flow == waiting.flow);
    }

    // Guards against checks that cost a target work, and the reset of its flows, while only its path to the
    // control instances is cut.
    void targetWithoutHeartbeatsThatAnswersCallersIsNotChecked()
    {
        std::vector const targets{testTarget(1, "dar-a"), testTarget(2, "dar-a"), testTarget(3, "dar-a")};
        this->fixture.show(targets);
        TargetToken const token = tokenOf(TargetNumber{1});
        this->fixture.decide(dataPacket(1, token, 1001, 1));
        this->fixture.now += 10s;
        this->fixture.decide(dataPacket(1, token, 1101, 300)); // Acknowledges an answer.
        this->fixture.show(targets, {}, true, {TargetNumber{1}});
        this->fixture.now += 50ms;
        this->fixture.decide(dataPacket(1, token, 1201, 300));
        CPPUNIT_ASSERT(this->fixture.checked.empty());
        CPPUNIT_ASSERT(
            this->fixture.router.recordCheckResult(token, CheckResult::Silent, this->fixture.now).empty());
    }

    void heartbeatsAreDoubtedWhenHalfOfAllHaveStopped()
    {
        this->fixture.show({testTarget(1, "dar-a"), testTarget(2, "dar-a")}, {}, true, {TargetNumber{1}});
        TargetToken const token = tokenOf(TargetNumber{1});
        this->fixture.decide(dataPacket(1, token, 1001, 1));
        this->fixture.now += 10s;
        this->fixture.decide(dataPacket(1, token, 1101, 1));
        CPPUNIT_ASSERT(this->fixture.checked.empty());
        CPPUNIT_ASSERT(
            this->fixture.router.recordCheckResult(token, CheckResult::Silent, this->fixture.now).empty());
    }

    // Copies of an opening packet may reach different instances.
    void everyCopyOfAnOpenChoosesTheSameService()
    {
        bool const holds = rc::check([] {
            FlowRoute const route{.endpoint = ordersAddress,
                                  .services = {WeightedService{"orders", *rc::gen::inRange(0U, 100U)},
                                               WeightedService{"prints", *rc::gen::inRange(1U, 100U)}}};
            ConnectionKey const flow = openPacket(*rc::gen::inRange<std::uint16_t>(1, 60000)).flow;
            std::string const &chosen = chooseService(route, flow);
            RC_ASSERT(chosen == chooseService(route, flow));
            RC_ASSERT(route.services[0].weight > 0 || chosen == "prints");
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TokenRouterTest);

} // namespace almondwing
