// Implements the generators of random messages.

#include "MessageGenerators.h"

#include <LibState/RoutingView.h>
#include <LibWire/WireCodec.h>

#include <rapidcheck.h>

#include <algorithm>
#include <set>

namespace almondwing {

namespace {

constexpr int maxListLength = 4;
constexpr int maxNameBytes = 24;

template<typename Integer>
Integer arbitraryInteger()
{
    return *rc::gen::arbitrary<Integer>();
}

// Ids are hashes, so all 64 bits vary. Zero is included because the decoder must distinguish it from a
// missing field.
std::uint64_t arbitraryId()
{
    return *rc::gen::oneOf(rc::gen::just(std::uint64_t{0}),
                           rc::gen::inRange<std::uint64_t>(0, std::numeric_limits<std::uint64_t>::max()));
}

template<typename Enum>
Enum arbitraryEnum(Enum last)
{
    return static_cast<Enum>(*rc::gen::inRange<int>(0, static_cast<int>(last) + 1));
}

Duration arbitraryDuration()
{
    return Duration(*rc::gen::inRange<std::int64_t>(0, maxWireDuration.count() + 1));
}

std::string arbitraryBytes(std::size_t maxBytes)
{
    std::size_t const size = *rc::gen::inRange<std::size_t>(0, maxBytes + 1);
    return *rc::gen::container<std::string>(size, rc::gen::arbitrary<char>());
}

std::string arbitraryPayload()
{
    if (arbitraryInteger<std::uint8_t>() == 0)
        return std::string(maxMessagePayloadBytes, 'x');
    return arbitraryBytes(40);
}

Reason arbitraryReason()
{
    return arbitraryEnum(Reason::RouteUnsettled);
}

FlowKey arbitraryFlowKey()
{
    return {.service = ServiceId{arbitraryId()}, .flow = arbitraryId()};
}

RequestKey arbitraryRequestKey()
{
    return {.service = ServiceId{arbitraryId()}, .caller = arbitraryId(), .number = arbitraryId()};
}

Endpoint arbitraryEndpoint()
{
    return {.address = arbitraryInteger<std::uint32_t>(), .port = arbitraryInteger<std::uint16_t>()};
}

template<typename Element>
std::vector<Element> arbitraryList(Element (*arbitraryElement)())
{
    std::vector<Element> list(*rc::gen::inRange<std::size_t>(0, maxListLength + 1));
    std::ranges::generate(list, arbitraryElement);
    return list;
}

std::uint32_t arbitraryPart()
{
    return arbitraryInteger<std::uint32_t>();
}

ResendParts arbitraryResendParts()
{
    return {.key = arbitraryRequestKey(), .tryId = arbitraryId(), .parts = arbitraryList(arbitraryPart)};
}

AnswerPart arbitraryAnswerPart()
{
    return {.key = arbitraryRequestKey(),
            .tryId = arbitraryId(),
            .part = arbitraryPart(),
            .position = arbitraryEnum(PartPosition::Last),
            .payload = arbitraryPayload()};
}

FlowRefused arbitraryFlowRefused()
{
    return {.key = arbitraryFlowKey(), .reason = arbitraryReason(), .retryAfter = arbitraryDuration()};
}

Request arbitraryRequest()
{
    return {.key = arbitraryRequestKey(),
            .attempt = std::max(1U, arbitraryInteger<std::uint32_t>()),
            .requestClass = arbitraryEnum(RequestClass::Bulk),
            .idempotency = arbitraryEnum(Idempotency::NonIdempotent),
            .timeLeft = arbitraryDuration(),
            .payload = arbitraryPayload()};
}

RunRequest arbitraryRunRequest()
{
    return {.key = arbitraryRequestKey(),
            .tryId = arbitraryId(),
            .requestClass = arbitraryEnum(RequestClass::Bulk),
            .idempotency = arbitraryEnum(Idempotency::NonIdempotent),
            .timeLeft = arbitraryDuration(),
            .payload = arbitraryPayload()};
}

TargetSequence arbitrarySequence()
{
    return {.epoch = arbitraryId(), .counter = arbitraryId(), .owner = InstanceId{arbitraryId()}};
}

MemberRecord arbitraryMember()
{
    return {.id = InstanceId{arbitraryId()},
            .name = arbitraryBytes(maxNameBytes),
            .failureDomain = arbitraryBytes(maxNameBytes),
            .peerEndpoint = arbitraryEndpoint(),
            .httpEndpoint = arbitraryEndpoint(),
            .incarnation = arbitraryId(),
            .state = arbitraryEnum(MemberState::Dead)};
}

TargetRecord arbitraryTarget()
{
    return {.id = TargetId{arbitraryId()},
            .name = arbitraryBytes(maxNameBytes),
            .service = ServiceId{arbitraryId()},
            .failureDomain = arbitraryBytes(maxNameBytes),
            .packetEndpoint = arbitraryEndpoint(),
            .httpEndpoint = arbitraryEndpoint(),
            .startMark = arbitraryId(),
            .state = arbitraryEnum(TargetState::Gone),
            .rampLevel = arbitraryInteger<std::uint8_t>(),
            .connections = arbitraryInteger<std::uint32_t>(),
            .sequence = arbitrarySequence()};
}

Gossip arbitraryGossip()
{
    return {.from = InstanceId{arbitraryId()},
            .incarnation = arbitraryId(),
            .configurationVersion = arbitraryId(),
            .recordsDigest = arbitraryId(),
            .controlContactAges = *rc::gen::arbitrary<std::vector<std::uint8_t>>(),
            .members = arbitraryList(arbitraryMember),
            .targets = arbitraryList(arbitraryTarget)};
}

std::vector<std::uint16_t> arbitraryBuckets()
{
    // Covers both encodings of a claim: lists of few buckets and bitmaps of many.
    auto const share = *rc::gen::element(0, 1, 400, 2000, 4096);
    auto const seed = arbitraryInteger<std::uint64_t>();
    std::vector<std::uint16_t> buckets;
    for (std::uint16_t bucket = 0; bucket < bucketCount; ++bucket) {
        if (mixBits(seed ^ bucket) % bucketCount < static_cast<std::uint64_t>(share))
            buckets.push_back(bucket);
    }
    return buckets;
}

FlowException arbitraryException()
{
    return {.key = arbitraryFlowKey(), .caller = arbitraryEndpoint()};
}

TargetId arbitraryTargetId()
{
    return TargetId{arbitraryId()};
}

Forwarded arbitraryForwarded()
{
    return {.caller = arbitraryEndpoint(),
            .purpose = arbitraryEnum(ForwardPurpose::Spill),
            .hops = arbitraryInteger<std::uint8_t>(),
            .origin = InstanceId{arbitraryId()},
            .candidates = arbitraryList(arbitraryTargetId),
            .isOriginFlowTableComplete = *rc::gen::arbitrary<bool>(),
            .originTarget = arbitraryTargetId(),
            .possibleOwner = arbitraryTargetId(),
            .hasSkippedCandidate = *rc::gen::arbitrary<bool>(),
            .message = arbitraryCallerMessage()};
}

RecordRequest arbitraryRecordRequest()
{
    return {.key = arbitraryRequestKey(),
            .target = arbitraryTargetId(),
            .dispatcher = InstanceId{arbitraryId()},
            .tryId = arbitraryId(),
            .keepFor = arbitraryDuration()};
}

PeerMessage arbitraryProbe()
{
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
        return Ping{.nonce = arbitraryId(), .gossip = arbitraryGossip()};
    case 1:
        return Ack{.nonce = arbitraryId(), .subject = InstanceId{arbitraryId()}, .gossip = arbitraryGossip()};
    default:
        return IndirectPing{
            .nonce = arbitraryId(), .subject = InstanceId{arbitraryId()}, .gossip = arbitraryGossip()};
    }
}

} // namespace

CallerMessage arbitraryCallerMessage()
{
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        return OpenFlow{.key = arbitraryFlowKey(), .payload = arbitraryPayload()};
    case 1:
        return FlowData{.key = arbitraryFlowKey(), .payload = arbitraryPayload()};
    case 2:
        return CloseFlow{.key = arbitraryFlowKey()};
    case 3:
        return arbitraryRequest();
    case 4:
        return CancelRequest{.key = arbitraryRequestKey(), .tryId = arbitraryId()};
    default:
        return arbitraryResendParts();
    }
}

CallerReply arbitraryCallerReply()
{
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
        return FlowAccepted{.key = arbitraryFlowKey()};
    case 1:
        return arbitraryFlowRefused();
    case 2:
        return FlowData{.key = arbitraryFlowKey(), .payload = arbitraryPayload()};
    case 3:
        return FlowBroken{.key = arbitraryFlowKey(), .reason = arbitraryReason()};
    case 4:
        return arbitraryAnswerPart();
    case 5:
        return NotRun{
            .key = arbitraryRequestKey(), .reason = arbitraryReason(), .retryAfter = arbitraryDuration()};
    default:
        return OutcomeUnknown{.key = arbitraryRequestKey(), .reason = arbitraryReason()};
    }
}

TargetCommand arbitraryTargetCommand()
{
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        return OpenFlow{.key = arbitraryFlowKey(), .payload = arbitraryPayload()};
    case 1:
        return FlowData{.key = arbitraryFlowKey(), .payload = arbitraryPayload()};
    case 2:
        return CloseFlow{.key = arbitraryFlowKey()};
    case 3:
        return arbitraryRunRequest();
    case 4:
        return CancelRequest{.key = arbitraryRequestKey(), .tryId = arbitraryId()};
    default:
        return arbitraryResendParts();
    }
}

TargetMessage arbitraryTargetMessage()
{
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        return FlowAccepted{.key = arbitraryFlowKey()};
    case 1:
        return arbitraryFlowRefused();
    case 2:
        return FlowData{.key = arbitraryFlowKey(), .payload = arbitraryPayload()};
    case 3:
        return FlowBroken{.key = arbitraryFlowKey(), .reason = arbitraryReason()};
    case 4:
        return RequestStarted{.key = arbitraryRequestKey(), .tryId = arbitraryId()};
    case 5:
        return Shed{.key = arbitraryRequestKey(), .tryId = arbitraryId(), .retryAfter = arbitraryDuration()};
    case 6:
        return RunEnded{.key = arbitraryRequestKey(), .tryId = arbitraryId()};
    default:
        return arbitraryAnswerPart();
    }
}

PeerMessage arbitraryPeerMessage()
{
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
        return arbitraryForwarded();
    case 1:
        return arbitraryRecordRequest();
    case 2:
        return RecordReply{.key = arbitraryRequestKey(),
                           .tryId = arbitraryId(),
                           .verdict = arbitraryEnum(RecordVerdict::Refused)};
    case 3:
        return RecordRelease{.key = arbitraryRequestKey(), .tryId = arbitraryId()};
    case 4:
        return Locate{.key = arbitraryRequestKey()};
    case 5:
        return LocateReply{.key = arbitraryRequestKey(), .verdict = arbitraryEnum(LocateVerdict::Known)};
    case 6:
        return ClaimUpdate{.target = arbitraryTargetId(),
                           .service = ServiceId{arbitraryId()},
                           .sequence = arbitrarySequence(),
                           .buckets = arbitraryBuckets()};
    case 7:
        return ExceptionUpdate{.target = arbitraryTargetId(),
                               .added = arbitraryList(arbitraryException),
                               .removed = arbitraryList(arbitraryFlowKey)};
    case 8:
        return FlowFound{.key = arbitraryFlowKey(), .target = arbitraryTargetId()};
    default:
        return arbitraryProbe();
    }
}

} // namespace almondwing
