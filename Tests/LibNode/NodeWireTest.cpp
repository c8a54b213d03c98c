// Tests the codec of messages between instances.

#include <LibNode/NodeWire.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

namespace almondwing {

namespace {

constexpr Timestamp senderNow{5h};
constexpr Timestamp receiverNow{1h};

RegisteredTarget sampleTarget()
{
    return RegisteredTarget{.number = TargetNumber{0xfeedfacecafe},
                            .service = "orders",
                            .failureDomain = "dar-a",
                            .endpoint = Endpoint{.address = 0x0a800009, .port = 8080},
                            .slots = 2,
                            .state = RegisteredState::Draining,
                            .reportVersion =
                                ReportVersion{.startUnixMilliseconds = 1796379918051, .sequence = 77},
                            .lastSeenAt = senderNow - 300ms,
                            .coldUntil = senderNow + 1500ms};
}

ViewReply sampleReply()
{
    ViewReply reply{.bootId = 9,
                    .registryGeneration = 12,
                    .extent = RegistryExtent::Full,
                    .isRegistryComplete = true,
                    .isInContact = true,
                    .targets = {sampleTarget()},
                    .overdue = {TargetNumber{5}},
                    .controlInstances = {ControlPeer{
                        .endpoint = Endpoint{.address = 0x0a010001, .port = 8166}, .failureDomain = "dar-b"}},
                    .hasColdPermit = true,
                    .activity = {TargetActivity{.token = TargetToken{3}, .flows = 8}},
                    .loads = {GroupLoad{.group = TargetGroup{"orders", "dar-b"}, .flows = 3, .slots = 4}}};
    reply.configuration = ConfigurationView{
        .revision = 40,
        .configuration = FlowConfiguration{.version = 7,
                                           .routes = {FlowRoute{
                                               .endpoint = Endpoint{.address = 0xc6120001, .port = 443},
                                               .services = {WeightedService{"orders", 90},
                                                            WeightedService{"prints", 10}},
                                               .terms = {.isRepeatable = true, .latencyObjective = 400ms}}},
                                           .services = {"orders", "prints", "reports"}},
        .domainsTakenOut = {"dar-c"}};
    return reply;
}

} // namespace

class NodeWireTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NodeWireTest);
    CPPUNIT_TEST(agesAreIndependentOfClocks);
    CPPUNIT_TEST(viewMessagesRoundTrip);
    CPPUNIT_TEST(namesWithSpecialCharactersRoundTrip);
    CPPUNIT_TEST(registryExchangeRoundTrips);
    CPPUNIT_TEST(readinessOfNewEntryRoundTrips);
    CPPUNIT_TEST(missingRecordsRoundTrip);
    CPPUNIT_TEST(numbersOutOfRangeAreRejected);
    CPPUNIT_TEST(truncatedMessagesAreRejected);
    CPPUNIT_TEST(invalidFieldsAreRejected);
    CPPUNIT_TEST(longDurationsAreAccepted);
    CPPUNIT_TEST(deeplyNestedMessagesAreRejected);
    CPPUNIT_TEST_SUITE_END();

    void agesAreIndependentOfClocks()
    {
        auto const targets = parseTargets(formatTargets({sampleTarget()}, senderNow), receiverNow);
        CPPUNIT_ASSERT(targets.ok());
        RegisteredTarget expected = sampleTarget();
        expected.lastSeenAt = receiverNow - 300ms;
        expected.coldUntil = receiverNow + 1500ms;
        CPPUNIT_ASSERT(targets->front() == expected);
    }

    // Guards against a target or a configuration with a very long time that makes every entry refuse the
    // whole view, so that none gets a change any more.
    void longDurationsAreAccepted()
    {
        ViewReply reply = sampleReply();
        reply.targets.front().coldUntil = senderNow + 1000h;
        reply.targets.front().lastSeenAt = senderNow - 1000h;
        reply.configuration->configuration.idleTimeout = 1000h;
        reply.configuration->configuration.coldPhase = 1000h;
        auto const parsed = parseViewReply(formatViewReply(reply, senderNow), senderNow);
        CPPUNIT_ASSERT_MESSAGE(std::string(parsed.status().message()), parsed.ok());
        CPPUNIT_ASSERT(parsed->targets.front().coldUntil == senderNow + 24h);
        CPPUNIT_ASSERT(parsed->configuration->configuration.idleTimeout == 24h);
    }

    // Guards against records that are written without escaping quotes and control characters.
    void namesWithSpecialCharactersRoundTrip()
    {
        std::vector<RegisteredTarget> targets;
        for (char const *name : {"a\"b", "back\\slash", "line\nbreak", "", "Žvolen", "a\"b"}) {
            targets.push_back(sampleTarget());
            targets.back().service = name;
            targets.back().failureDomain = std::string(name) + "-domain";
        }
        auto const parsed = parseTargets(formatTargets(targets, senderNow), senderNow);
        CPPUNIT_ASSERT(parsed.ok());
        CPPUNIT_ASSERT(*parsed == targets);
        ViewReply const reply{.targets = targets};
        auto const parsedReply = parseViewReply(formatViewReply(reply, senderNow), senderNow);
        CPPUNIT_ASSERT(parsedReply.ok());
        CPPUNIT_ASSERT(*parsedReply == reply);
    }

    void viewMessagesRoundTrip()
    {
        auto const reply = parseViewReply(formatViewReply(sampleReply(), senderNow), senderNow);
        CPPUNIT_ASSERT(reply.ok());
        CPPUNIT_ASSERT(*reply == sampleReply());
        ViewRequest const request{.instance = "entry-1",
                                  .failureDomain = "dar-a",
                                  .bootId = 1,
                                  .registryGeneration = 2,
                                  .revision = 3,
                                  .activity =
                                      std::vector{TargetActivity{.token = TargetToken{3}, .flows = 8}}};
        auto const parsed = parseViewRequest(formatViewRequest(request));
        CPPUNIT_ASSERT(parsed.ok());
        CPPUNIT_ASSERT(*parsed == request);
    }

    void registryExchangeRoundTrips()
    {
        RegistryExchange const exchange{
            .from = Endpoint{.address = 0x0a010001, .port = 8166},
            .failureDomain = "dar-a",
            .bootId = 4,
            .peers = sampleReply().controlInstances,
            .reachablePeers = {Endpoint{.address = 0x0a020001, .port = 8166}},
            .targets = {sampleTarget()},
            .heartbeats = {RegisteredTarget{.number = TargetNumber{9},
                                            .reportVersion =
                                                ReportVersion{.startUnixMilliseconds = 5, .sequence = 6},
                                            .lastSeenAt = senderNow - 700ms}},
            .receiverBootId = 8,
            .flows = sampleReply().loads};
        auto const parsed = parseRegistryExchange(formatRegistryExchange(exchange, senderNow), senderNow);
        CPPUNIT_ASSERT(parsed.ok());
        CPPUNIT_ASSERT(*parsed == exchange);
    }

    void readinessOfNewEntryRoundTrips()
    {
        ViewRequest const request{.instance = "e",
                                  .failureDomain = "dar-a",
                                  .isNewSource = true,
                                  .readiness = Endpoint{.address = 0x0a010002, .port = 8167}};
        CPPUNIT_ASSERT(*parseViewRequest(formatViewRequest(request)) == request);
    }

    void missingRecordsRoundTrip()
    {
        RegistryExchangeReply const reply{.bootId = 4, .missing = {TargetNumber{7}, TargetNumber{9}}};
        CPPUNIT_ASSERT(*parseRegistryExchangeReply(formatRegistryExchangeReply(reply)) == reply);
        CPPUNIT_ASSERT(parseRegistryExchangeReply(R"({"boot":4})")->missing.empty());
    }

    // Guards against numbers that become other numbers, such as -1 slots, and against undefined conversions.
    void numbersOutOfRangeAreRejected()
    {
        std::string const valid = R"([[1,"o","d","1.2.3.4:1",2,0,5,6,7,8]])";
        CPPUNIT_ASSERT(parseTargets(valid, receiverNow).ok());
        for (char const *const text :
             {R"([[-1,"o","d","1.2.3.4:1",2,0,5,6,7,8]])", R"([[1.5,"o","d","1.2.3.4:1",2,0,5,6,7,8]])",
              R"([[1,"o","d","1.2.3.4:1",4294967296,0,5,6,7,8]])",
              R"([[1,"o","d","1.2.3.4:1",-2,0,5,6,7,8]])", R"([[1,"o","d","1.2.3.4:1",2,3,5,6,7,8]])",
              R"([[1,"o","d","1.2.3.4:1",2,0,1e300,6,7,8]])",
              R"([[1,"o","d","1.2.3.4:1",2,0,5,18446744073709551616,7,8]])",
              R"([[1,"o","d","1.2.3.4:1",2,0,5,6,7,-8]])"})
            CPPUNIT_ASSERT_MESSAGE(text, !parseTargets(text, receiverNow).ok());
    }

    void truncatedMessagesAreRejected()
    {
        std::string const text = formatViewReply(sampleReply(), senderNow);
        bool const holds = rc::check([&text] {
            auto const length = *rc::gen::inRange<std::size_t>(0, text.size());
            RC_ASSERT(!parseViewReply(text.substr(0, length), senderNow).ok());
            RC_ASSERT(!parseRegistryExchange(text.substr(0, length), senderNow).ok());
        });
        CPPUNIT_ASSERT(holds);
    }

    void invalidFieldsAreRejected()
    {
        CPPUNIT_ASSERT(!parseViewRequest("[]").ok());
        CPPUNIT_ASSERT(!parseTargets(R"([[1,"s","d","10.0.0.1:80",2,9,1,1,0,0]])", receiverNow).ok());
        CPPUNIT_ASSERT(!parseTargets(R"([[1,"s","d","nowhere",2,0,1,1,0,0]])", receiverNow).ok());
        CPPUNIT_ASSERT(!parseTargets(R"([[1,"s","d","10.0.0.1:80",2,0,1,1,1e18,0]])", receiverNow).ok());
        CPPUNIT_ASSERT(parseTargets(R"([[1,"s","d","10.0.0.1:80",2,0,1,1,0,0]])", receiverNow).ok());
    }

    // Guards against a message that exhausts the stack of its receiver, because a nested value is copied.
    void deeplyNestedMessagesAreRejected()
    {
        constexpr std::size_t depth = 100'000;
        std::string const lists = std::string(depth, '[') + std::string(depth, ']');
        std::string text = formatViewReply(sampleReply(), senderNow);
        text.back() = ',';
        for (char const *member : {"controls", "overdue", "unknown"}) {
            std::string const nested = fmt::format("{}\"{}\":{}}}", text, member, lists);
            CPPUNIT_ASSERT_MESSAGE(member, !parseViewReply(nested, senderNow).ok());
        }
        CPPUNIT_ASSERT(!parseTargets(lists, senderNow).ok());
        CPPUNIT_ASSERT(!parseRegistryExchange("{\"from\":" + lists + "}", senderNow).ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeWireTest);

} // namespace almondwing
