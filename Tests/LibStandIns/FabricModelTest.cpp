// Tests of the decisions of the fabric stand-in.

#include <LibStandIns/FabricModel.h>
#include <LibStandIns/SharedRandom.h>

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

namespace {

constexpr Endpoint caller{.address = 0x7f000001, .port = 9};
constexpr int packetCount = 2000;

std::vector<Endpoint> instances()
{
    return {{.address = 0x7f000001, .port = 1},
            {.address = 0x7f000001, .port = 2},
            {.address = 0x7f000001, .port = 3}};
}

unsigned control(FabricModel &model, std::string_view pathAndQuery)
{
    return model.control(HttpRequest::parse(pathAndQuery, "")).status;
}

std::map<Endpoint, int> countDeliveries(FabricModel &model)
{
    std::map<Endpoint, int> counts;
    for (int packet = 0; packet < packetCount; ++packet) {
        for (Delivery const &delivery : model.routeToInstance(caller))
            ++counts[delivery.instance];
    }
    return counts;
}

} // namespace

class FabricModelTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FabricModelTest);
    CPPUNIT_TEST(packetsReachAllInstances);
    CPPUNIT_TEST(cutInstancesLosePacketsBothWays);
    CPPUNIT_TEST(withdrawnInstancesGetNoPackets);
    CPPUNIT_TEST(lostCallersStayLost);
    CPPUNIT_TEST(linkQualityIsApplied);
    CPPUNIT_TEST(malformedControlRequestsChangeNothing);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a fabric that hides faults because all packets of a caller reach the same instance.
    void packetsReachAllInstances()
    {
        FabricModel model(instances(), {}, makeSharedRandom(1));
        auto const counts = countDeliveries(model);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, counts.size());
        for (auto const &[instance, number] : counts)
            CPPUNIT_ASSERT(number > packetCount / 4);
        FabricModel empty({}, {}, makeSharedRandom(1));
        CPPUNIT_ASSERT(empty.routeToInstance(caller).empty());
    }

    // Guards against a partition that lets replies through, or that the fabric routes around.
    void cutInstancesLosePacketsBothWays()
    {
        FabricModel model(instances(), {}, makeSharedRandom(1));
        CPPUNIT_ASSERT_EQUAL(200U, control(model, "/cut?instance=127.0.0.1:2"));
        auto const counts = countDeliveries(model);
        CPPUNIT_ASSERT(!counts.contains(instances()[1]));
        CPPUNIT_ASSERT(counts.at(instances()[0]) + counts.at(instances()[2]) < packetCount * 3 / 4);
        CPPUNIT_ASSERT(model.routeToCaller(instances()[1], caller).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, model.routeToCaller(instances()[0], caller).size());
        CPPUNIT_ASSERT_EQUAL(200U, control(model, "/heal"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, countDeliveries(model).size());
    }

    // Guards against packet loss in the fabric itself during tests of planned changes.
    void withdrawnInstancesGetNoPackets()
    {
        FabricModel model(instances(), {}, makeSharedRandom(1));
        CPPUNIT_ASSERT_EQUAL(200U, control(model, "/withdraw?instance=127.0.0.1:2"));
        auto const counts = countDeliveries(model);
        CPPUNIT_ASSERT(!counts.contains(instances()[1]));
        CPPUNIT_ASSERT_EQUAL(packetCount, counts.at(instances()[0]) + counts.at(instances()[2]));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, model.routeToCaller(instances()[1], caller).size());
        CPPUNIT_ASSERT_EQUAL(200U, control(model, "/leave?instance=127.0.0.1:1"));
        CPPUNIT_ASSERT_EQUAL(200U, control(model, "/join?instance=127.0.0.1:4"));
        CPPUNIT_ASSERT(countDeliveries(model).contains({.address = 0x7f000001, .port = 4}));
    }

    // Guards against a lost caller whose packets pass again, which would hide that a caller did not detect
    // its silent flows.
    void lostCallersStayLost()
    {
        FabricModel model(instances(), {}, makeSharedRandom(1));
        CPPUNIT_ASSERT_EQUAL(200U, control(model, "/lose-flow?caller=127.0.0.1:9"));
        CPPUNIT_ASSERT_EQUAL(200U, control(model, "/heal"));
        CPPUNIT_ASSERT(model.routeToInstance(caller).empty());
        CPPUNIT_ASSERT(model.routeToCaller(instances()[0], caller).empty());
        Endpoint const newCaller{.address = 0x7f000001, .port = 10};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, model.routeToInstance(newCaller).size());
    }

    // Guards against a lossy link that does not lose, duplicate or delay packets.
    void linkQualityIsApplied()
    {
        LinkQuality const quality{.loss = 0.5, .duplicate = 0.5, .delay = 0.5, .maxDelay = 20ms};
        FabricModel model(instances(), quality, makeSharedRandom(1));
        std::map<std::size_t, int> copies;
        int delayed = 0;
        for (int packet = 0; packet < packetCount; ++packet) {
            auto const deliveries = model.routeToInstance(caller);
            ++copies[deliveries.size()];
            for (Delivery const &delivery : deliveries) {
                delayed += delivery.delay > Duration{} ? 1 : 0;
                CPPUNIT_ASSERT(delivery.delay <= quality.maxDelay);
            }
        }
        // Expected fractions: 3/8 lost, 1/2 one copy, 1/8 two copies; half of the 3/4 copies delayed.
        CPPUNIT_ASSERT(copies[0] > packetCount / 4 && copies[1] > packetCount * 2 / 5
                       && copies[2] > packetCount / 12);
        CPPUNIT_ASSERT(delayed > packetCount / 4);
        CPPUNIT_ASSERT_EQUAL(200U, control(model, "/quality?loss=1"));
        CPPUNIT_ASSERT(model.routeToInstance(caller).empty());
    }

    // Guards against a misspelt control request that is accepted although it has no effect.
    void malformedControlRequestsChangeNothing()
    {
        FabricModel model(instances(), {}, makeSharedRandom(1));
        CPPUNIT_ASSERT_EQUAL(404U, control(model, "/"));
        for (auto const *const pathAndQuery :
             {"/cut", "/cut?instance=", "/cut?instance=127.0.0.1:77", "/cut?instanc=127.0.0.1:1",
              "/lose-flow?caller=9", "/quality?loss=2", "/quality?loss=", "/quality?delay=x", "/join?"})
            CPPUNIT_ASSERT_EQUAL_MESSAGE(pathAndQuery, 400U, control(model, pathAndQuery));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, countDeliveries(model).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FabricModelTest);

} // namespace almondwing
