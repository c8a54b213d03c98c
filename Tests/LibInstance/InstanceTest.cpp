// Property tests of complete instances: flows and requests while instances, targets and failure domains fail
// or restart.

#include "InstanceCluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>

namespace almondwing {

namespace {

constexpr std::uint64_t flowCount = 24;
constexpr std::size_t targetCount = 6;

std::vector<std::string> const failureDomains{"zvolen", "banska", "brezno"};

std::string targetName(std::size_t index)
{
    return fmt::format("cab-{}", index);
}

std::unique_ptr<InstanceCluster> makeCluster()
{
    auto cluster = std::make_unique<InstanceCluster>(*rc::gen::arbitrary<std::uint64_t>(), failureDomains, 2);
    cluster->advance(3s);
    for (std::size_t index = 0; index < targetCount; ++index)
        cluster->addTarget(targetName(index), failureDomains[index % failureDomains.size()]);
    cluster->advance(5s);
    for (std::uint64_t flow = 1; flow <= flowCount; ++flow)
        cluster->openFlow(flow);
    cluster->advance(1s);
    RC_ASSERT(cluster->established.size() == flowCount);
    return cluster;
}

void sendFor(InstanceCluster &cluster, Duration duration)
{
    constexpr Duration interval = 500ms;
    for (Duration spent{}; spent < duration; spent += interval) {
        for (std::uint64_t flow = 1; flow <= flowCount; ++flow) {
            if (cluster.established.contains(flow))
                cluster.sendData(flow);
        }
        cluster.advance(interval);
    }
}

void expectNoFlowBroken(InstanceCluster &cluster)
{
    for (auto const &[flow, reason] : cluster.broken)
        RC_LOG() << "flow " << flow << " broken: " << reasonName(reason) << '\n';
    for (std::string const &violation : cluster.violations)
        RC_LOG() << violation << '\n';
    RC_ASSERT(cluster.broken.empty());
    RC_ASSERT(cluster.violations.empty());
}

void expectAllFlowsEcho(InstanceCluster &cluster)
{
    cluster.echoes.clear();
    for (std::uint64_t flow = 1; flow <= flowCount; ++flow)
        cluster.sendData(flow);
    cluster.advance(1s);
    for (std::uint64_t flow = 1; flow <= flowCount; ++flow)
        RC_ASSERT(cluster.echoes.contains(flow));
}

Request makeRequest(InstanceCluster const &cluster, std::uint64_t number, std::uint32_t attempt)
{
    return Request{.key = {.service = cluster.service(), .caller = 7, .number = number},
                   .attempt = attempt,
                   .requestClass = RequestClass::Interactive,
                   .idempotency = Idempotency::NonIdempotent,
                   .timeLeft = 20s,
                   .payload = "order"};
}

// Sends each request without an outcome again, as a caller does.
void resendOpenRequests(InstanceCluster &cluster, std::uint64_t count, std::uint32_t attempt)
{
    for (std::uint64_t number = 1; number <= count; ++number) {
        bool const isEnded = cluster.answers.contains(number) || cluster.notRun.contains(number)
            || cluster.outcomeUnknown.contains(number);
        if (!isEnded)
            cluster.sendRequest(makeRequest(cluster, number, attempt));
    }
}

void expectAtMostOneRun(InstanceCluster const &cluster)
{
    for (auto const &[number, runs] : cluster.runs) {
        if (runs > 1)
            RC_LOG() << "request " << number << " ran " << runs << " times\n";
        RC_ASSERT(runs <= 1U);
    }
    for (auto const &[number, reason] : cluster.notRun) {
        if (cluster.runs.contains(number))
            RC_LOG() << "request " << number << " was refused (" << reasonName(reason) << ") and ran\n";
        RC_ASSERT(!cluster.runs.contains(number));
    }
    RC_ASSERT(cluster.violations.empty());
}

} // namespace

class InstanceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(InstanceTest);
    CPPUNIT_TEST(flowsSurviveRollingRestart);
    CPPUNIT_TEST(flowsSurviveConsecutiveKills);
    CPPUNIT_TEST(isolatedFailureDomainServesItsTargets);
    CPPUNIT_TEST(resumedInstanceDoesNotUseOldState);
    CPPUNIT_TEST(restartedTargetStaysWithinLimits);
    CPPUNIT_TEST(requestsRunAtMostOnceWhenInstancesDie);
    CPPUNIT_TEST(singleInstanceRefusesNonIdempotentRequests);
    CPPUNIT_TEST(requestAtHopLimitIsRefused);
    CPPUNIT_TEST(forwardedRequestIsDelayedWhateverItsPurpose);
    CPPUNIT_TEST(joiningInstanceRefusesNothing);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a rolling restart of the instances that breaks flows.
    void flowsSurviveRollingRestart()
    {
        bool const holds = rc::check([] {
            auto const cluster = makeCluster();
            for (std::size_t index = 0; index < cluster->instanceCount(); ++index) {
                cluster->stopInstance(index);
                sendFor(*cluster, 8s);
                RC_ASSERT(!cluster->isRunning(index));
                cluster->startInstance(index);
                sendFor(*cluster, 6s);
            }
            expectNoFlowBroken(*cluster);
            expectAllFlowsEcho(*cluster);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against flows that break with their dispatcher, also when a second instance is killed soon after
    // the first one has restarted.
    void flowsSurviveConsecutiveKills()
    {
        bool const holds = rc::check([] {
            auto const cluster = makeCluster();
            std::size_t const first = *rc::gen::inRange<std::size_t>(0, cluster->instanceCount());
            cluster->killInstance(first);
            sendFor(*cluster, 8s);
            cluster->startInstance(first);
            sendFor(*cluster, 6s);
            cluster->killInstance(first ^ 1U);
            sendFor(*cluster, 8s);
            expectNoFlowBroken(*cluster);
            expectAllFlowsEcho(*cluster);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against a network partition that stops the service of a failure domain or breaks flows when it
    // heals.
    void isolatedFailureDomainServesItsTargets()
    {
        bool const holds = rc::check([] {
            auto const cluster = makeCluster();
            std::string const domain = *rc::gen::elementOf(failureDomains);
            cluster->isolate(domain);
            cluster->advance(10s);
            for (std::uint64_t flow = 101; flow <= 106; ++flow)
                cluster->openFlow(flow, domain);
            cluster->advance(1s);
            for (std::uint64_t flow = 101; flow <= 106; ++flow) {
                RC_ASSERT(cluster->established.contains(flow));
                RC_ASSERT(cluster->domainOfFlow(flow) == domain);
            }
            cluster->heal();
            cluster->advance(15s);
            expectNoFlowBroken(*cluster);
            expectAllFlowsEcho(*cluster);
            cluster->echoes.clear();
            for (std::uint64_t flow = 101; flow <= 106; ++flow)
                cluster->sendData(flow);
            cluster->advance(1s);
            for (std::uint64_t flow = 101; flow <= 106; ++flow)
                RC_ASSERT(cluster->echoes.contains(flow));
            expectNoFlowBroken(*cluster);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against an instance that resumes and dispatches for targets that a successor has taken over.
    void resumedInstanceDoesNotUseOldState()
    {
        bool const holds = rc::check([] {
            auto const cluster = makeCluster();
            std::size_t const frozen = *rc::gen::inRange<std::size_t>(0, cluster->instanceCount());
            cluster->freezeInstance(frozen);
            sendFor(*cluster, 8s);
            cluster->resumeInstance(frozen);
            // The first messages arrive before its first tick.
            std::string const domain = cluster->domainOf(frozen);
            std::uint64_t const before = cluster->instanceAt(frozen).flowController().counters().opened;
            for (std::uint64_t flow = 201; flow <= 230; ++flow)
                cluster->openFlow(flow, domain);
            RC_ASSERT(cluster->instanceAt(frozen).flowController().counters().opened == before);
            // Others may have opened flows meanwhile, so it must not report an unknown flow as broken.
            cluster->advance(250ms);
            for (FlowTableStatus const &flowTableStatus :
                 cluster->instanceAt(frozen).state().flowTableStatus.values())
                RC_ASSERT(flowTableStatus.state == FlowTableState::Partial);
            sendFor(*cluster, 8s);
            expectNoFlowBroken(*cluster);
            expectAllFlowsEcho(*cluster);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against flows that break for reasons other than the restart of their target.
    void restartedTargetStaysWithinLimits()
    {
        bool const holds = rc::check([] {
            auto const cluster = makeCluster();
            std::uint64_t nextFlow = 1000;
            cluster->restartTarget(targetName(0));
            for (int round = 0; round < 20; ++round) {
                for (int count = 0; count < 10; ++count)
                    cluster->openFlow(nextFlow++);
                cluster->advance(250ms);
            }
            RC_ASSERT(cluster->violations.empty());
            for (auto const &[flow, reason] : cluster->broken)
                RC_ASSERT(reason == Reason::TargetLost || reason == Reason::UnknownFlow);
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against a second run of a request after a takeover, and against "not run" for a request that has
    // run.
    void requestsRunAtMostOnceWhenInstancesDie()
    {
        bool const holds = rc::check([] {
            auto const cluster = makeCluster();
            // Replica records count as authoritative only after RequestSettings::authoritativeAfter.
            cluster->advance(65s);
            constexpr std::uint64_t requestCount = 12;
            std::size_t const killed = *rc::gen::inRange<std::size_t>(0, cluster->instanceCount());
            int const killRound = *rc::gen::inRange(0, 5);
            for (std::uint32_t round = 0; round < 24; ++round) {
                if (static_cast<int>(round) == killRound)
                    cluster->killInstance(killed);
                resendOpenRequests(*cluster, requestCount, round + 1);
                cluster->advance(*rc::gen::inRange(1, 12) * Duration(25ms));
            }
            cluster->advance(25s);
            resendOpenRequests(*cluster, requestCount, 25);
            cluster->advance(5s);
            expectAtMostOneRun(*cluster);
            for (std::uint64_t number = 1; number <= requestCount; ++number)
                RC_ASSERT(cluster->answers.contains(number) || cluster->notRun.contains(number)
                          || cluster->outcomeUnknown.contains(number));
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against a non-idempotent request that runs without a second copy of its record.
    void singleInstanceRefusesNonIdempotentRequests()
    {
        bool const holds = rc::check([] {
            InstanceCluster cluster(*rc::gen::arbitrary<std::uint64_t>(), {"zvolen"}, 2);
            cluster.advance(3s);
            cluster.addTarget("cab-0", "zvolen");
            cluster.advance(5s);
            cluster.killInstance(1);
            cluster.advance(8s);
            cluster.sendRequest(makeRequest(cluster, 1, 1));
            Request idempotent = makeRequest(cluster, 2, 1);
            idempotent.idempotency = Idempotency::Idempotent;
            cluster.sendRequest(idempotent);
            cluster.advance(3s);
            RC_ASSERT(cluster.notRun.contains(1));
            RC_ASSERT(!cluster.runs.contains(1));
            RC_ASSERT(cluster.answers.contains(2));
        });
        CPPUNIT_ASSERT(holds);
    }

    // Guards against a request that is dropped without an outcome because instances with different tables
    // forward it to each other until it reaches the hop limit. In `almondwing-bench requests` with the limits
    // switched off, this occurred with 903 of 29,488 requests.
    void requestAtHopLimitIsRefused()
    {
        InstanceCluster cluster(1, {"zvolen", "banska"}, 1);
        cluster.advance(3s);
        cluster.addTarget("cab-0", "banska");
        cluster.advance(5s);
        auto const forward = [&](std::uint64_t number, std::uint8_t hops) {
            Forwarded const forwarded{
                .hops = hops, .candidates = {}, .message = makeRequest(cluster, number, 1)};
            cluster.instanceAt(0).handlePeerMessage(InstanceId{1}, {}, forwarded, cluster.time());
            cluster.advance(75ms);
        };
        forward(1, maxHops);
        CPPUNIT_ASSERT(cluster.notRun.at(1) == Reason::RouteUnsettled);
        forward(2, 1);
        CPPUNIT_ASSERT(cluster.notRun.at(2) == Reason::NoSecondCopy);
        // It waits at each further instance, so that the limit isn't reached before the change has
        // propagated.
        forward(3, maxHops - 1);
        CPPUNIT_ASSERT(!cluster.notRun.contains(3)
                       && cluster.instanceAt(0).callerRouter().hasUnsettledMessages());
        cluster.advance(75ms);
        CPPUNIT_ASSERT(cluster.notRun.at(3) == Reason::NoSecondCopy);
        CPPUNIT_ASSERT(!cluster.instanceAt(0).callerRouter().hasUnsettledMessages());
    }

    // Guards against a request that is refused within milliseconds because it was forwarded repeatedly for
    // another purpose than delivery to the dispatcher of the table: as a search, at the end of one, or as a
    // spill.
    void forwardedRequestIsDelayedWhateverItsPurpose()
    {
        InstanceCluster cluster(1, {"zvolen", "banska"}, 1);
        cluster.advance(3s);
        cluster.addTarget("cab-0", "banska");
        cluster.advance(5s);
        std::uint64_t number = 0;
        for (auto const purpose :
             {ForwardPurpose::Search, ForwardPurpose::SearchEnded, ForwardPurpose::Spill}) {
            Forwarded const forwarded{.purpose = purpose,
                                      .hops = maxHops - 1,
                                      .candidates = {},
                                      .message = makeRequest(cluster, ++number, 1)};
            cluster.instanceAt(0).handlePeerMessage(InstanceId{1}, {}, forwarded, cluster.time());
            cluster.advance(75ms);
            CPPUNIT_ASSERT(!cluster.notRun.contains(number));
            CPPUNIT_ASSERT(cluster.instanceAt(0).callerRouter().hasUnsettledMessages());
            cluster.advance(150ms);
            CPPUNIT_ASSERT(!cluster.instanceAt(0).callerRouter().hasUnsettledMessages());
        }
    }

    // Guards against the refusal "no target" by an instance that has just started and has no records of
    // targets yet. A request that its caller repeated 100 ms after the start got the outcome "unknown".
    void joiningInstanceRefusesNothing()
    {
        InstanceCluster cluster(1, {"zvolen"}, 2);
        cluster.advance(3s);
        cluster.addTarget("cab-0", "zvolen");
        cluster.advance(5s);
        std::size_t const restarted = cluster.dispatcherOf("cab-0");
        Configuration const configuration = *cluster.instanceAt(1 - restarted).state().configuration.read();
        cluster.killInstance(restarted);
        cluster.startInstance(restarted);
        Instance &instance = cluster.instanceAt(restarted);
        instance.handleConfiguration(configuration); // As if loaded from its disk.
        Request request = makeRequest(cluster, 1, 2);
        request.idempotency = Idempotency::Idempotent;
        instance.tick(cluster.time());
        instance.handleCallerMessage({}, request, cluster.time());
        instance.handleCallerMessage({}, OpenFlow{.key = {.service = cluster.service(), .flow = 1}},
                                     cluster.time());
        CPPUNIT_ASSERT(cluster.outcomeUnknown.empty());
        CPPUNIT_ASSERT(cluster.refused.empty());
        cluster.advance(7s); // After a takeover the slots count as busy for 5 s.
        CPPUNIT_ASSERT(cluster.outcomeUnknown.empty());
        CPPUNIT_ASSERT(cluster.refused.empty());
        CPPUNIT_ASSERT(cluster.answers.contains(1));
        CPPUNIT_ASSERT(cluster.established.contains(1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InstanceTest);

} // namespace almondwing
