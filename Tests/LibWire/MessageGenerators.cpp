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
Integer pickInteger()
{
    return *rc::gen::arbitrary<Integer>();
}

// Ids are hashes, so all 64 bits vary. Zero is included because the decoder must distinguish it from a
// missing field.
std::uint64_t pickId()
{
    return *rc::gen::oneOf(rc::gen::just(std::uint64_t{0}),
                           rc::gen::inRange<std::uint64_t>(0, std::numeric_limits<std::uint64_t>::max()));
}

template<typename Enum>
Enum pickEnum(Enum last)
{
    return static_cast<Enum>(*rc::gen::inRange<int>(0, static_cast<int>(last) + 1));
}

Duration pickDuration()
{
    return Duration(*rc::gen::inRange<std::int64_t>(0, maxWireDuration.count() + 1));
}

std::string pickBytes(std::size_t maxBytes)
{
    std::size_t const size = *rc::gen::inRange<std::size_t>(0, maxBytes + 1);
    return *rc::gen::container<std::string>(size, rc::gen::arbitrary<char>());
}

std::string pickPayload()
{
    if (pickInteger<std::uint8_t>() == 0)
        return std::string(maxMessagePayloadBytes, 'x');
    return pickBytes(40);
}

Reason pickReason()
{
    return pickEnum(Reason::RouteUnsettled);
}

FlowKey pickFlowKey()
{
    return {.service = ServiceId{pickId()}, .flow = pickId()};
}

RequestKey pickRequestKey()
{
    return {.service = ServiceId{pickId()}, .caller = pickId(), .number = pickId()};
}

Endpoint pickEndpoint()
{
    return {.address = pickInteger<std::uint32_t>(), .port = pickInteger<std::uint16_t>()};
}

template<typename Element>
std::vector<Element> pickList(Element (*pickElement)())
{
    std::vector<Element> list(*rc::gen::inRange<std::size_t>(0, maxListLength + 1));
    std::ranges::generate(list, pickElement);
    return list;
}

std::uint32_t pickPart()
{
    return pickInteger<std::uint32_t>();
}

ResendParts pickResendParts()
{
    return {.key = pickRequestKey(), .tryId = pickId(), .parts = pickList(pickPart)};
}

AnswerPart pickAnswerPart()
{
    return {.key = pickRequestKey(),
            .tryId = pickId(),
            .part = pickPart(),
            .position = pickEnum(PartPosition::Last),
            .payload = pickPayload()};
}

FlowRefused pickFlowRefused()
{
    return {.key = pickFlowKey(), .reason = pickReason(), .retryAfter = pickDuration()};
}

Request pickRequest()
{
    return {.key = pickRequestKey(),
            .attempt = std::max(1U, pickInteger<std::uint32_t>()),
            .requestClass = pickEnum(RequestClass::Bulk),
            .idempotency = pickEnum(Idempotency::NonIdempotent),
            .timeLeft = pickDuration(),
            .payload = pickPayload()};
}

RunRequest pickRunRequest()
{
    return {.key = pickRequestKey(),
            .tryId = pickId(),
            .requestClass = pickEnum(RequestClass::Bulk),
            .idempotency = pickEnum(Idempotency::NonIdempotent),
            .timeLeft = pickDuration(),
            .payload = pickPayload()};
}

TargetSequence pickSequence()
{
    return {.epoch = pickId(), .counter = pickId(), .owner = InstanceId{pickId()}};
}

MemberRecord pickMember()
{
    return {.id = InstanceId{pickId()},
            .name = pickBytes(maxNameBytes),
            .failureDomain = pickBytes(maxNameBytes),
            .peerEndpoint = pickEndpoint(),
            .httpEndpoint = pickEndpoint(),
            .incarnation = pickId(),
            .state = pickEnum(MemberState::Dead)};
}

TargetRecord pickTarget()
{
    return {.id = TargetId{pickId()},
            .name = pickBytes(maxNameBytes),
            .service = ServiceId{pickId()},
            .failureDomain = pickBytes(maxNameBytes),
            .packetEndpoint = pickEndpoint(),
            .httpEndpoint = pickEndpoint(),
            .startMark = pickId(),
            .state = pickEnum(TargetState::Gone),
            .rampLevel = pickInteger<std::uint8_t>(),
            .connections = pickInteger<std::uint32_t>(),
            .sequence = pickSequence()};
}

Gossip pickGossip()
{
    return {.from = InstanceId{pickId()},
            .incarnation = pickId(),
            .configurationVersion = pickId(),
            .recordsDigest = pickId(),
            .controlContactAges = *rc::gen::arbitrary<std::vector<std::uint8_t>>(),
            .members = pickList(pickMember),
            .targets = pickList(pickTarget)};
}

std::vector<std::uint16_t> pickBuckets()
{
    // Covers both encodings of a claim: lists of few buckets and bitmaps of many.
    auto const share = *rc::gen::element(0, 1, 400, 2000, 4096);
    auto const seed = pickInteger<std::uint64_t>();
    std::vector<std::uint16_t> buckets;
    for (std::uint16_t bucket = 0; bucket < bucketCount; ++bucket) {
        if (mixBits(seed ^ bucket) % bucketCount < static_cast<std::uint64_t>(share))
            buckets.push_back(bucket);
    }
    return buckets;
}

FlowException pickException()
{
    return {.key = pickFlowKey(), .caller = pickEndpoint()};
}

TargetId pickTargetId()
{
    return TargetId{pickId()};
}

Forwarded pickForwarded()
{
    return {.caller = pickEndpoint(),
            .purpose = pickEnum(ForwardPurpose::Spill),
            .hops = pickInteger<std::uint8_t>(),
            .origin = InstanceId{pickId()},
            .candidates = pickList(pickTargetId),
            .isOriginFlowTableComplete = *rc::gen::arbitrary<bool>(),
            .originTarget = pickTargetId(),
            .possibleOwner = pickTargetId(),
            .hasSkippedCandidate = *rc::gen::arbitrary<bool>(),
            .message = pickCallerMessage()};
}

RecordRequest pickRecordRequest()
{
    return {.key = pickRequestKey(),
            .target = pickTargetId(),
            .dispatcher = InstanceId{pickId()},
            .tryId = pickId(),
            .keepFor = pickDuration()};
}

PeerMessage pickProbe()
{
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
        return Ping{.nonce = pickId(), .gossip = pickGossip()};
    case 1:
        return Ack{.nonce = pickId(), .subject = InstanceId{pickId()}, .gossip = pickGossip()};
    default:
        return IndirectPing{.nonce = pickId(), .subject = InstanceId{pickId()}, .gossip = pickGossip()};
    }
}

} // namespace

CallerMessage pickCallerMessage()
{
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        return OpenFlow{.key = pickFlowKey(), .payload = pickPayload()};
    case 1:
        return FlowData{.key = pickFlowKey(), .payload = pickPayload()};
    case 2:
        return CloseFlow{.key = pickFlowKey()};
    case 3:
        return pickRequest();
    case 4:
        return CancelRequest{.key = pickRequestKey(), .tryId = pickId()};
    default:
        return pickResendParts();
    }
}

CallerReply pickCallerReply()
{
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
        return FlowAccepted{.key = pickFlowKey()};
    case 1:
        return pickFlowRefused();
    case 2:
        return FlowData{.key = pickFlowKey(), .payload = pickPayload()};
    case 3:
        return FlowBroken{.key = pickFlowKey(), .reason = pickReason()};
    case 4:
        return pickAnswerPart();
    case 5:
        return NotRun{.key = pickRequestKey(), .reason = pickReason(), .retryAfter = pickDuration()};
    default:
        return OutcomeUnknown{.key = pickRequestKey(), .reason = pickReason()};
    }
}

TargetCommand pickTargetCommand()
{
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        return OpenFlow{.key = pickFlowKey(), .payload = pickPayload()};
    case 1:
        return FlowData{.key = pickFlowKey(), .payload = pickPayload()};
    case 2:
        return CloseFlow{.key = pickFlowKey()};
    case 3:
        return pickRunRequest();
    case 4:
        return CancelRequest{.key = pickRequestKey(), .tryId = pickId()};
    default:
        return pickResendParts();
    }
}

TargetMessage pickTargetMessage()
{
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        return FlowAccepted{.key = pickFlowKey()};
    case 1:
        return pickFlowRefused();
    case 2:
        return FlowData{.key = pickFlowKey(), .payload = pickPayload()};
    case 3:
        return FlowBroken{.key = pickFlowKey(), .reason = pickReason()};
    case 4:
        return RequestStarted{.key = pickRequestKey(), .tryId = pickId()};
    case 5:
        return Shed{.key = pickRequestKey(), .tryId = pickId(), .retryAfter = pickDuration()};
    case 6:
        return RunEnded{.key = pickRequestKey(), .tryId = pickId()};
    default:
        return pickAnswerPart();
    }
}

PeerMessage pickPeerMessage()
{
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
        return pickForwarded();
    case 1:
        return pickRecordRequest();
    case 2:
        return RecordReply{
            .key = pickRequestKey(), .tryId = pickId(), .verdict = pickEnum(RecordVerdict::Refused)};
    case 3:
        return RecordRelease{.key = pickRequestKey(), .tryId = pickId()};
    case 4:
        return Locate{.key = pickRequestKey()};
    case 5:
        return LocateReply{.key = pickRequestKey(), .verdict = pickEnum(LocateVerdict::Known)};
    case 6:
        return ClaimUpdate{.target = pickTargetId(),
                           .service = ServiceId{pickId()},
                           .sequence = pickSequence(),
                           .buckets = pickBuckets()};
    case 7:
        return ExceptionUpdate{
            .target = pickTargetId(), .added = pickList(pickException), .removed = pickList(pickFlowKey)};
    case 8:
        return FlowFound{.key = pickFlowKey(), .target = pickTargetId()};
    default:
        return pickProbe();
    }
}

} // namespace almondwing
