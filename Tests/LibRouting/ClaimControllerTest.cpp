// Tests of what a dispatcher claims while the table changes.

#include <LibRouting/ClaimController.h>
#include <LibRouting/FlowSweeper.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <vector>

namespace almondwing {

namespace {

constexpr Timestamp start{1h};
ServiceId const service = ServiceId::fromName("cab-link");
InstanceId const self = InstanceId::fromName("zvolen-1");
InstanceId const other = InstanceId::fromName("banska-1");
TargetId const ownTarget = TargetId::fromName("cab-1");
TargetId const otherTarget = TargetId::fromName("cab-2");
FlowKey const flow{.service = service, .flow = 7};

std::uint16_t bucketOfTheFlow()
{
    return bucketOf(std::hash<FlowKey>{}(flow));
}

RoutedTarget routed(TargetId target, InstanceId dispatcher)
{
    return RoutedTarget{.record = TargetRecord{.id = target,
                                               .service = service,
                                               .sequence = TargetSequence{.epoch = 1, .owner = dispatcher}},
                        .dispatcher = dispatcher};
}

// A controller for a target of its own, in a table whose buckets all name one target.
struct Fixture
{
    Fixture()
    {
        this->blackboard.ownStatus.update([](OwnStatus status) {
            status.self.id = self;
            return status;
        });
        this->blackboard.flowTableStatus.update(ownTarget, [](auto const &) {
            return FlowTableStatus{.state = FlowTableState::Complete, .since = start};
        });
        this->blackboard.flows.update(
            flow, [](auto const &) { return FlowRecord{.target = ownTarget, .state = FlowState::Open}; });
    }

    void assignAllBuckets(TargetId target, TargetId previous, Timestamp now)
    {
        auto routes = std::make_shared<ServiceRoutes>();
        routes->id = service;
        routes->targets = {routed(ownTarget, self), routed(otherTarget, other)};
        std::ranges::sort(routes->targets, {}, [](RoutedTarget const &entry) { return entry.record.id; });
        bool const isFirst = routes->targets.front().record.id == target;
        routes->buckets.fill(isFirst ? 0 : 1);
        routes->recentMoves = {{.bucket = bucketOfTheFlow(), .previous = previous, .at = now}};
        this->blackboard.routingView.update([&](RoutingView const &) {
            return RoutingView{.services = {{service, routes}},
                               .serviceOfTarget = {{ownTarget, service}, {otherTarget, service}}};
        });
    }

    bool isClaimed() const { return !this->sent.empty() && isIn(this->sent.back()); }

    static bool isIn(ClaimUpdate const &update)
    {
        return std::ranges::binary_search(update.buckets, bucketOfTheFlow());
    }

    Blackboard blackboard;
    std::vector<ClaimUpdate> sent;
    ClaimController controller{blackboard,
                               Outbox{.sendToInstance =
                                          [this](InstanceId, PeerMessage const &message) {
                                              this->sent.push_back(std::get<ClaimUpdate>(message));
                                          }},
                               [](TargetId) { return std::vector<std::uint16_t>{}; }};
};

} // namespace

class ClaimControllerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimControllerTest);
    CPPUNIT_TEST(foreignBucketIsClaimed);
    CPPUNIT_TEST(returnedBucketStaysClaimed);
    CPPUNIT_TEST(possibleFlowsAreClaimedUntilTheyWouldBeIdle);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a flow that nobody finds after its bucket has moved to another target.
    void foreignBucketIsClaimed()
    {
        Fixture fixture;
        fixture.assignAllBuckets(otherTarget, ownTarget, start);
        fixture.controller.tick(start);
        CPPUNIT_ASSERT(fixture.isClaimed());
    }

    // Guards against a claim that is withdrawn as soon as the bucket is back, while instances that still have
    // the table before it look for the flow at the other target.
    void returnedBucketStaysClaimed()
    {
        Fixture fixture;
        fixture.assignAllBuckets(otherTarget, ownTarget, start);
        fixture.controller.tick(start);
        fixture.assignAllBuckets(ownTarget, otherTarget, start + 20s);
        for (Timestamp now = start + 20s; now < start + 20s + bucketMoveRetention; now += 500ms) {
            fixture.controller.tick(now);
            CPPUNIT_ASSERT(fixture.isClaimed());
        }
        // Later it is withdrawn with the next refresh.
        for (Timestamp now = start + 20s + bucketMoveRetention; now < start + 150s; now += 500ms)
            fixture.controller.tick(now);
        CPPUNIT_ASSERT(!fixture.isClaimed());
    }

    // Guards against a flow that was silent since the takeover and is claimed by nobody, and against claims
    // of a successor that never end.
    void possibleFlowsAreClaimedUntilTheyWouldBeIdle()
    {
        Fixture fixture;
        FlowSweeper sweeper(fixture.blackboard, Outbox{});
        fixture.blackboard.flows.remove(flow);
        fixture.blackboard.flowTableStatus.update(ownTarget, [](auto const &) {
            return FlowTableStatus{.state = FlowTableState::Partial, .since = start};
        });
        Timestamp const moved = start + 3s; // What the predecessor claimed has arrived by then.
        fixture.assignAllBuckets(otherTarget, ownTarget, moved);
        fixture.controller.tick(moved);
        CPPUNIT_ASSERT(fixture.isClaimed());
        sweeper.tick(start + idleAfter);
        fixture.controller.tick(start + idleAfter);
        CPPUNIT_ASSERT(fixture.isClaimed());
        sweeper.tick(start + idleAfter + 10s);
        fixture.controller.tick(start + idleAfter + 10s);
        CPPUNIT_ASSERT(!fixture.isClaimed());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimControllerTest);

} // namespace almondwing
