// Tests of the wire codec: round trips and hostile input.

#include "MessageGenerators.h"

#include <LibWire/WireCodec.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <functional>

namespace almondwing {

namespace {

WireCodec const codec = WireCodec::forCluster("sk-central");

absl::StatusOr<CallerMessage> decode(CallerMessage const &, std::string_view datagram)
{
    return codec.decodeCallerMessage(datagram);
}

absl::StatusOr<CallerReply> decode(CallerReply const &, std::string_view datagram)
{
    return codec.decodeCallerReply(datagram);
}

absl::StatusOr<TargetCommand> decode(TargetCommand const &, std::string_view datagram)
{
    return codec.decodeTargetCommand(datagram);
}

absl::StatusOr<TargetMessage> decode(TargetMessage const &, std::string_view datagram)
{
    return codec.decodeTargetMessage(datagram);
}

absl::StatusOr<PeerDatagram> decode(PeerDatagram const &, std::string_view datagram)
{
    return codec.decodePeerDatagram(datagram);
}

PeerDatagram arbitraryPeerDatagram()
{
    return {.from = InstanceId{*rc::gen::arbitrary<std::uint64_t>()}, .message = arbitraryPeerMessage()};
}

template<typename Message>
void expectRoundTrip(Message const &message)
{
    auto const datagram = codec.encode(message);
    RC_ASSERT(datagram.ok());
    RC_ASSERT(datagram->size() <= maxDatagramBytes);
    auto const decoded = decode(message, *datagram);
    RC_ASSERT(decoded.ok());
    RC_ASSERT(*decoded == message);
}

// If the datagram decodes, the message must survive encoding and decoding unchanged.
template<typename Message>
void expectRejectedOrValid(Message const &message, std::string_view datagram)
{
    auto const decoded = decode(message, datagram);
    if (decoded.ok())
        expectRoundTrip(*decoded);
}

template<typename Message>
void expectTruncationsHandled(Message const &message)
{
    auto const datagram = codec.encode(message);
    RC_ASSERT(datagram.ok());
    for (std::size_t size = 0; size < datagram->size(); ++size)
        expectRejectedOrValid(message, std::string_view(*datagram).substr(0, size));
}

template<typename Message>
void expectBitFlipsHandled(Message const &message)
{
    auto const datagram = codec.encode(message);
    RC_ASSERT(datagram.ok());
    for (std::size_t bit = 0; bit < datagram->size() * 8; ++bit) {
        std::string changed = *datagram;
        changed[bit / 8] =
            static_cast<char>(static_cast<unsigned char>(changed[bit / 8]) ^ (1U << (bit % 8)));
        expectRejectedOrValid(message, changed);
    }
}

Forwarded makeLargestForwarded()
{
    Request const request{.key = {.service = ServiceId{~0ULL}, .caller = ~0ULL, .number = ~0ULL},
                          .attempt = ~0U,
                          .requestClass = RequestClass::Bulk,
                          .idempotency = Idempotency::NonIdempotent,
                          .timeLeft = maxWireDuration,
                          .payload = std::string(maxMessagePayloadBytes, 'x')};
    return {.caller = {.address = ~0U, .port = 65535},
            .purpose = ForwardPurpose::Spill,
            .hops = 255,
            .origin = InstanceId{~0ULL},
            .candidates = std::vector(8, TargetId{~0ULL}),
            .isOriginFlowTableComplete = true,
            .originTarget = TargetId{~0ULL},
            .possibleOwner = TargetId{~0ULL},
            .hasSkippedCandidate = true,
            .message = request};
}

} // namespace

class WireCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WireCodecTest);
    CPPUNIT_TEST(everyMessageRoundTrips);
    CPPUNIT_TEST(truncatedDatagramsAreHandled);
    CPPUNIT_TEST(bitFlipsAreHandled);
    CPPUNIT_TEST(messagesOfOtherSocketsAreRejected);
    CPPUNIT_TEST(foreignClusterIsRejected);
    CPPUNIT_TEST(otherVersionIsRejected);
    CPPUNIT_TEST(largestForwardedRequestFits);
    CPPUNIT_TEST(oversizedInputIsRejected);
    CPPUNIT_TEST(invalidBucketsAreRejected);
    CPPUNIT_TEST(durationsAreClamped);
    CPPUNIT_TEST(everyReasonIsInRange);
    CPPUNIT_TEST(missingFieldsAreRejected);
    CPPUNIT_TEST(valuesOutOfRangeAreRejected);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a field that the codec omits or confuses with another.
    void everyMessageRoundTrips()
    {
        CPPUNIT_ASSERT(rc::check([] { expectRoundTrip(arbitraryCallerMessage()); }));
        CPPUNIT_ASSERT(rc::check([] { expectRoundTrip(arbitraryCallerReply()); }));
        CPPUNIT_ASSERT(rc::check([] { expectRoundTrip(arbitraryTargetCommand()); }));
        CPPUNIT_ASSERT(rc::check([] { expectRoundTrip(arbitraryTargetMessage()); }));
        CPPUNIT_ASSERT(rc::check([] { expectRoundTrip(arbitraryPeerDatagram()); }));
    }

    // Guards against a truncated datagram that crashes the receiver or decodes to a message with default
    // values.
    void truncatedDatagramsAreHandled()
    {
        CPPUNIT_ASSERT(rc::check([] { expectTruncationsHandled(arbitraryCallerMessage()); }));
        CPPUNIT_ASSERT(rc::check([] { expectTruncationsHandled(arbitraryCallerReply()); }));
        CPPUNIT_ASSERT(rc::check([] { expectTruncationsHandled(arbitraryTargetCommand()); }));
        CPPUNIT_ASSERT(rc::check([] { expectTruncationsHandled(arbitraryTargetMessage()); }));
        CPPUNIT_ASSERT(rc::check([] { expectTruncationsHandled(arbitraryPeerDatagram()); }));
    }

    // Guards against values outside their enum or range that reach the code that makes decisions.
    void bitFlipsAreHandled()
    {
        CPPUNIT_ASSERT(rc::check([] { expectBitFlipsHandled(arbitraryCallerMessage()); }));
        CPPUNIT_ASSERT(rc::check([] { expectBitFlipsHandled(arbitraryCallerReply()); }));
        CPPUNIT_ASSERT(rc::check([] { expectBitFlipsHandled(arbitraryTargetCommand()); }));
        CPPUNIT_ASSERT(rc::check([] { expectBitFlipsHandled(arbitraryTargetMessage()); }));
        CPPUNIT_ASSERT(rc::check([] { expectBitFlipsHandled(arbitraryPeerDatagram()); }));
    }

    // Guards against a caller that impersonates a target or an instance.
    void messagesOfOtherSocketsAreRejected()
    {
        OpenFlow const open{.key = {.service = ServiceId{1}, .flow = 2}, .payload = "x"};
        std::string const fromCaller = codec.encode(CallerMessage(open)).value();
        std::string const toTarget = codec.encode(TargetCommand(open)).value();
        CPPUNIT_ASSERT(codec.decodeCallerMessage(fromCaller).ok());
        CPPUNIT_ASSERT(!codec.decodeTargetCommand(fromCaller).ok());
        CPPUNIT_ASSERT(!codec.decodeCallerReply(fromCaller).ok());
        CPPUNIT_ASSERT(!codec.decodeTargetMessage(fromCaller).ok());
        CPPUNIT_ASSERT(!codec.decodePeerDatagram(fromCaller).ok());
        CPPUNIT_ASSERT(!codec.decodeCallerMessage(toTarget).ok());
    }

    // Guards against two clusters that mix their state because of a wrong address in the settings.
    void foreignClusterIsRejected()
    {
        auto const datagram = codec.encode(CallerMessage(CloseFlow{}));
        CPPUNIT_ASSERT(codec.decodeCallerMessage(*datagram).ok());
        CPPUNIT_ASSERT(!WireCodec::forCluster("tz-dar").decodeCallerMessage(*datagram).ok());
    }

    // Guards against datagrams of a later release in which fields have another meaning.
    void otherVersionIsRejected()
    {
        std::string datagram = codec.encode(CallerMessage(CloseFlow{})).value();
        // The envelope starts with the version: tag 0x08, then the number.
        CPPUNIT_ASSERT_EQUAL('\x08', datagram[0]);
        CPPUNIT_ASSERT_EQUAL('\x01', datagram[1]);
        datagram[1] = '\x02';
        CPPUNIT_ASSERT(!codec.decodeCallerMessage(datagram).ok());
    }

    // Guards against a request that a caller may send but an instance can't forward.
    void largestForwardedRequestFits()
    {
        auto const datagram = codec.encode(PeerDatagram{InstanceId{~0ULL}, makeLargestForwarded()});
        CPPUNIT_ASSERT_MESSAGE(std::string(datagram.status().message()), datagram.ok());
    }

    // Guards against datagrams that IP would fragment, and against peers that ignore the limits.
    void oversizedInputIsRejected()
    {
        Forwarded forwarded = makeLargestForwarded();
        std::get<Request>(forwarded.message).payload.push_back('x');
        CPPUNIT_ASSERT(
            absl::IsResourceExhausted(codec.encode(PeerDatagram{InstanceId{1}, forwarded}).status()));
        CPPUNIT_ASSERT(absl::IsResourceExhausted(codec.encode(CallerMessage(forwarded.message)).status()));
        ResendParts const many{.key = {}, .tryId = 0, .parts = std::vector(400, ~0U)};
        CPPUNIT_ASSERT(absl::IsResourceExhausted(codec.encode(CallerMessage(many)).status()));

        std::string const datagram = codec.encode(CallerMessage(CloseFlow{})).value();
        // Unknown field 15 of type bytes pads the datagram beyond its limit.
        std::string const padded = datagram + "\x7a\xf0\x0a" + std::string(1392, 'x');
        CPPUNIT_ASSERT(padded.size() > maxDatagramBytes);
        CPPUNIT_ASSERT(!codec.decodeCallerMessage(padded).ok());
        CPPUNIT_ASSERT(!codec.decodeCallerMessage("").ok());
    }

    // Guards against encoding buckets out of order, repeated or out of range, which a bitmap can't represent.
    void invalidBucketsAreRejected()
    {
        using Buckets = std::vector<std::uint16_t>;
        for (auto const &buckets : {Buckets{2, 1}, Buckets{1, 1}, Buckets{4096}}) {
            auto const status = codec.encode(PeerDatagram{InstanceId{1}, ClaimUpdate{{}, {}, {}, buckets}});
            CPPUNIT_ASSERT(absl::IsInvalidArgument(status.status()));
        }
    }

    // Guards against an expired deadline that is decoded as a very long one.
    void durationsAreClamped()
    {
        auto const roundTrip = [](Duration timeLeft) {
            Request request;
            request.timeLeft = timeLeft;
            auto const decoded = codec.decodeCallerMessage(codec.encode(CallerMessage(request)).value());
            return std::get<Request>(decoded.value()).timeLeft;
        };
        CPPUNIT_ASSERT(roundTrip(-1s) == Duration{});
        CPPUNIT_ASSERT(roundTrip(2400h) == maxWireDuration);
    }

    // Guards against a new reason that the decoder rejects because its range was not extended.
    void everyReasonIsInRange()
    {
        int number = 0;
        for (; reasonName(static_cast<Reason>(number)) != "unknown-reason"; ++number) {
            FlowBroken const broken{.key = {}, .reason = static_cast<Reason>(number)};
            CPPUNIT_ASSERT(codec.decodeCallerReply(codec.encode(CallerReply(broken)).value()).ok());
        }
        FlowBroken const beyond{.key = {}, .reason = static_cast<Reason>(number)};
        CPPUNIT_ASSERT(!codec.decodeCallerReply(codec.encode(CallerReply(beyond)).value()).ok());
    }

    // Guards against a message without a key or kind that is accepted as one for service 0.
    void missingFieldsAreRejected()
    {
        std::string const datagram = codec.encode(CallerMessage(CloseFlow{})).value();
        constexpr std::size_t headerBytes = 11; // Version and cluster, each with its tag.
        std::string const header = datagram.substr(0, headerBytes);
        auto const isAccepted = [&](std::string const &body) {
            return codec.decodeCallerMessage(header + body).ok();
        };
        CPPUNIT_ASSERT(isAccepted(datagram.substr(headerBytes)));
        std::string const service = "\x09" + std::string(8, '\1');
        for (std::string const &body : {
                 std::string(), // No body.
                 std::string("\x22\x00", 2), // Caller message without a kind.
                 std::string("\x22\x02\x1a\x00", 4), // CloseFlow without a key.
                 std::string("\x22\x04\x1a\x02\x0a\x00", 6), // Key without fields.
                 "\x22\x0d\x1a\x0b\x0a\x09" + service, // Key with only its service.
             })
            CPPUNIT_ASSERT(!isAccepted(body));
        CPPUNIT_ASSERT(!codec.decodeCallerMessage(datagram.substr(headerBytes)).ok());
        CPPUNIT_ASSERT(!codec.decodeCallerMessage(datagram.substr(2)).ok());
    }

    // Guards against an unknown enum value or an attempt of 0 that reaches the code that makes decisions.
    void valuesOutOfRangeAreRejected()
    {
        Request badClass;
        badClass.requestClass = static_cast<RequestClass>(3);
        Request badIdempotency;
        badIdempotency.idempotency = static_cast<Idempotency>(2);
        Request badAttempt;
        badAttempt.attempt = 0;
        for (Request const &request : {badClass, badIdempotency, badAttempt})
            CPPUNIT_ASSERT(!codec.decodeCallerMessage(codec.encode(CallerMessage(request)).value()).ok());
        AnswerPart part;
        part.position = static_cast<PartPosition>(2);
        CPPUNIT_ASSERT(!codec.decodeCallerReply(codec.encode(CallerReply(part)).value()).ok());

        Forwarded forwarded;
        forwarded.purpose = static_cast<ForwardPurpose>(4);
        RecordReply const recordReply{.key = {}, .tryId = 0, .verdict = static_cast<RecordVerdict>(3)};
        LocateReply const locateReply{.key = {}, .verdict = static_cast<LocateVerdict>(2)};
        Ping member;
        member.gossip.members.emplace_back().state = static_cast<MemberState>(4);
        Ping target;
        target.gossip.targets.emplace_back().state = static_cast<TargetState>(5);
        for (PeerMessage const &message :
             std::vector<PeerMessage>{forwarded, recordReply, locateReply, member, target})
            CPPUNIT_ASSERT(!codec.decodePeerDatagram(codec.encode(PeerDatagram{{}, message}).value()).ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireCodecTest);

} // namespace almondwing
