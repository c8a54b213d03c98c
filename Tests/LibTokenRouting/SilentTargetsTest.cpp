// Tests what unanswered flows and checks show about a target and its failure domain.

#include "TokenFixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

namespace almondwing {

class SilentTargetsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SilentTargetsTest);
    CPPUNIT_TEST(silentFlowsAreCountedOnce);
    CPPUNIT_TEST(flowsOfSilentDomainAreReset);
    CPPUNIT_TEST(answeringDomainIsNotSilent);
    CPPUNIT_TEST(shortObjectiveNeedsSeveralSilentFlows);
    CPPUNIT_TEST_SUITE_END();

    TokenFixture fixture;

    template<typename Kind>
    static bool is(PacketDecision const &decision)
    {
        return std::holds_alternative<Kind>(decision);
    }

    // Guards against two flows that count as many because their callers retransmit in turn.
    void silentFlowsAreCountedOnce()
    {
        PassiveHealthSettings const settings{.minSilentFlows = 3};
        TargetToken const token = tokenOf(TargetNumber{1});
        auto const isUnreachableAfter = [&](std::vector<std::uint16_t> const &ports) {
            for (std::uint16_t const port : ports)
                markSuspect(this->fixture.board, token, openPacket(port).flow, RouteTerms{}, settings,
                            this->fixture.now);
            recordCheckResult(this->fixture.board, token, CheckResult::NoAnswer, HeartbeatState::Current,
                              settings, this->fixture.now);
            return this->fixture.board.healthOf(token).isUnreachableAt(this->fixture.now);
        };
        CPPUNIT_ASSERT(!isUnreachableAfter({1, 2, 1, 2, 1}));
        CPPUNIT_ASSERT(isUnreachableAfter({3}));
    }

    // Seven targets, of which three are in the failure domain dar-b. Each of the three has answered one flow
    // and has received a packet of it since; the callers of the first two have retransmitted it.
    void waitAtThreeTargets(Duration latencyObjective)
    {
        this->fixture.configuration.routes.front().terms.latencyObjective = latencyObjective;
        std::vector<RegisteredTarget> targets;
        for (std::uint64_t number = 1; number <= 7; ++number)
            targets.push_back(testTarget(number, number <= 3 ? "dar-b" : "dar-a"));
        this->fixture.setTargets(targets);
        for (std::uint16_t port = 1; port <= 3; ++port) {
            this->fixture.decide(dataPacket(port, tokenOf(TargetNumber{port}), 1001, 1));
            this->fixture.decide(dataPacket(port, tokenOf(TargetNumber{port}), 1101, 300));
        }
        this->fixture.now += 10ms;
        for (std::uint16_t port = 1; port <= 3; ++port)
            this->fixture.decide(dataPacket(port, tokenOf(TargetNumber{port}), 1201, 300));
        this->fixture.now += 200ms;
        for (std::uint16_t port = 1; port <= 2; ++port)
            this->fixture.decide(dataPacket(port, tokenOf(TargetNumber{port}), 1201, 300));
    }

    std::vector<FlowPacket> checkWithoutAnswer(std::uint64_t number)
    {
        this->fixture.now += 1ms;
        return this->fixture.router.recordCheckResult(tokenOf(TargetNumber{number}), CheckResult::NoAnswer,
                                                      this->fixture.now);
    }

    // Guards against callers that wait until their deadline after the loss of a failure domain, because each
    // of its targets has only one flow through this instance. The caller of the third has nothing to
    // retransmit.
    void flowsOfSilentDomainAreReset()
    {
        this->waitAtThreeTargets(400ms);
        CPPUNIT_ASSERT((this->fixture.checked == std::vector{TargetNumber{1}, TargetNumber{2}}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->checkWithoutAnswer(1).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->fixture.checked.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->checkWithoutAnswer(2).size());
        CPPUNIT_ASSERT(this->fixture.checked.back() == TargetNumber{3});
        auto const reset = this->checkWithoutAnswer(3);
        CPPUNIT_ASSERT(std::ranges::any_of(
            reset, [](FlowPacket const &packet) { return packet.flow == openPacket(3).flow; }));
        for (std::uint16_t port = 11; port <= 30; ++port)
            CPPUNIT_ASSERT(this->fixture.targetOf(this->fixture.decide(openPacket(port))).value > 3);
        CPPUNIT_ASSERT(this->fixture.decide(dataPacket(1, tokenOf(TargetNumber{1}), 1301, 300))
                       == PacketDecision(ResetFlow{ResetReason::TargetUnreachable}));
    }

    // Guards against a failure domain that gets no flows because two of its targets have failed.
    void answeringDomainIsNotSilent()
    {
        this->waitAtThreeTargets(400ms);
        this->checkWithoutAnswer(1);
        this->fixture.decide(dataPacket(3, tokenOf(TargetNumber{3}), 1301, 600)); // Acknowledges an answer.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->checkWithoutAnswer(2).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->fixture.checked.size());
        CPPUNIT_ASSERT(
            is<ForwardPacket>(this->fixture.decide(dataPacket(3, tokenOf(TargetNumber{3}), 1401, 600))));
    }

    // Guards against resets of the flow of a living target after a lost packet, where the callers could not
    // get an answer from another target in time anyway.
    void shortObjectiveNeedsSeveralSilentFlows()
    {
        this->waitAtThreeTargets(100ms);
        CPPUNIT_ASSERT(this->checkWithoutAnswer(1).empty());
        CPPUNIT_ASSERT(this->checkWithoutAnswer(2).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, this->fixture.checked.size());
        CPPUNIT_ASSERT(
            is<ForwardPacket>(this->fixture.decide(dataPacket(1, tokenOf(TargetNumber{1}), 1301, 300))));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentTargetsTest);

} // namespace almondwing
