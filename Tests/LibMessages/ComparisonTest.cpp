// Tests of the comparison and hashing of messages, keys and records.

#include <LibMessages/PeerMessages.h>
#include <LibMessages/TargetAnnouncement.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <functional>
#include <string>
#include <tuple>
#include <vector>

namespace almondwing {

namespace {

template<typename Value>
using Changes = std::vector<std::function<void(Value &)>>;

// Applies each change, which sets one field, to a default value. No two of the results may be equal.
template<typename Value>
void expectDistinct(Changes<Value> const &changes)
{
    std::vector<Value> values(changes.size() + 1);
    for (std::size_t index = 0; index < changes.size(); ++index)
        changes[index](values[index]);
    for (std::size_t first = 0; first < values.size(); ++first) {
        for (std::size_t second = 0; second < values.size(); ++second)
            CPPUNIT_ASSERT_EQUAL(first == second, values[first] == values[second]);
    }
}

std::uint64_t smallNumber()
{
    return *rc::gen::inRange<std::uint64_t>(0, 3);
}

TargetSequence arbitrarySequence()
{
    return {.epoch = smallNumber(), .counter = smallNumber(), .owner = InstanceId{smallNumber()}};
}

RequestKey arbitraryRequestKey()
{
    return {.service = ServiceId{smallNumber()}, .caller = smallNumber(), .number = smallNumber()};
}

constexpr std::size_t shardCount = 64;
constexpr std::size_t keysPerShard = 100;
// Maximum difference between the number of keys in a shard and the mean. Five standard deviations of a
// binomial distribution of 6,400 keys over 64 shards, which are 9.9 each.
constexpr std::size_t maxDeviation = 50;

template<typename Key>
void expectEvenDistribution(std::function<Key(std::uint64_t)> const &makeKey)
{
    std::array<std::size_t, shardCount> counts{};
    for (std::uint64_t number = 0; number < shardCount * keysPerShard; ++number)
        ++counts[std::hash<Key>()(makeKey(number)) % shardCount];
    CPPUNIT_ASSERT(*std::ranges::min_element(counts) >= keysPerShard - maxDeviation);
    CPPUNIT_ASSERT(*std::ranges::max_element(counts) <= keysPerShard + maxDeviation);
}

} // namespace

class ComparisonTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ComparisonTest);
    CPPUNIT_TEST(sequencesCompareEpochFirst);
    CPPUNIT_TEST(equalityMatchesOrderAndHash);
    CPPUNIT_TEST(consecutiveKeysSpreadOverShards);
    CPPUNIT_TEST(swappedCallerAndNumberHashDifferently);
    CPPUNIT_TEST(recordsCompareByEveryField);
    CPPUNIT_TEST(requestMessagesCompareByEveryField);
    CPPUNIT_TEST(peerMessagesCompareByEveryField);
    CPPUNIT_TEST_SUITE_END();

    // Guards against delayed records of a previous dispatcher that win over those of the current one.
    void sequencesCompareEpochFirst()
    {
        CPPUNIT_ASSERT(rc::check("sequences are ordered by epoch, counter and owner", [] {
            TargetSequence const first = arbitrarySequence();
            TargetSequence const second = arbitrarySequence();
            auto const fields = [](TargetSequence const &sequence) {
                return std::tuple(sequence.epoch, sequence.counter, sequence.owner.value);
            };
            RC_ASSERT((first < second) == (fields(first) < fields(second)));
            RC_ASSERT((first == second) == (fields(first) == fields(second)));
        }));
    }

    // Guards against equal keys in different shards, which would result in two records of one request.
    void equalityMatchesOrderAndHash()
    {
        CPPUNIT_ASSERT(rc::check("equality of keys matches their order and their hashes", [] {
            RequestKey const first = arbitraryRequestKey();
            RequestKey const second = arbitraryRequestKey();
            RC_ASSERT((first == second) == (!(first < second) && !(second < first)));
            RC_ASSERT((first == second)
                      == (std::hash<RequestKey>()(first) == std::hash<RequestKey>()(second)));
        }));
    }

    // Guards against contention for the lock of one shard if callers use consecutive request or flow numbers.
    void consecutiveKeysSpreadOverShards()
    {
        ServiceId const service = ServiceId::fromName("duka-desk");
        expectEvenDistribution<FlowKey>(
            [service](std::uint64_t number) { return FlowKey{.service = service, .flow = number}; });
        expectEvenDistribution<RequestKey>([service](std::uint64_t number) {
            return RequestKey{.service = service, .caller = 7, .number = number};
        });
        expectEvenDistribution<RequestKey>([service](std::uint64_t number) {
            return RequestKey{.service = service, .caller = number, .number = 1};
        });
    }

    // Guards against a symmetric hash, with which request 2 of caller 1 and request 1 of caller 2 collide.
    void swappedCallerAndNumberHashDifferently()
    {
        CPPUNIT_ASSERT(rc::check("keys with caller and number swapped have different hashes", [] {
            auto const caller = *rc::gen::arbitrary<std::uint64_t>();
            auto const number = *rc::gen::distinctFrom(caller);
            RequestKey const key{.service = ServiceId{5}, .caller = caller, .number = number};
            RequestKey const swapped{.service = ServiceId{5}, .caller = number, .number = caller};
            RC_ASSERT(std::hash<RequestKey>()(key) != std::hash<RequestKey>()(swapped));
        }));
    }

    // Guards against a changed record that compares equal to the known one and is not sent to peers.
    void recordsCompareByEveryField()
    {
        expectDistinct<MemberRecord>(
            {[](auto &record) { record.id.value = 1; }, [](auto &record) { record.name = "brezno-1"; },
             [](auto &record) { record.failureDomain = "brezno"; },
             [](auto &record) { record.peerEndpoint.port = 1; },
             [](auto &record) { record.httpEndpoint.port = 1; }, [](auto &record) { record.incarnation = 1; },
             [](auto &record) { record.state = MemberState::Suspect; }});
        expectDistinct<TargetRecord>(
            {[](auto &record) { record.id.value = 1; }, [](auto &record) { record.name = "desk-1"; },
             [](auto &record) { record.service.value = 1; },
             [](auto &record) { record.failureDomain = "dar-a"; },
             [](auto &record) { record.packetEndpoint.port = 1; },
             [](auto &record) { record.httpEndpoint.port = 1; }, [](auto &record) { record.startMark = 1; },
             [](auto &record) { record.state = TargetState::Warm; },
             [](auto &record) { record.rampLevel = 1; }, [](auto &record) { record.connections = 1; },
             [](auto &record) { record.sequence.counter = 1; }});
        expectDistinct<TargetAnnouncement>(
            {[](auto &announcement) { announcement.name = "desk-1"; },
             [](auto &announcement) { announcement.startMark = 1; },
             [](auto &announcement) { announcement.state = AnnouncedState::Leaving; }});
    }

    // Guards against a resend that compares equal to the first message despite another deadline or class.
    void requestMessagesCompareByEveryField()
    {
        expectDistinct<Request>(
            {[](auto &request) { request.key.number = 1; }, [](auto &request) { request.attempt = 2; },
             [](auto &request) { request.requestClass = RequestClass::Bulk; },
             [](auto &request) { request.idempotency = Idempotency::Idempotent; },
             [](auto &request) { request.timeLeft = 1s; }, [](auto &request) { request.payload = "a"; }});
        expectDistinct<AnswerPart>({[](auto &part) { part.key.caller = 1; },
                                    [](auto &part) { part.tryId = 1; }, [](auto &part) { part.part = 1; },
                                    [](auto &part) { part.position = PartPosition::NotLast; },
                                    [](auto &part) { part.payload = "a"; }});
        expectDistinct<NotRun>({[](auto &outcome) { outcome.key.service.value = 1; },
                                [](auto &outcome) { outcome.reason = Reason::QueueFull; },
                                [](auto &outcome) { outcome.retryAfter = 1s; }});
    }

    // Guards against a comparison that ignores the search state of a forwarded message, and against messages
    // of different kinds that compare equal because their fields are equal.
    void peerMessagesCompareByEveryField()
    {
        expectDistinct<Forwarded>({[](auto &forwarded) { forwarded.caller.port = 1; },
                                   [](auto &forwarded) { forwarded.purpose = ForwardPurpose::Search; },
                                   [](auto &forwarded) { forwarded.hops = 1; },
                                   [](auto &forwarded) { forwarded.origin.value = 1; },
                                   [](auto &forwarded) { forwarded.candidates.emplace_back(); },
                                   [](auto &forwarded) { forwarded.isOriginFlowTableComplete = true; },
                                   [](auto &forwarded) { forwarded.originTarget.value = 1; },
                                   [](auto &forwarded) { forwarded.message = CloseFlow{}; }});
        expectDistinct<PeerMessage>(
            {[](auto &message) { message = FlowFound{}; }, [](auto &message) { message = RecordRelease{}; },
             [](auto &message) { message = Locate{}; }, [](auto &message) { message = Ping{}; },
             [](auto &message) { message = IndirectPing{}; }});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ComparisonTest);

} // namespace almondwing
