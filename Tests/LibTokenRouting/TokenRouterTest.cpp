// Tests of the decision for each packet.

#include "TokenFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace almondwing {

class TokenRouterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TokenRouterTest);
    CPPUNIT_TEST(openedFlowStaysWithItsTargetOnAnyInstance);
    CPPUNIT_TEST(retransmittedOpenKeepsLivingTarget);
    CPPUNIT_TEST(retransmittedOpenLeavesSilentTarget);
    CPPUNIT_TEST(newFlowOfReusedPortIsPlacedAgain);
    CPPUNIT_TEST(packetWithUnknownTokenIsHeld);
    CPPUNIT_TEST(packetsAreHeldWithoutConfiguration);
    CPPUNIT_TEST(flowWithoutRouteIsReset);
    CPPUNIT_TEST(openWithoutTargetIsReset);
    CPPUNIT_TEST(openWaitsWhileTheRegistryIsIncomplete);
    CPPUNIT_TEST(drainingTargetKeepsItsFlowsAndGetsNoNewOnes);
    CPPUNIT_TEST(flowsOfEndedTargetAreReset);
    CPPUNIT_TEST(deregisteredTargetKeepsItsFlowsUntilItsExit);
    CPPUNIT_TEST(retransmittedOpenStaysWithDeregisteredTarget);
    CPPUNIT_TEST(takenOutDomainGetsNoNewFlows);
    CPPUNIT_TEST(foreignPacketIsDropped);
    CPPUNIT_TEST(establishedFlowIsReportedOnce);
    CPPUNIT_TEST(unansweredDataMarksTargetSuspect);
    CPPUNIT_TEST(retransmissionToActiveTargetIsNotSuspect);
    CPPUNIT_TEST(refusedCheckResetsFlowsTemporarily);
    CPPUNIT_TEST(answerEndsUnreachableState);
    CPPUNIT_TEST(waitingFlowsOfUnreachableTargetAreReset);
    CPPUNIT_TEST(silentCheckNeedsSeveralUnansweredFlows);
    CPPUNIT_TEST(silentCheckCountsWithoutHeartbeats);
    CPPUNIT_TEST(answeringTargetWithoutHeartbeatsIsNotChecked);
    CPPUNIT_TEST(missingHeartbeatsOfHalfTheTargetsAreIgnored);
    CPPUNIT_TEST(targetsOfUndefinedServicesAreNoEvidence);
    CPPUNIT_TEST(undefinedServiceAtEndpointResetsNoFlow);
    CPPUNIT_TEST(retransmittedOpenChoosesSameService);
    CPPUNIT_TEST_SUITE_END();

    TokenFixture fixture;

    template<typename Kind>
    static bool is(PacketDecision const &decision)
    {
        return std::holds_alternative<Kind>(decision);
    }

    // Guards against a dependency on per-flow state: an instance that has seen no packet of the flow forwards
    // its packets to the same target.
    void openedFlowStaysWithItsTargetOnAnyInstance()
    {
        std::vector const targets{testTarget(1, "dar-a"), testTarget(2, "dar-a"), testTarget(3, "dar-b")};
        this->fixture.setTargets(targets);
        TokenFixture other;
        other.setTargets(targets);
        for (std::uint16_t port = 1; port <= 200; ++port) {
            PacketDecision const opened = this->fixture.decide(openPacket(port));
            CPPUNIT_ASSERT(is<ForwardPacket>(opened));
            TargetToken const token = std::get<ForwardPacket>(opened).token;
            CPPUNIT_ASSERT(other.decide(dataPacket(port, token, 1001, 1)) == opened);
        }
    }

    void retransmittedOpenKeepsLivingTarget()
    {
        this->fixture.setTargets({testTarget(1, "dar-a"), testTarget(2, "dar-a")});
        PacketDecision const first = this->fixture.decide(openPacket(1));
        TargetToken const token = std::get<ForwardPacket>(first).token;
        // The target answers another flow.
        this->fixture.now += 100ms;
        this->fixture.decide(dataPacket(2, token, 1001, 1));
        this->fixture.now += 10ms;
        this->fixture.decide(dataPacket(2, token, 1101, 500));
        this->fixture.now += 90ms;
        CPPUNIT_ASSERT(this->fixture.decide(openPacket(1, 1)) == first);
    }

    void retransmittedOpenLeavesSilentTarget()
    {
        this->fixture.setTargets({testTarget(1, "dar-a"), testTarget(2, "dar-a")});
        TargetNumber const first = this->fixture.targetOf(this->fixture.decide(openPacket(1)));
        this->fixture.now += 200ms;
        TargetNumber const second = this->fixture.targetOf(this->fixture.decide(openPacket(1, 1)));
        CPPUNIT_ASSERT(!second.isNone() && second != first);
        CPPUNIT_ASSERT(this->fixture.checked == std::vector{first});
    }

    // Guards against a new flow that is sent to a draining target because its caller reuses the port of an
    // earlier flow.
    void newFlowOfReusedPortIsPlacedAgain()
    {
        RegisteredTarget const other = testTarget(2, "dar-a");
        RegisteredTarget draining = testTarget(1, "dar-a");
        this->fixture.setTargets({draining});
        PacketDecision const opened = this->fixture.decide(openPacket(1));
        TargetToken const token = std::get<ForwardPacket>(opened).token;
        this->fixture.decide(dataPacket(1, token, 1001, 1));
        draining.state = RegisteredState::Draining;
        this->fixture.setTargets({draining, other});
        this->fixture.now += 10s;
        // A late retransmission of the opening packet belongs to the existing flow.
        CPPUNIT_ASSERT(this->fixture.targetOf(this->fixture.decide(openPacket(1, 1))) == draining.number);
        FlowPacket next = openPacket(1);
        next.sequence = 777'000;
        CPPUNIT_ASSERT(this->fixture.targetOf(this->fixture.decide(next)) == other.number);
    }

    // Guards against packets that reach a target of another service while the registry is not up to date.
    void packetWithUnknownTokenIsHeld()
    {
        this->fixture.setTargets({testTarget(1, "dar-a")});
        PacketDecision const decision =
            this->fixture.decide(dataPacket(1, tokenOf(TargetNumber{9}), 1001, 1));
        CPPUNIT_ASSERT(is<HoldPacket>(decision));
        this->fixture.setTargets({testTarget(1, "dar-a"), testTarget(9, "dar-a")});
        CPPUNIT_ASSERT(
            this->fixture.targetOf(this->fixture.decide(dataPacket(1, tokenOf(TargetNumber{9}), 1001, 1)))
            == TargetNumber{9});
    }

    void packetsAreHeldWithoutConfiguration()
    {
        CPPUNIT_ASSERT(is<HoldPacket>(this->fixture.decide(openPacket(1))));
    }

    void flowWithoutRouteIsReset()
    {
        this->fixture.setTargets({testTarget(1, "dar-a")});
        FlowPacket packet = openPacket(1);
        packet.flow.service = otherAddress;
        CPPUNIT_ASSERT(this->fixture.decide(packet) == PacketDecision(ResetFlow{ResetReason::NoRoute}));
    }

    void openWithoutTargetIsReset()
    {
        this->fixture.setTargets({});
        CPPUNIT_ASSERT(this->fixture.decide(openPacket(1))
                       == PacketDecision(ResetFlow{ResetReason::NoTarget}));
    }

    // Guards against resets after a start of the whole cluster, before the targets have sent heartbeats.
    void openWaitsWhileTheRegistryIsIncomplete()
    {
        this->fixture.setTargets({}, {}, false);
        CPPUNIT_ASSERT(is<HoldPacket>(this->fixture.decide(openPacket(1))));
    }

    void drainingTargetKeepsItsFlowsAndGetsNoNewOnes()
    {
        RegisteredTarget draining = testTarget(1, "dar-a");
        draining.state = RegisteredState::Draining;
        this->fixture.setTargets({draining, testTarget(2, "dar-b")});
        for (std::uint16_t port = 1; port <= 50; ++port)
            CPPUNIT_ASSERT(this->fixture.targetOf(this->fixture.decide(openPacket(port))) == TargetNumber{2});
        CPPUNIT_ASSERT(
            this->fixture.targetOf(this->fixture.decide(dataPacket(99, tokenOf(TargetNumber{1}), 1001, 1)))
            == TargetNumber{1});
    }

    static RegisteredTarget goneTarget(std::uint64_t number, char const *domain)
    {
        RegisteredTarget target = testTarget(number, domain);
        target.state = RegisteredState::Gone;
        return target;
    }

    // A target that has started later has the endpoint, so the former one has certainly ended.
    void flowsOfEndedTargetAreReset()
    {
        RegisteredTarget const ended = goneTarget(1, "dar-a");
        RegisteredTarget successor = testTarget(2, "dar-a");
        successor.endpoint = ended.endpoint;
        successor.reportVersion.startUnixMilliseconds = ended.reportVersion.startUnixMilliseconds + 1;
        this->fixture.setTargets({ended, successor});
        CPPUNIT_ASSERT(this->fixture.decide(dataPacket(1, tokenOf(TargetNumber{1}), 1001, 1))
                       == PacketDecision(ResetFlow{ResetReason::TargetEnded}));
        CPPUNIT_ASSERT(this->fixture.checked.empty());
    }

    // Guards against resets of flows at a target that still serves them while it waits for the
    // acknowledgement of its deregistration. A refused or unanswered check shows that it has exited.
    void deregisteredTargetKeepsItsFlowsUntilItsExit()
    {
        for (CheckResult const afterExit : {CheckResult::Refused, CheckResult::NoAnswer}) {
            TokenFixture serving;
            serving.setTargets({testTarget(1, "dar-a"), testTarget(2, "dar-a")});
            TargetToken const token = tokenOf(TargetNumber{1});
            for (std::uint16_t port = 1; port <= 2; ++port) {
                serving.decide(dataPacket(port, token, 1001, 1));
                serving.decide(dataPacket(port, token, 1101, 300)); // Acknowledges an answer.
            }
            serving.now += PassiveHealthSettings{}.aliveWindow + 1ms;
            serving.setTargets({goneTarget(1, "dar-a"), testTarget(2, "dar-a")});
            CPPUNIT_ASSERT(is<ForwardPacket>(serving.decide(dataPacket(1, token, 1201, 300))));
            CPPUNIT_ASSERT(serving.checked == std::vector{TargetNumber{1}});
            CPPUNIT_ASSERT(
                serving.router.recordCheckResult(token, CheckResult::Accepted, serving.now).empty());
            serving.now += 50ms;
            CPPUNIT_ASSERT(is<ForwardPacket>(serving.decide(dataPacket(2, token, 1201, 300))));
            FlowPacket close = dataPacket(3, token, 1001, 1);
            close.kind = PacketKind::Close;
            CPPUNIT_ASSERT(is<ForwardPacket>(serving.decide(close)));
            CPPUNIT_ASSERT(serving.targetOf(serving.decide(openPacket(4))) == TargetNumber{2});

            CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                                 serving.router.recordCheckResult(token, afterExit, serving.now).size());
            CPPUNIT_ASSERT(serving.decide(dataPacket(2, token, 1301, 300))
                           == PacketDecision(ResetFlow{ResetReason::TargetUnreachable}));
        }
    }

    // Guards against two targets that answer the same flow, because the first one has deregistered between
    // two transmissions of the opening packet.
    void retransmittedOpenStaysWithDeregisteredTarget()
    {
        this->fixture.setTargets({testTarget(1, "dar-a")});
        PacketDecision const first = this->fixture.decide(openPacket(1));
        this->fixture.setTargets({goneTarget(1, "dar-a"), testTarget(2, "dar-a")});
        this->fixture.now += 100ms;
        CPPUNIT_ASSERT(this->fixture.decide(openPacket(1, 1)) == first);
    }

    void takenOutDomainGetsNoNewFlows()
    {
        this->fixture.setTargets({testTarget(1, "dar-a"), testTarget(2, "dar-b")}, {"dar-a"});
        for (std::uint16_t port = 1; port <= 50; ++port)
            CPPUNIT_ASSERT(this->fixture.targetOf(this->fixture.decide(openPacket(port))) == TargetNumber{2});
    }

    void foreignPacketIsDropped()
    {
        this->fixture.setTargets({testTarget(1, "dar-a")});
        FlowPacket packet = openPacket(1);
        packet.kind = PacketKind::NotFromCaller;
        CPPUNIT_ASSERT(is<DropPacket>(this->fixture.decide(packet)));
    }

    void establishedFlowIsReportedOnce()
    {
        this->fixture.setTargets({testTarget(1, "dar-a")});
        this->fixture.decide(openPacket(1));
        this->fixture.now += 7ms;
        this->fixture.decide(dataPacket(1, tokenOf(TargetNumber{1}), 1001, 1));
        this->fixture.decide(dataPacket(1, tokenOf(TargetNumber{1}), 1101, 300));
        CPPUNIT_ASSERT(this->fixture.established == std::vector<Duration>{7ms});
    }

    // Guards against new flows at a target that has recently answered, but has not answered any caller since
    // a packet was first sent.
    void unansweredDataMarksTargetSuspect()
    {
        this->fixture.setTargets({testTarget(1, "dar-a"), testTarget(2, "dar-a")});
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

    // Guards against direct checks and the loss of new flows because of a single slow request.
    void retransmissionToActiveTargetIsNotSuspect()
    {
        this->fixture.setTargets({testTarget(1, "dar-a"), testTarget(2, "dar-a")});
        TargetToken const token = tokenOf(TargetNumber{1});
        this->fixture.decide(dataPacket(1, token, 1001, 1));
        this->fixture.decide(dataPacket(2, token, 1001, 1));
        this->fixture.now += 100ms;
        this->fixture.decide(dataPacket(2, token, 1101, 300));
        this->fixture.now += 100ms;
        this->fixture.decide(dataPacket(1, token, 1001, 1));
        CPPUNIT_ASSERT(this->fixture.checked.empty());
    }

    // Guards against resets of flows of a living target after a cut link, which refused the check, works
    // again.
    void refusedCheckResetsFlowsTemporarily()
    {
        this->fixture.setTargets({testTarget(1, "dar-a"), testTarget(2, "dar-a")});
        TargetToken const token = tokenOf(TargetNumber{1});
        this->fixture.decide(dataPacket(1, token, 1001, 1));
        this->fixture.now += 200ms;
        this->fixture.router.recordCheckResult(token, CheckResult::Refused, this->fixture.now);
        this->fixture.now += 100ms;
        CPPUNIT_ASSERT(is<ResetFlow>(this->fixture.decide(dataPacket(1, token, 1001, 1))));
        CPPUNIT_ASSERT(this->fixture.targetOf(this->fixture.decide(openPacket(7))) == TargetNumber{2});
        this->fixture.now += PassiveHealthSettings{}.unreachableDuration;
        CPPUNIT_ASSERT(is<ForwardPacket>(this->fixture.decide(dataPacket(1, token, 1001, 1))));
    }

    // Guards against callers that miss their deadline because they learn of an unreachable target only at
    // their next retransmission. Idle flows are not reset, because the link may recover.
    void waitingFlowsOfUnreachableTargetAreReset()
    {
        this->fixture.setTargets({testTarget(1, "dar-a"), testTarget(2, "dar-a")});
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

    void answerEndsUnreachableState()
    {
        this->fixture.setTargets({testTarget(1, "dar-a"), testTarget(2, "dar-a")});
        TargetToken const token = tokenOf(TargetNumber{1});
        this->fixture.decide(dataPacket(1, token, 1001, 1));
        this->fixture.router.recordCheckResult(token, CheckResult::Refused, this->fixture.now);
        CPPUNIT_ASSERT(is<ForwardPacket>(this->fixture.decide(dataPacket(1, token, 1101, 300))));
        CPPUNIT_ASSERT(is<ForwardPacket>(this->fixture.decide(dataPacket(1, token, 1201, 300))));
    }

    // Guards against flows that hang after a cut between failure domains: the first retransmissions lead to a
    // check, and after it flows are reset at their next packet. Also guards against resets because of a
    // single lost packet.
    void silentCheckNeedsSeveralUnansweredFlows()
    {
        this->fixture.setTargets({testTarget(1, "dar-b"), testTarget(2, "dar-a")});
        TargetToken const token = tokenOf(TargetNumber{1});
        for (std::uint16_t port = 1; port <= 3; ++port)
            this->fixture.decide(dataPacket(port, token, 1001, 1));
        for (std::uint16_t port = 1; port <= 3; ++port)
            this->fixture.decide(dataPacket(port, token, 1101, 300)); // All were answered until now.
        this->fixture.now += 10ms;
        this->fixture.decide(dataPacket(1, token, 1201, 300));
        this->fixture.decide(dataPacket(2, token, 1201, 300));
        this->fixture.now += 200ms;
        this->fixture.decide(dataPacket(1, token, 1201, 300));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->fixture.checked.size());
        this->fixture.router.recordCheckResult(token, CheckResult::NoAnswer, this->fixture.now);
        CPPUNIT_ASSERT(is<ForwardPacket>(this->fixture.decide(dataPacket(3, token, 1201, 300))));
        this->fixture.decide(dataPacket(2, token, 1201, 300));
        this->fixture.router.recordCheckResult(token, CheckResult::NoAnswer, this->fixture.now);
        CPPUNIT_ASSERT(this->fixture.decide(dataPacket(3, token, 1301, 300))
                       == PacketDecision(ResetFlow{ResetReason::TargetUnreachable}));
        this->fixture.router.recordCheckResult(token, CheckResult::Accepted, this->fixture.now);
        CPPUNIT_ASSERT(is<ForwardPacket>(this->fixture.decide(dataPacket(3, token, 1301, 300))));
    }

    // Guards against callers that wait until their deadline because a failure domain has lost power and each
    // of its many targets has only one flow through this instance.
    void silentCheckCountsWithoutHeartbeats()
    {
        std::vector const targets{testTarget(1, "dar-b"), testTarget(2, "dar-a"), testTarget(3, "dar-a")};
        this->fixture.setTargets(targets);
        TargetToken const token = tokenOf(TargetNumber{1});
        this->fixture.decide(dataPacket(1, token, 1001, 1));
        this->fixture.decide(dataPacket(1, token, 1101, 300)); // Acknowledges an answer.
        this->fixture.now += PassiveHealthSettings{}.aliveWindow + 1ms;
        this->fixture.setTargets(targets, {}, true, {TargetNumber{1}});
        FlowPacket const waiting = dataPacket(1, token, 1201, 300);
        CPPUNIT_ASSERT(is<ForwardPacket>(this->fixture.decide(waiting)));
        CPPUNIT_ASSERT(this->fixture.checked == std::vector{TargetNumber{1}});
        this->fixture.now += 120ms;
        auto const reset =
            this->fixture.router.recordCheckResult(token, CheckResult::NoAnswer, this->fixture.now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reset.size());
        CPPUNIT_ASSERT(reset[0].flow == waiting.flow);
    }

    // Guards against direct checks, which cost the target work, and against resets of its flows while only
    // its path to the control instances is cut.
    void answeringTargetWithoutHeartbeatsIsNotChecked()
    {
        std::vector const targets{testTarget(1, "dar-a"), testTarget(2, "dar-a"), testTarget(3, "dar-a")};
        this->fixture.setTargets(targets);
        TargetToken const token = tokenOf(TargetNumber{1});
        this->fixture.decide(dataPacket(1, token, 1001, 1));
        this->fixture.now += 10s;
        this->fixture.decide(dataPacket(1, token, 1101, 300)); // Acknowledges an answer.
        this->fixture.setTargets(targets, {}, true, {TargetNumber{1}});
        this->fixture.now += 50ms;
        this->fixture.decide(dataPacket(1, token, 1201, 300));
        CPPUNIT_ASSERT(this->fixture.checked.empty());
        CPPUNIT_ASSERT(
            this->fixture.router.recordCheckResult(token, CheckResult::NoAnswer, this->fixture.now).empty());
    }

    void missingHeartbeatsOfHalfTheTargetsAreIgnored()
    {
        this->fixture.setTargets({testTarget(1, "dar-a"), testTarget(2, "dar-a")}, {}, true,
                                 {TargetNumber{1}});
        TargetToken const token = tokenOf(TargetNumber{1});
        this->fixture.decide(dataPacket(1, token, 1001, 1));
        this->fixture.now += 10s;
        this->fixture.decide(dataPacket(1, token, 1101, 1));
        CPPUNIT_ASSERT(this->fixture.checked.empty());
        CPPUNIT_ASSERT(
            this->fixture.router.recordCheckResult(token, CheckResult::NoAnswer, this->fixture.now).empty());
    }

    // Guards against heartbeats of other writers, which come only once, that let all missing heartbeats be
    // ignored.
    void targetsOfUndefinedServicesAreNoEvidence()
    {
        this->fixture.setTargets({testTarget(1, "dar-a"), testTarget(2, "dar-a"), testTarget(3, "dar-a"),
                                  testTarget(4, "dar-a", "audit"), testTarget(5, "dar-a", "audit")},
                                 {}, true, {TargetNumber{1}, TargetNumber{4}, TargetNumber{5}});
        this->fixture.decide(dataPacket(1, tokenOf(TargetNumber{1}), 1001, 1));
        CPPUNIT_ASSERT(this->fixture.checked == std::vector{TargetNumber{1}});
    }

    // Guards against resets of flows at a target that has deregistered and still serves them, because of a
    // heartbeat of another writer that names its endpoint.
    void undefinedServiceAtEndpointResetsNoFlow()
    {
        RegisteredTarget foreign = testTarget(4, "dar-a", "audit");
        foreign.endpoint = testTarget(1, "dar-a").endpoint;
        foreign.reportVersion.startUnixMilliseconds = 200;
        this->fixture.setTargets({goneTarget(1, "dar-a"), testTarget(2, "dar-a"), foreign});
        CPPUNIT_ASSERT(
            is<ForwardPacket>(this->fixture.decide(dataPacket(1, tokenOf(TargetNumber{1}), 1001, 1))));
    }

    // Guards against a retransmitted opening packet that reaches another instance and chooses another service
    // there.
    void retransmittedOpenChoosesSameService()
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
