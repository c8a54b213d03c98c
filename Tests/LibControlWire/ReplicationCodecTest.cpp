// Tests of the JSON codec of replica messages.

#include <LibControlWire/ReplicationCodec.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace almondwing {

namespace {

template<typename Enum>
Enum arbitraryEnum(Enum last)
{
    return static_cast<Enum>(*rc::gen::inRange(0, static_cast<int>(last) + 1));
}

Replica arbitraryReplica()
{
    return Replica{.id = ReplicaId{*rc::gen::arbitrary<std::uint64_t>()},
                   .instance = *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'))};
}

std::vector<Replica> arbitraryReplicas()
{
    std::vector<Replica> replicas(*rc::gen::inRange<std::size_t>(0, 4));
    for (Replica &replica : replicas)
        replica = arbitraryReplica();
    return replicas;
}

std::uint64_t arbitraryNumber()
{
    return *rc::gen::arbitrary<std::uint64_t>();
}

LogEntry arbitraryEntry()
{
    return LogEntry{.index = arbitraryNumber(),
                    .term = arbitraryNumber(),
                    .kind = arbitraryEnum(EntryKind::Membership),
                    .payload = *rc::gen::arbitrary<std::string>(),
                    .voters = arbitraryReplicas()};
}

ReplicaMessage arbitraryMessage()
{
    switch (*rc::gen::inRange<std::size_t>(0, std::variant_size_v<ReplicaMessage>)) {
    case 0:
        return VoteRequest{arbitraryEnum(VoteKind::Vote), arbitraryNumber(), arbitraryNumber(),
                           arbitraryNumber()};
    case 1:
        return VoteReply{arbitraryEnum(VoteKind::Vote), arbitraryNumber(),
                         arbitraryEnum(VoteVerdict::Refused)};
    case 2:
        return AppendRequest{arbitraryNumber(), arbitraryNumber(),
                             arbitraryNumber(), {arbitraryEntry(), arbitraryEntry()},
                             arbitraryNumber(), arbitraryNumber()};
    case 3:
        return AppendReply{arbitraryNumber(), arbitraryEnum(AppendVerdict::Refused),
                           arbitraryNumber(), arbitraryNumber(),
                           arbitraryNumber(), arbitraryNumber()};
    case 4:
        return SnapshotPart{
            arbitraryNumber(), arbitraryNumber(), arbitraryNumber(), arbitraryReplicas(),
            arbitraryNumber(), arbitraryNumber(), arbitraryNumber(), *rc::gen::arbitrary<std::string>(),
            arbitraryNumber()};
    case 5:
        return SnapshotReply{arbitraryNumber(), arbitraryNumber(), arbitraryNumber(), arbitraryNumber(),
                             arbitraryNumber()};
    case 6:
        return JoinRequest{arbitraryNumber()};
    case 7:
        return BootstrapQuery{arbitraryNumber(), {"brezno-1", "zvolen-1"}};
    case 8:
        return BootstrapReply{arbitraryNumber(), arbitraryEnum(BootstrapVerdict::OtherSettings)};
    default:
        return BootstrapCommand{arbitraryEnum(BootstrapOrigin::Member), arbitraryReplicas()};
    }
}

ReplicaEnvelope arbitraryEnvelope()
{
    return ReplicaEnvelope{.from = arbitraryReplica(),
                           .to = arbitraryReplica(),
                           .history = HistoryId{arbitraryNumber()},
                           .message = arbitraryMessage()};
}

} // namespace

class ReplicationCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicationCodecTest);
    CPPUNIT_TEST(messagesRoundTrip);
    CPPUNIT_TEST(corruptedBodiesAreRejectedOrDecoded);
    CPPUNIT_TEST(foreignBodiesAreRejected);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a field that is not encoded or decoded, and against payload bytes that are invalid in
    // JSON.
    void messagesRoundTrip()
    {
        CPPUNIT_ASSERT(rc::check("messages round-trip", [] {
            ReplicaEnvelope const envelope = arbitraryEnvelope();
            auto const decoded =
                decodeReplicaEnvelope("sk-central", encodeReplicaEnvelope("sk-central", envelope));
            RC_ASSERT(decoded.ok());
            RC_ASSERT(*decoded == envelope);
        }));
    }

    // Guards against an exception or a crash that a peer could cause with a corrupted body.
    void corruptedBodiesAreRejectedOrDecoded()
    {
        CPPUNIT_ASSERT(rc::check("corrupted bodies are rejected or decoded", [] {
            std::string body = encodeReplicaEnvelope("sk-central", arbitraryEnvelope());
            for (int count = *rc::gen::inRange(1, 4); count > 0; --count)
                body[*rc::gen::inRange<std::size_t>(0, body.size())] = *rc::gen::arbitrary<char>();
            body.resize(*rc::gen::inRange<std::size_t>(0, body.size() + 1));
            auto const decoded = decodeReplicaEnvelope("sk-central", body);
            RC_ASSERT(decoded.ok() || !decoded.status().message().empty());
        }));
    }

    // Guards against accepting messages of another cluster or of an incompatible release.
    void foreignBodiesAreRejected()
    {
        std::string body = encodeReplicaEnvelope("sk-central", ReplicaEnvelope{{}, {}, {}, JoinRequest{}});
        CPPUNIT_ASSERT(decodeReplicaEnvelope("sk-central", body).ok());
        CPPUNIT_ASSERT(!decodeReplicaEnvelope("tz-dar", body).ok());
        body.replace(body.find("\"version\":1"), 11, "\"version\":2");
        CPPUNIT_ASSERT(!decodeReplicaEnvelope("sk-central", body).ok());
        CPPUNIT_ASSERT(!decodeReplicaEnvelope("sk-central", "[]").ok());
        CPPUNIT_ASSERT(!decodeReplicaEnvelope("sk-central", std::string(100000, '[')).ok());
        CPPUNIT_ASSERT(
            !decodeReplicaEnvelope("sk-central", std::string(maxReplicationBodyBytes + 1, ' ')).ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicationCodecTest);

} // namespace almondwing
