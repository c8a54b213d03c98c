// Tests of hostile and foreign input at every socket of every instance.

#include "Deployment.h"

#include <LibFrontEnd/UdpSocket.h>
#include <LibWire/WireCodec.h>

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

namespace {

constexpr Endpoint anyLoopbackPort{.address = 0x7f000001, .port = 0};
constexpr std::size_t oversizedBytes = 9000;

// Version 1 is the first field of every envelope.
std::string withUnknownVersion(std::string datagram)
{
    CPPUNIT_ASSERT_EQUAL('\x08', datagram.at(0));
    CPPUNIT_ASSERT_EQUAL('\x01', datagram.at(1));
    datagram[1] = '\x63';
    return datagram;
}

FlowKey flowOf(char const *service)
{
    return {.service = ServiceId::fromName(service), .flow = 1};
}

// Valid messages for one socket; all the malformed ones are made from these.
using Encoder = std::function<std::string(WireCodec const &codec, char const *service)>;

std::string encodeForEntry(WireCodec const &codec, char const *service)
{
    return codec.encode(CallerMessage{OpenFlow{.key = flowOf(service), .payload = "x"}}).value();
}

std::string encodeForTarget(WireCodec const &codec, char const *service)
{
    return codec.encode(TargetMessage{FlowData{.key = flowOf(service), .payload = "x"}}).value();
}

std::string encodeForPeer(WireCodec const &codec, char const *service)
{
    CallerMessage const inner = OpenFlow{.key = flowOf(service), .payload = "x"};
    Forwarded const forwarded{.caller = anyLoopbackPort, .candidates = {}, .message = inner};
    return codec.encode(PeerDatagram{.from = InstanceId::fromName("stranger"), .message = forwarded}).value();
}

std::vector<std::string> malformed(Encoder const &encode)
{
    WireCodec const codec = WireCodec::forCluster(clusterName);
    std::string const valid = encode(codec, serviceName);
    return {valid.substr(0, valid.size() - 1), valid + std::string(oversizedBytes, '\0'),
            withUnknownVersion(valid), encode(WireCodec::forCluster("other-cluster"), serviceName),
            std::string(100, '\xff')};
}

void sendAll(Endpoint to, std::vector<std::string> const &datagrams)
{
    IoRuntime runtime;
    auto const socket = UdpSocket::open(runtime, anyLoopbackPort);
    CPPUNIT_ASSERT(socket.ok());
    for (std::string const &datagram : datagrams)
        (*socket)->send(to, datagram);
}

} // namespace

class InputTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(InputTest);
    CPPUNIT_TEST(badInputIsCountedAndDropped);
    CPPUNIT_TEST_SUITE_END();

    // Waits until the count has grown by the given number at least: a datagram may be lost by nobody on
    // loopback.
    static void expectGrowth(Deployment &deployment, InstancePlan const &plan, std::string const &metric,
                             std::function<void()> const &send, double growth)
    {
        double const before = deployment.metric(plan, metric);
        send();
        bool const hasGrown = waitUntil([&] { return deployment.metric(plan, metric) >= before + growth; });
        CPPUNIT_ASSERT_MESSAGE(plan.name + " " + metric + ": " + std::to_string(before) + " before, "
                                   + std::to_string(deployment.metric(plan, metric)) + " now",
                               hasGrown);
    }

    static void sendToSocket(Deployment &deployment, InstancePlan const &plan, std::string const &socket,
                             Endpoint to, Encoder const &encode)
    {
        auto const datagrams = malformed(encode);
        expectGrowth(
            deployment, plan, "almondwing_input_dropped_total{socket=\"" + socket + "\"}",
            [&] { sendAll(to, datagrams); }, static_cast<double>(datagrams.size()));
    }

    static void sendUnknownService(Deployment &deployment, InstancePlan const &plan, Endpoint to,
                                   Encoder const &encode)
    {
        std::string const datagram = encode(WireCodec::forCluster(clusterName), "no-such-service");
        expectGrowth(
            deployment, plan, "almondwing_unknown_service_total", [&] { sendAll(to, {datagram}); }, 1);
    }

    static constexpr double badHttpRequests = 5;

    // HTTP that does not parse, a body that is no JSON, and targets of a service or domain not configured.
    static void sendBadHttp(Deployment &deployment, InstancePlan const &plan)
    {
        constexpr std::size_t largeBody = 64U << 20U;
        for (std::string const &body :
             {std::string("{"), std::string(largeBody, 'x'), std::string(R"({"name":"a","service":"none"})")})
            CPPUNIT_ASSERT_EQUAL(std::string(), deployment.post(plan.http, "/v1/announce", body));
        CPPUNIT_ASSERT_EQUAL(std::string(), deployment.post(plan.http, "/v1/changes", "{\"a\":"));
        CPPUNIT_ASSERT_EQUAL(std::string(), deployment.get(plan.http, "/v1/explain?service=%zz"));
    }

    static void expectService(Deployment &deployment)
    {
        auto const caller = deployment.startCaller({"--requests", "5", "--size", "3000", "--flows", "3",
                                                    "--flows-for-ms", "1000", "--deadline-ms", "30000"});
        Json const summary = deployment.summaryOf(*caller);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(summary.dump(), 5, summary["requests"]["answered"].get<int>());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(summary.dump(), 3, summary["flows"]["aliveAtEnd"].get<int>());
    }

    // Guards against a daemon that dies of input from the network, takes it for its own, or hides it from
    // the operators.
    void badInputIsCountedAndDropped()
    {
        Deployment deployment;
        deployment.startFourTargets();
        for (InstancePlan const &plan : deployment.instances()) {
            sendToSocket(deployment, plan, "entry", plan.entry, encodeForEntry);
            sendToSocket(deployment, plan, "target", plan.target, encodeForTarget);
            sendToSocket(deployment, plan, "peer", plan.peer, encodeForPeer);
            sendUnknownService(deployment, plan, plan.entry, encodeForEntry);
            sendUnknownService(deployment, plan, plan.peer, encodeForPeer);
            // A message of a target for a service that is not configured belongs to no flow.
            std::string const stray = encodeForTarget(WireCodec::forCluster(clusterName), "no-such-service");
            expectGrowth(
                deployment, plan, "almondwing_target_messages_dropped_total",
                [&] { sendAll(plan.target, {stray}); }, 1);
            expectGrowth(
                deployment, plan, "almondwing_http_refused_total", [&] { sendBadHttp(deployment, plan); },
                badHttpRequests);
        }
        expectService(deployment);
        for (InstancePlan const &plan : deployment.instances())
            CPPUNIT_ASSERT_MESSAGE(plan.name, deployment.process(plan.name).isRunning());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InputTest);

} // namespace almondwing
