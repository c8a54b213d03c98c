// Tests the events that explain a failure afterwards: each decision and each change in the state of an
// instance is reported once, with the fields that it was based on.

#include "EntryFixture.h"

namespace almondwing {

namespace {

void requireFields(std::string const &line, std::vector<std::string> const &names)
{
    for (std::string const &name : names) {
        std::string const start = fmt::format("{}=", name);
        bool const isPresent =
            line.starts_with(start) || line.find(fmt::format(" {}", start)) != std::string::npos;
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} is missing in: {}", name, line), isPresent);
    }
}

} // namespace

class EventReportTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventReportTest);
    CPPUNIT_TEST(placedFlowIsReportedOnce);
    CPPUNIT_TEST(resetIsReportedWithReason);
    CPPUNIT_TEST(dropIsReportedWithReason);
    CPPUNIT_TEST(expiryOfHeldPacketIsReported);
    CPPUNIT_TEST(unreachableTargetIsReported);
    CPPUNIT_TEST(viewAndSourceChangesAreReported);
    CPPUNIT_TEST(changesAndReadsAreReported);
    CPPUNIT_TEST(domainServiceChangesAreReportedByAllInstances);
    CPPUNIT_TEST(targetLifecycleIsReported);
    CPPUNIT_TEST(majorityContactChangesAreReported);
    CPPUNIT_TEST_SUITE_END();

    // Adds the fields that identify the flow and the view that the decision was based on.
    static std::vector<std::string> withFlow(std::vector<std::string> names)
    {
        names.insert(names.end(), {"caller", "service", "revision", "view_age_ms", "token"});
        return names;
    }

    // Waits for the first report. The tests check at their end that there is no second one.
    static std::string firstOf(RecordedEvents const &events, Event event, std::string const &text)
    {
        NodeFixture::waitUntil(text.c_str(), [&] { return events.count(event, text) > 0; });
        return events.of(event, text).front();
    }

    void placedFlowIsReportedOnce()
    {
        EntryFixture entryFixture;
        RecordedEvents const &events = entryFixture.nodeFixture.events;
        Endpoint const packets = freeEndpointOf<boost::asio::ip::udp>();
        EntryNode const &entry = entryFixture.startEntry(packets, freeEndpoint());
        std::uint32_t const token = tokenOf(TargetNumber{7}).value;
        entryFixture.send(packets, "open 11 0");
        std::string const placed = firstOf(events, Event::FlowPlaced, "caller=127.0.0.1:11 ");
        requireFields(placed, withFlow({"target", "endpoint", "copy"}));
        CPPUNIT_ASSERT_MESSAGE(placed, placed.find("target=7 ") != std::string::npos);
        entryFixture.send(packets, fmt::format("data 11 {}", token));
        requireFields(firstOf(events, Event::FlowEstablished, "caller=127.0.0.1:11 "),
                      {"service", "revision", "view_age_ms", "target", "after_ms"});
        entryFixture.send(packets, fmt::format("data 11 {}", token));
        NodeFixture::waitUntil("the last packet is forwarded",
                               [&] { return entry.counters().forwarded >= 3; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.count(Event::FlowPlaced));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.count(Event::FlowEstablished));
    }

    void resetIsReportedWithReason()
    {
        EntryFixture entryFixture;
        RecordedEvents const &events = entryFixture.nodeFixture.events;
        Endpoint const packets = freeEndpointOf<boost::asio::ip::udp>();
        EntryNode const &entry = entryFixture.startEntry(packets, freeEndpoint());
        entryFixture.send(packets, "elsewhere 12 0");
        requireFields(firstOf(events, Event::FlowReset, "reason=no-route"), withFlow({"reason"}));
        // The target does not listen for direct checks, so it counts as exited once it has deregistered.
        entryFixture.nodeFixture.callUntilSuccess("/leave", "7");
        auto const requireReset = [&](std::string const &reason) {
            NodeFixture::waitUntil(reason.c_str(), [&] {
                entryFixture.send(packets, fmt::format("data 13 {} 0 100", tokenOf(TargetNumber{7}).value));
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
                return events.count(Event::FlowReset, reason) > 0;
            });
            requireFields(firstOf(events, Event::FlowReset, reason), withFlow({"reason"}));
        };
        requireReset("reason=target-unreachable");
        entryFixture.send(packets, "open 14 0");
        requireFields(firstOf(events, Event::FlowReset, "reason=no-target"), withFlow({"reason"}));
        RegisteredTarget successor = reportedTarget(8, 1, RegisteredState::Ready);
        successor.endpoint = entryFixture.testSocket->localEndpoint();
        successor.reportVersion.startUnixMilliseconds = 200;
        entryFixture.nodeFixture.callUntilSuccess("/heartbeat", heartbeatOf(successor));
        requireReset("reason=target-ended");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.count(Event::FlowReset, "reason=no-route"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.count(Event::FlowReset, "reason=no-target"));
        CPPUNIT_ASSERT_EQUAL(events.count(Event::FlowReset),
                             static_cast<std::size_t>(entry.counters().reset));
    }

    void dropIsReportedWithReason()
    {
        EntryFixture entryFixture;
        RecordedEvents const &events = entryFixture.nodeFixture.events;
        Endpoint const packets = freeEndpointOf<boost::asio::ip::udp>();
        EntryNode const &entry = entryFixture.startEntry(packets, freeEndpoint());
        entryFixture.send(packets, "foreign 15 0");
        requireFields(firstOf(events, Event::PacketDropped, "reason=foreign"), withFlow({"reason"}));
        entryFixture.send(packets, "data 15 0");
        requireFields(firstOf(events, Event::PacketDropped, "reason=unknown-flow"), withFlow({"reason"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.count(Event::PacketDropped));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, entry.counters().dropped);
    }

    // Guards against a packet that is held until it expires and then dropped without an event.
    void expiryOfHeldPacketIsReported()
    {
        EntryFixture entryFixture;
        RecordedEvents const &events = entryFixture.nodeFixture.events;
        Endpoint const packets = freeEndpointOf<boost::asio::ip::udp>();
        EntryNode const &entry = entryFixture.openEntry(packets, freeEndpoint(), {freeEndpoint()});
        entryFixture.send(packets, "open 16 0");
        requireFields(firstOf(events, Event::PacketHeld, "caller=127.0.0.1:16 "), withFlow({}));
        requireFields(firstOf(events, Event::PacketDropped, "reason=hold-expired"), withFlow({"reason"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.count(Event::PacketHeld));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.count(Event::PacketDropped));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, entry.counters().held);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, entry.counters().dropped);
    }

    // The target receives packets, but no process listens at its TCP port, so the check is refused.
    void unreachableTargetIsReported()
    {
        EntryFixture entryFixture;
        RecordedEvents const &events = entryFixture.nodeFixture.events;
        Endpoint const packets = freeEndpointOf<boost::asio::ip::udp>();
        entryFixture.startEntry(packets, freeEndpoint());
        entryFixture.send(packets, "open 17 0");
        firstOf(events, Event::FlowPlaced, "caller=127.0.0.1:17 ");
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        entryFixture.send(packets, "open 17 0 1");
        requireFields(firstOf(events, Event::TargetSuspected, "target=7 "), {"target", "endpoint"});
        requireFields(firstOf(events, Event::TargetUnreachable, "target=7 "),
                      {"target", "endpoint", "check", "waiting_flows"});
        entryFixture.send(packets, fmt::format("data 18 {}", tokenOf(TargetNumber{7}).value));
        requireFields(firstOf(events, Event::FlowReset, "reason=target-unreachable"), withFlow({"reason"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.count(Event::TargetSuspected));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.count(Event::TargetUnreachable));
    }

    void viewAndSourceChangesAreReported()
    {
        EntryFixture entryFixture;
        RecordedEvents const &events = entryFixture.nodeFixture.events;
        entryFixture.startEntry(freeEndpointOf<boost::asio::ip::udp>(), freeEndpoint());
        requireFields(firstOf(events, Event::ViewSourceFollowed, "source="),
                      {"source", "in_contact", "complete"});
        requireFields(firstOf(events, Event::ViewChanged, "targets=1 "),
                      {"revision", "version", "targets", "overdue", "taken_out", "complete"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.count(Event::ViewSourceFollowed));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, events.count(Event::ViewSourceLost));
        entryFixture.nodeFixture.stopControlInstance(0);
        requireFields(firstOf(events, Event::ViewSourceLost, "source="), {"source", "reason"});
    }

    void changesAndReadsAreReported()
    {
        NodeFixture fixture(1);
        RecordedEvents const &events = fixture.events;
        std::vector<std::string> const fields{"path", "bytes", "status", "reason"};
        fixture.callUntilSuccess("/replace", "3 198.18.0.1:443 orders");
        requireFields(firstOf(events, Event::ChangeAnswered, "status=200 "), fields);
        requireFields(firstOf(events, Event::ConfigurationInForce, "version=3 "),
                      {"version", "routes", "revision"});
        CPPUNIT_ASSERT_EQUAL(400U, fixture.call(0, "/replace", "nonsense").status);
        requireFields(firstOf(events, Event::ChangeAnswered, "status=400 "), fields);
        fixture.callUntilSuccess("/read", "");
        std::string const read = firstOf(events, Event::ChangeAnswered, "path=/read ");
        requireFields(read, fields);
        CPPUNIT_ASSERT_MESSAGE(read, read.find("version=3 ") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             events.count(Event::ChangeAnswered, "path=/replace bytes=23 status=200 "));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.count(Event::ChangeAnswered, "status=400 "));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.count(Event::ConfigurationInForce));
    }

    // Guards against a failure domain that is taken out of service without a log line at the instances that
    // didn't answer the operator.
    void domainServiceChangesAreReportedByAllInstances()
    {
        NodeFixture fixture(3);
        RecordedEvents const &events = fixture.events;
        fixture.callUntilSuccess("/replace", "3 198.18.0.1:443 orders");
        fixture.callUntilSuccess("/take-out", "dar-b");
        NodeFixture::waitUntil("all instances have taken the failure domain out", [&] {
            return events.count(Event::DomainServiceChanged, "domain=dar-b service=out revision=") == 3;
        });
        fixture.callUntilSuccess("/bring-back", "dar-b");
        NodeFixture::waitUntil("all instances have brought the failure domain back", [&] {
            return events.count(Event::DomainServiceChanged, "domain=dar-b service=in revision=") == 3;
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, events.count(Event::DomainServiceChanged));
        CPPUNIT_ASSERT_EQUAL(404U, fixture.call(0, "/take-out", "nowhere").status);
        firstOf(events, Event::ChangeAnswered, "status=404 ");
    }

    void targetLifecycleIsReported()
    {
        NodeFixture fixture(1);
        RecordedEvents const &events = fixture.events;
        fixture.callUntilSuccess("/heartbeat", heartbeat(9, 1, RegisteredState::Ready));
        fixture.callUntilSuccess("/heartbeat", heartbeat(9, 2, RegisteredState::Ready));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.count(Event::TargetAnnounced));
        requireFields(events.of(Event::TargetAnnounced).front(),
                      {"target", "service", "domain", "endpoint", "state", "born", "sequence", "cold_ms"});
        fixture.callUntilSuccess("/heartbeat", heartbeat(9, 3, RegisteredState::Draining));
        std::vector<std::string> const answered{"target", "state", "holders", "known", "status"};
        requireFields(firstOf(events, Event::EndAnswered, "state=draining "), answered);
        fixture.callUntilSuccess("/leave", "9");
        requireFields(firstOf(events, Event::EndAnswered, "state=gone "), answered);
        requireFields(firstOf(events, Event::TargetGone, "target=9 "), {"target", "born"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.count(Event::TargetAnnounced));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.count(Event::EndAnswered));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.count(Event::TargetGone));
    }

    void majorityContactChangesAreReported()
    {
        NodeFixture fixture(3);
        RecordedEvents const &events = fixture.events;
        fixture.callUntilSuccess("/replace", "3 198.18.0.1:443 orders");
        NodeFixture::waitUntil("all instances are in contact",
                               [&] { return events.count(Event::MajorityContactRegained) >= 3; });
        std::size_t const lost = events.count(Event::MajorityContactLost);
        fixture.stopControlInstance(1);
        fixture.stopControlInstance(2);
        NodeFixture::waitUntil("the last instance has lost contact",
                               [&] { return events.count(Event::MajorityContactLost) > lost; });
        CPPUNIT_ASSERT_EQUAL(lost + 1, events.count(Event::MajorityContactLost));
        requireFields(events.of(Event::MajorityContactLost).back(), {"term", "applied"});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventReportTest);

} // namespace almondwing
