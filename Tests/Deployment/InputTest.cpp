// Tests of malformed input and of input from other clusters on every socket of every instance.

#include "Deployment.h"

#include <LibFrontEnd/UdpSocket.h>
#include <LibWire/WireCodec.h>

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

namespace {

constexpr Endpoint anyLoopbackPort{.address = 0x7f000001, .port = 0};
constexpr std::size_t oversizedBytes = 9000;

// The first field of every envelope is the protocol version, which is 1.
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

// Encodes a valid message for one socket. The malformed datagrams are derived from it.
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

std::vector<std::string> malformedDatagrams(Encoder const &encode)
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

    // Calls `send` and waits until the metric has grown by at least `growth`. No datagram is lost on
    // loopback.
    static void expectGrowth(Deployment &deployment, InstanceSpec const &instance, std::string const &metric,
                             std::function<void()> const &send, double growth)
    {
        double const before = deployment.metric(instance, metric);
        send();
        bool const hasGrown =
            waitUntil([&] { return deployment.metric(instance, metric) >= before + growth; });
        CPPUNIT_ASSERT_MESSAGE(instance.name + " " + metric + ": " + std::to_string(before) + " before, "
                                   + std::to_string(deployment.metric(instance, metric)) + " now",
                               hasGrown);
    }

    static void expectMalformedDatagramsCounted(Deployment &deployment, InstanceSpec const &instance,
                                                std::string const &socket, Endpoint to, Encoder const &encode)
    {
        auto const datagrams = malformedDatagrams(encode);
        expectGrowth(
            deployment, instance, "almondwing_input_dropped_total{socket=\"" + socket + "\"}",
            [&] { sendAll(to, datagrams); }, static_cast<double>(datagrams.size()));
    }

    static void expectUnknownServiceCounted(Deployment &deployment, InstanceSpec const &instance, Endpoint to,
                                            Encoder const &encode)
    {
        std::string const datagram = encode(WireCodec::forCluster(clusterName), "no-such-service");
        expectGrowth(
            deployment, instance, "almondwing_unknown_service_total", [&] { sendAll(to, {datagram}); }, 1);
    }

    static constexpr double badHttpRequestCount = 5;

    // Sends bodies that are not JSON, a body that is too large, an announcement for an unknown service, and a
    // query with a malformed percent escape.
    static void sendBadHttp(Deployment &deployment, InstanceSpec const &instance)
    {
        constexpr std::size_t largeBody = 64U << 20U;
        for (std::string const &body :
             {std::string("{"), std::string(largeBody, 'x'), std::string(R"({"name":"a","service":"none"})")})
            CPPUNIT_ASSERT_EQUAL(std::string(), deployment.post(instance.http, "/v1/announce", body));
        CPPUNIT_ASSERT_EQUAL(std::string(), deployment.post(instance.http, "/v1/changes", "{\"a\":"));
        CPPUNIT_ASSERT_EQUAL(std::string(), deployment.get(instance.http, "/v1/explain?service=%zz"));
    }

    static void expectServing(Deployment &deployment)
    {
        auto const caller = deployment.startCaller({"--requests", "5", "--size", "3000", "--flows", "3",
                                                    "--flows-for-ms", "1000", "--deadline-ms", "30000"});
        Json const summary = deployment.waitForSummary(*caller);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(summary.dump(), 5, summary["requests"]["answered"].get<int>());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(summary.dump(), 3, summary["flows"]["aliveAtEnd"].get<int>());
    }

    // Guards against a daemon that crashes on malformed input, accepts it, or does not report it to
    // operators.
    void badInputIsCountedAndDropped()
    {
        Deployment deployment;
        deployment.startFourTargets();
        for (InstanceSpec const &instance : deployment.instances()) {
            expectMalformedDatagramsCounted(deployment, instance, "entry", instance.entry, encodeForEntry);
            expectMalformedDatagramsCounted(deployment, instance, "target", instance.target, encodeForTarget);
            expectMalformedDatagramsCounted(deployment, instance, "peer", instance.peer, encodeForPeer);
            expectUnknownServiceCounted(deployment, instance, instance.entry, encodeForEntry);
            expectUnknownServiceCounted(deployment, instance, instance.peer, encodeForPeer);
            // A target message for a service that is not configured belongs to no flow.
            std::string const stray = encodeForTarget(WireCodec::forCluster(clusterName), "no-such-service");
            expectGrowth(
                deployment, instance, "almondwing_target_messages_dropped_total",
                [&] { sendAll(instance.target, {stray}); }, 1);
            expectGrowth(
                deployment, instance, "almondwing_http_refused_total",
                [&] { sendBadHttp(deployment, instance); }, badHttpRequestCount);
        }
        expectServing(deployment);
        for (InstanceSpec const &instance : deployment.instances())
            CPPUNIT_ASSERT_MESSAGE(instance.name, deployment.process(instance.name).isRunning());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InputTest);

} // namespace almondwing
