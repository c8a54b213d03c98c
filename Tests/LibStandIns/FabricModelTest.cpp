// Tests of the decisions of the fabric stand-in.

#include <LibStandIns/FabricModel.h>
#include <LibStandIns/SharedRandom.h>

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

namespace {

constexpr Endpoint caller{.address = 0x7f000001, .port = 9};
constexpr int packets = 2000;

std::vector<Endpoint> instances()
{
    return {{.address = 0x7f000001, .port = 1},
            {.address = 0x7f000001, .port = 2},
            {.address = 0x7f000001, .port = 3}};
}

unsigned order(FabricModel &model, std::string_view target)
{
    return model.control(HttpRequest::parse(target, "")).status;
}

std::map<Endpoint, int> spread(FabricModel &model)
{
    std::map<Endpoint, int> counts;
    for (int packet = 0; packet < packets; ++packet) {
        for (Delivery const &delivery : model.planForward(caller))
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
    CPPUNIT_TEST(lostFlowsStayLost);
    CPPUNIT_TEST(qualityIsApplied);
    CPPUNIT_TEST(malformedOrdersChangeNothing);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a fabric that hides faults because a caller always meets the same instance.
    void packetsReachAllInstances()
    {
        FabricModel model(instances(), {}, makeSharedRandom(1));
        auto const counts = spread(model);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, counts.size());
        for (auto const &[instance, number] : counts)
            CPPUNIT_ASSERT(number > packets / 4);
        FabricModel empty({}, {}, makeSharedRandom(1));
        CPPUNIT_ASSERT(empty.planForward(caller).empty());
    }

    // Guards against a partition that lets answers through, or that the fabric routes around.
    void cutInstancesLosePacketsBothWays()
    {
        FabricModel model(instances(), {}, makeSharedRandom(1));
        CPPUNIT_ASSERT_EQUAL(200U, order(model, "/cut?instance=127.0.0.1:2"));
        auto const counts = spread(model);
        CPPUNIT_ASSERT(!counts.contains(instances()[1]));
        CPPUNIT_ASSERT(counts.at(instances()[0]) + counts.at(instances()[2]) < packets * 3 / 4);
        CPPUNIT_ASSERT(model.planReply(instances()[1], caller).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, model.planReply(instances()[0], caller).size());
        CPPUNIT_ASSERT_EQUAL(200U, order(model, "/heal"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, spread(model).size());
    }

    // Guards against tests of planned changes that lose packets in the fabric itself.
    void withdrawnInstancesGetNoPackets()
    {
        FabricModel model(instances(), {}, makeSharedRandom(1));
        CPPUNIT_ASSERT_EQUAL(200U, order(model, "/withdraw?instance=127.0.0.1:2"));
        auto const counts = spread(model);
        CPPUNIT_ASSERT(!counts.contains(instances()[1]));
        CPPUNIT_ASSERT_EQUAL(packets, counts.at(instances()[0]) + counts.at(instances()[2]));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, model.planReply(instances()[1], caller).size());
        CPPUNIT_ASSERT_EQUAL(200U, order(model, "/leave?instance=127.0.0.1:1"));
        CPPUNIT_ASSERT_EQUAL(200U, order(model, "/join?instance=127.0.0.1:4"));
        CPPUNIT_ASSERT(spread(model).contains({.address = 0x7f000001, .port = 4}));
    }

    // Guards against silent connections that come back to life and hide that nobody noticed them.
    void lostFlowsStayLost()
    {
        FabricModel model(instances(), {}, makeSharedRandom(1));
        CPPUNIT_ASSERT_EQUAL(200U, order(model, "/lose-flow?caller=127.0.0.1:9"));
        CPPUNIT_ASSERT_EQUAL(200U, order(model, "/heal"));
        CPPUNIT_ASSERT(model.planForward(caller).empty());
        CPPUNIT_ASSERT(model.planReply(instances()[0], caller).empty());
        Endpoint const newCaller{.address = 0x7f000001, .port = 10};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, model.planForward(newCaller).size());
    }

    // Guards against a lossy run that in truth loses, doubles and delays nothing.
    void qualityIsApplied()
    {
        LinkQuality const quality{.loss = 0.5, .duplicate = 0.5, .delay = 0.5, .maximumDelay = 20ms};
        FabricModel model(instances(), quality, makeSharedRandom(1));
        std::map<std::size_t, int> copies;
        int delayed = 0;
        for (int packet = 0; packet < packets; ++packet) {
            auto const deliveries = model.planForward(caller);
            ++copies[deliveries.size()];
            for (Delivery const &delivery : deliveries) {
                delayed += delivery.delay > Duration{} ? 1 : 0;
                CPPUNIT_ASSERT(delivery.delay <= quality.maximumDelay);
            }
        }
        // Expected shares: 3/8 lost, 1/2 one copy, 1/8 two copies; half of the 3/4 copies delayed.
        CPPUNIT_ASSERT(copies[0] > packets / 4 && copies[1] > packets * 2 / 5 && copies[2] > packets / 12);
        CPPUNIT_ASSERT(delayed > packets / 4);
        CPPUNIT_ASSERT_EQUAL(200U, order(model, "/quality?loss=1"));
        CPPUNIT_ASSERT(model.planForward(caller).empty());
    }

    // Guards against a test that believes it has cut an instance although its order was misspelt.
    void malformedOrdersChangeNothing()
    {
        FabricModel model(instances(), {}, makeSharedRandom(1));
        CPPUNIT_ASSERT_EQUAL(404U, order(model, "/"));
        for (auto const *const target :
             {"/cut", "/cut?instance=", "/cut?instance=127.0.0.1:77", "/cut?instanc=127.0.0.1:1",
              "/lose-flow?caller=9", "/quality?loss=2", "/quality?loss=", "/quality?delay=x", "/join?"})
            CPPUNIT_ASSERT_EQUAL_MESSAGE(target, 400U, order(model, target));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, spread(model).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FabricModelTest);

} // namespace almondwing
