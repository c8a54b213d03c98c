// Tests of the JSON codec of replica messages.

#include <LibControlWire/ReplicationCodec.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace almondwing {

namespace {

template<typename Choice>
Choice anyChoice(Choice last)
{
    return static_cast<Choice>(*rc::gen::inRange(0, static_cast<int>(last) + 1));
}

Replica anyReplica()
{
    return Replica{.id = ReplicaId{*rc::gen::arbitrary<std::uint64_t>()},
                   .instance = *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'))};
}

std::vector<Replica> anyReplicas()
{
    std::vector<Replica> replicas(*rc::gen::inRange<std::size_t>(0, 4));
    for (Replica &replica : replicas)
        replica = anyReplica();
    return replicas;
}

std::uint64_t anyNumber()
{
    return *rc::gen::arbitrary<std::uint64_t>();
}

LogEntry anyEntry()
{
    return LogEntry{.index = anyNumber(),
                    .term = anyNumber(),
                    .kind = anyChoice(EntryKind::Membership),
                    .payload = *rc::gen::arbitrary<std::string>(),
                    .voters = anyReplicas()};
}

ReplicaMessage anyMessage()
{
    switch (*rc::gen::inRange<std::size_t>(0, std::variant_size_v<ReplicaMessage>)) {
    case 0:
        return VoteRequest{anyChoice(VoteKind::Vote), anyNumber(), anyNumber(), anyNumber()};
    case 1:
        return VoteReply{anyChoice(VoteKind::Vote), anyNumber(), anyChoice(VoteVerdict::Refused)};
    case 2:
        return AppendRequest{anyNumber(), anyNumber(), anyNumber(), {anyEntry(), anyEntry()},
                             anyNumber(), anyNumber()};
    case 3:
        return AppendReply{anyNumber(), anyChoice(AppendVerdict::Refused),
                           anyNumber(), anyNumber(),
                           anyNumber(), anyNumber()};
    case 4:
        return SnapshotPart{anyNumber(), anyNumber(), anyNumber(), anyReplicas(),
                            anyNumber(), anyNumber(), anyNumber(), *rc::gen::arbitrary<std::string>(),
                            anyNumber()};
    case 5:
        return SnapshotReply{anyNumber(), anyNumber(), anyNumber(), anyNumber(), anyNumber()};
    case 6:
        return JoinRequest{anyNumber()};
    case 7:
        return BootstrapQuery{anyNumber(), {"brezno-1", "zvolen-1"}};
    case 8:
        return BootstrapReply{anyNumber(), anyChoice(BootstrapVerdict::OtherSettings)};
    default:
        return BootstrapCommand{anyChoice(BootstrapOrigin::Member), anyReplicas()};
    }
}

ReplicaEnvelope anyEnvelope()
{
    return ReplicaEnvelope{
        .from = anyReplica(), .to = anyReplica(), .history = HistoryId{anyNumber()}, .message = anyMessage()};
}

} // namespace

class ReplicationCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicationCodecTest);
    CPPUNIT_TEST(decodingUndoesEncoding);
    CPPUNIT_TEST(damagedBodiesAreRefusedOrStillMessages);
    CPPUNIT_TEST(foreignBodiesAreRefused);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a field that one side forgets, and against payload bytes that JSON texts can't hold.
    void decodingUndoesEncoding()
    {
        CPPUNIT_ASSERT(rc::check("decoding undoes encoding", [] {
            ReplicaEnvelope const envelope = anyEnvelope();
            auto const decoded =
                decodeReplicaEnvelope("sk-central", encodeReplicaEnvelope("sk-central", envelope));
            RC_ASSERT(decoded.ok());
            RC_ASSERT(*decoded == envelope);
        }));
    }

    // Guards against an exception or a crash that a peer could cause with a damaged body.
    void damagedBodiesAreRefusedOrStillMessages()
    {
        CPPUNIT_ASSERT(rc::check("damaged bodies are refused or still messages", [] {
            std::string body = encodeReplicaEnvelope("sk-central", anyEnvelope());
            for (int count = *rc::gen::inRange(1, 4); count > 0; --count)
                body[*rc::gen::inRange<std::size_t>(0, body.size())] = *rc::gen::arbitrary<char>();
            body.resize(*rc::gen::inRange<std::size_t>(0, body.size() + 1));
            auto const decoded = decodeReplicaEnvelope("sk-central", body);
            RC_ASSERT(decoded.ok() || !decoded.status().message().empty());
        }));
    }

    // Guards against messages of another deployment or release that are taken for our own.
    void foreignBodiesAreRefused()
    {
        std::string body = encodeReplicaEnvelope("sk-central", ReplicaEnvelope{{}, {}, {}, JoinRequest{}});
        CPPUNIT_ASSERT(decodeReplicaEnvelope("sk-central", body).ok());
        CPPUNIT_ASSERT(!decodeReplicaEnvelope("tz-dar", body).ok());
        body.replace(body.find("\"version\":1"), 11, "\"version\":2");
        CPPUNIT_ASSERT(!decodeReplicaEnvelope("sk-central", body).ok());
        CPPUNIT_ASSERT(!decodeReplicaEnvelope("sk-central", "[]").ok());
        CPPUNIT_ASSERT(!decodeReplicaEnvelope("sk-central", std::string(100000, '[')).ok());
        CPPUNIT_ASSERT(
            !decodeReplicaEnvelope("sk-central", std::string(largestReplicationBody + 1, ' ')).ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicationCodecTest);

} // namespace almondwing
