// Implements the conversion of the messages between instances.

#include <LibWire/PeerFields.h>

#include <LibState/RoutingView.h>
#include <LibWire/CallerFields.h>
#include <LibWire/Overloaded.h>

#include <Wire.pb.h>

#include <algorithm>
#include <functional>

namespace almondwing {

namespace {

constexpr std::size_t bitmapBytes = bucketCount / 8;

// A bucket in the list takes at most two bytes, so a longer list may be larger than the bitmap.
constexpr std::size_t maxListedBuckets = bitmapBytes / 2;

template<typename Enum>
std::uint32_t enumNumber(Enum value)
{
    return static_cast<std::uint32_t>(value);
}

void writeForwarded(Forwarded const &message, wire::Forwarded &out)
{
    writeEndpoint(message.caller, *out.mutable_caller());
    out.set_purpose(enumNumber(message.purpose));
    out.set_hops(message.hops);
    out.set_origin(message.origin.value);
    for (TargetId const candidate : message.candidates)
        out.add_candidates(candidate.value);
    out.set_is_origin_complete(message.isOriginFlowTableComplete);
    out.set_origin_target(message.originTarget.value);
    out.set_possible_owner(message.possibleOwner.value);
    out.set_has_skipped_candidate(message.hasSkippedCandidate);
    writeCallerMessage(message.message, *out.mutable_message());
}

void writeFlowFound(FlowFound const &message, wire::FlowFound &out)
{
    writeFlowKey(message.key, *out.mutable_key());
    out.set_target(message.target.value);
}

void writeRecordRequest(RecordRequest const &message, wire::RecordRequest &out)
{
    writeRequestKey(message.key, *out.mutable_key());
    out.set_target(message.target.value);
    out.set_dispatcher(message.dispatcher.value);
    out.set_try_id(message.tryId);
    out.set_keep_for_microseconds(toWireMicroseconds(message.keepFor));
}

void writeRecordReply(RecordReply const &message, wire::RecordReply &out)
{
    writeRequestKey(message.key, *out.mutable_key());
    out.set_try_id(message.tryId);
    out.set_verdict(enumNumber(message.verdict));
}

void writeRecordRelease(RecordRelease const &message, wire::TryReference &out)
{
    writeRequestKey(message.key, *out.mutable_key());
    out.set_try_id(message.tryId);
}

void writeLocateReply(LocateReply const &message, wire::LocateReply &out)
{
    writeRequestKey(message.key, *out.mutable_key());
    out.set_verdict(enumNumber(message.verdict));
}

void writeSequence(TargetSequence const &sequence, wire::TargetSequence &out)
{
    out.set_epoch(sequence.epoch);
    out.set_counter(sequence.counter);
    out.set_owner(sequence.owner.value);
}

bool isAscendingBucketList(std::vector<std::uint16_t> const &buckets)
{
    bool const isAscending = std::ranges::adjacent_find(buckets, std::greater_equal{}) == buckets.end();
    return isAscending && (buckets.empty() || buckets.back() < bucketCount);
}

std::string toBitmap(std::vector<std::uint16_t> const &buckets)
{
    std::string bitmap(bitmapBytes, '\0');
    for (std::uint16_t const bucket : buckets) {
        auto const bit = 1U << (bucket % 8U);
        bitmap[bucket / 8U] = static_cast<char>(static_cast<unsigned char>(bitmap[bucket / 8U]) | bit);
    }
    return bitmap;
}

absl::Status writeClaimUpdate(ClaimUpdate const &message, wire::ClaimUpdate &out)
{
    if (!isAscendingBucketList(message.buckets))
        return absl::InvalidArgumentError(
            "the buckets of a claim are not in ascending order or out of range");
    out.set_target(message.target.value);
    out.set_service(message.service.value);
    writeSequence(message.sequence, *out.mutable_sequence());
    if (message.buckets.size() > maxListedBuckets)
        out.set_bitmap(toBitmap(message.buckets));
    else
        out.mutable_buckets()->Add(message.buckets.begin(), message.buckets.end());
    return absl::OkStatus();
}

void writeExceptionUpdate(ExceptionUpdate const &message, wire::ExceptionUpdate &out)
{
    out.set_target(message.target.value);
    for (FlowException const &exception : message.added) {
        wire::FlowException &entry = *out.add_added();
        writeFlowKey(exception.key, *entry.mutable_key());
        writeEndpoint(exception.caller, *entry.mutable_caller());
    }
    for (FlowKey const &key : message.removed)
        writeFlowKey(key, *out.add_removed());
}

void writeMember(MemberRecord const &record, wire::MemberRecord &out)
{
    out.set_id(record.id.value);
    out.set_name(record.name);
    out.set_failure_domain(record.failureDomain);
    writeEndpoint(record.peerEndpoint, *out.mutable_peer_endpoint());
    writeEndpoint(record.httpEndpoint, *out.mutable_http_endpoint());
    out.set_incarnation(record.incarnation);
    out.set_state(enumNumber(record.state));
}

void writeTarget(TargetRecord const &record, wire::TargetRecord &out)
{
    out.set_id(record.id.value);
    out.set_name(record.name);
    out.set_service(record.service.value);
    out.set_failure_domain(record.failureDomain);
    writeEndpoint(record.packetEndpoint, *out.mutable_packet_endpoint());
    writeEndpoint(record.httpEndpoint, *out.mutable_http_endpoint());
    out.set_start_mark(record.startMark);
    out.set_state(enumNumber(record.state));
    out.set_ramp_level(record.rampLevel);
    out.set_connections(record.connections);
    writeSequence(record.sequence, *out.mutable_sequence());
}

void writeGossip(Gossip const &gossip, wire::Gossip &out)
{
    out.set_from(gossip.from.value);
    out.set_incarnation(gossip.incarnation);
    out.set_configuration_version(gossip.configurationVersion);
    out.set_records_digest(gossip.recordsDigest);
    out.set_control_contact_ages(
        std::string(gossip.controlContactAges.begin(), gossip.controlContactAges.end()));
    for (MemberRecord const &record : gossip.members)
        writeMember(record, *out.add_members());
    for (TargetRecord const &record : gossip.targets)
        writeTarget(record, *out.add_targets());
}

void writePing(Ping const &message, wire::Ping &out)
{
    out.set_nonce(message.nonce);
    writeGossip(message.gossip, *out.mutable_gossip());
}

// Writes an Ack or an IndirectPing.
template<typename Message, typename Out>
void writeProbe(Message const &message, Out &out)
{
    out.set_nonce(message.nonce);
    out.set_subject(message.subject.value);
    writeGossip(message.gossip, *out.mutable_gossip());
}

template<typename In>
RequestKey readRequestKeyField(In const &in, FieldReader &reader)
{
    return readRequestKey(in.has_key(), in.key(), reader);
}

Forwarded readForwarded(wire::Forwarded const &in, FieldReader &reader)
{
    Forwarded message{
        .caller = readEndpoint(in.has_caller(), in.caller(), reader),
        .purpose = reader.enumeration(in.has_purpose(), in.purpose(), ForwardPurpose::Spill, "purpose"),
        .hops = reader.narrow<std::uint8_t>(REQUIRED_FIELD(in, hops)),
        .origin = InstanceId{reader.required(REQUIRED_FIELD(in, origin))},
        .candidates = {},
        .isOriginFlowTableComplete = reader.required(REQUIRED_FIELD(in, is_origin_complete)),
        .originTarget = TargetId{reader.required(REQUIRED_FIELD(in, origin_target))},
        // Earlier releases don't send the next two fields, so they are optional.
        .possibleOwner = TargetId{in.possible_owner()},
        .hasSkippedCandidate = in.has_skipped_candidate(),
        .message = readCallerMessage(in.message(), reader)};
    message.candidates.reserve(static_cast<std::size_t>(in.candidates_size()));
    for (std::uint64_t const candidate : in.candidates())
        message.candidates.push_back(TargetId{candidate});
    return message;
}

FlowFound readFlowFound(wire::FlowFound const &in, FieldReader &reader)
{
    return {.key = readFlowKey(in.has_key(), in.key(), reader),
            .target = TargetId{reader.required(REQUIRED_FIELD(in, target))}};
}

RecordRequest readRecordRequest(wire::RecordRequest const &in, FieldReader &reader)
{
    return {.key = readRequestKeyField(in, reader),
            .target = TargetId{reader.required(REQUIRED_FIELD(in, target))},
            .dispatcher = InstanceId{reader.required(REQUIRED_FIELD(in, dispatcher))},
            .tryId = reader.required(REQUIRED_FIELD(in, try_id)),
            .keepFor = reader.duration(REQUIRED_FIELD(in, keep_for_microseconds))};
}

RecordReply readRecordReply(wire::RecordReply const &in, FieldReader &reader)
{
    return {.key = readRequestKeyField(in, reader),
            .tryId = reader.required(REQUIRED_FIELD(in, try_id)),
            .verdict = reader.enumeration(in.has_verdict(), in.verdict(), RecordVerdict::Refused, "verdict")};
}

RecordRelease readRecordRelease(wire::TryReference const &in, FieldReader &reader)
{
    return {.key = readRequestKeyField(in, reader), .tryId = reader.required(REQUIRED_FIELD(in, try_id))};
}

LocateReply readLocateReply(wire::LocateReply const &in, FieldReader &reader)
{
    return {.key = readRequestKeyField(in, reader),
            .verdict = reader.enumeration(in.has_verdict(), in.verdict(), LocateVerdict::Known, "verdict")};
}

TargetSequence readSequence(bool isPresent, wire::TargetSequence const &in, FieldReader &reader)
{
    if (!isPresent)
        reader.fail("missing sequence");
    return {.epoch = reader.required(REQUIRED_FIELD(in, epoch)),
            .counter = reader.required(REQUIRED_FIELD(in, counter)),
            .owner = InstanceId{reader.required(REQUIRED_FIELD(in, owner))}};
}

std::vector<std::uint16_t> readBitmap(std::string const &bitmap, FieldReader &reader)
{
    if (bitmap.size() != bitmapBytes) {
        reader.fail("the bitmap has a wrong length");
        return {};
    }
    std::vector<std::uint16_t> buckets;
    for (std::uint16_t bucket = 0; bucket < bucketCount; ++bucket) {
        if (((static_cast<unsigned char>(bitmap[bucket / 8U]) >> (bucket % 8U)) & 1U) != 0)
            buckets.push_back(bucket);
    }
    return buckets;
}

std::vector<std::uint16_t> readBuckets(wire::ClaimUpdate const &in, FieldReader &reader)
{
    if (in.has_bitmap())
        return readBitmap(in.bitmap(), reader);
    std::vector<std::uint16_t> buckets;
    buckets.reserve(static_cast<std::size_t>(in.buckets_size()));
    for (std::uint32_t const bucket : in.buckets())
        buckets.push_back(reader.narrow<std::uint16_t>(true, bucket, "bucket"));
    if (!isAscendingBucketList(buckets))
        reader.fail("the buckets are not in ascending order or out of range");
    return buckets;
}

ClaimUpdate readClaimUpdate(wire::ClaimUpdate const &in, FieldReader &reader)
{
    return {.target = TargetId{reader.required(REQUIRED_FIELD(in, target))},
            .service = ServiceId{reader.required(REQUIRED_FIELD(in, service))},
            .sequence = readSequence(in.has_sequence(), in.sequence(), reader),
            .buckets = readBuckets(in, reader)};
}

ExceptionUpdate readExceptionUpdate(wire::ExceptionUpdate const &in, FieldReader &reader)
{
    ExceptionUpdate message{
        .target = TargetId{reader.required(REQUIRED_FIELD(in, target))}, .added = {}, .removed = {}};
    for (wire::FlowException const &entry : in.added())
        message.added.push_back({.key = readFlowKey(entry.has_key(), entry.key(), reader),
                                 .caller = readEndpoint(entry.has_caller(), entry.caller(), reader)});
    for (wire::FlowKey const &key : in.removed())
        message.removed.push_back(readFlowKey(true, key, reader));
    return message;
}

MemberRecord readMember(wire::MemberRecord const &in, FieldReader &reader)
{
    return {.id = InstanceId{reader.required(REQUIRED_FIELD(in, id))},
            .name = reader.required(REQUIRED_FIELD(in, name)),
            .failureDomain = reader.required(REQUIRED_FIELD(in, failure_domain)),
            .peerEndpoint = readEndpoint(in.has_peer_endpoint(), in.peer_endpoint(), reader),
            .httpEndpoint = readEndpoint(in.has_http_endpoint(), in.http_endpoint(), reader),
            .incarnation = reader.required(REQUIRED_FIELD(in, incarnation)),
            .state = reader.enumeration(in.has_state(), in.state(), MemberState::Dead, "state")};
}

TargetRecord readTarget(wire::TargetRecord const &in, FieldReader &reader)
{
    return {.id = TargetId{reader.required(REQUIRED_FIELD(in, id))},
            .name = reader.required(REQUIRED_FIELD(in, name)),
            .service = ServiceId{reader.required(REQUIRED_FIELD(in, service))},
            .failureDomain = reader.required(REQUIRED_FIELD(in, failure_domain)),
            .packetEndpoint = readEndpoint(in.has_packet_endpoint(), in.packet_endpoint(), reader),
            .httpEndpoint = readEndpoint(in.has_http_endpoint(), in.http_endpoint(), reader),
            .startMark = reader.required(REQUIRED_FIELD(in, start_mark)),
            .state = reader.enumeration(in.has_state(), in.state(), TargetState::Gone, "state"),
            .rampLevel = reader.narrow<std::uint8_t>(REQUIRED_FIELD(in, ramp_level)),
            .connections = reader.required(REQUIRED_FIELD(in, connections)),
            .sequence = readSequence(in.has_sequence(), in.sequence(), reader)};
}

Gossip readGossip(bool isPresent, wire::Gossip const &in, FieldReader &reader)
{
    if (!isPresent)
        reader.fail("missing gossip");
    Gossip gossip{.from = InstanceId{reader.required(REQUIRED_FIELD(in, from))},
                  .incarnation = reader.required(REQUIRED_FIELD(in, incarnation)),
                  .configurationVersion = reader.required(REQUIRED_FIELD(in, configuration_version)),
                  .recordsDigest = reader.required(REQUIRED_FIELD(in, records_digest)),
                  .controlContactAges = {},
                  .members = {},
                  .targets = {}};
    for (char const age : reader.required(REQUIRED_FIELD(in, control_contact_ages)))
        gossip.controlContactAges.push_back(static_cast<std::uint8_t>(age));
    for (wire::MemberRecord const &record : in.members())
        gossip.members.push_back(readMember(record, reader));
    for (wire::TargetRecord const &record : in.targets())
        gossip.targets.push_back(readTarget(record, reader));
    return gossip;
}

Ping readPing(wire::Ping const &in, FieldReader &reader)
{
    return {.nonce = reader.required(REQUIRED_FIELD(in, nonce)),
            .gossip = readGossip(in.has_gossip(), in.gossip(), reader)};
}

// Reads an Ack or an IndirectPing.
template<typename Message, typename In>
Message readProbe(In const &in, FieldReader &reader)
{
    return {.nonce = reader.required(REQUIRED_FIELD(in, nonce)),
            .subject = InstanceId{reader.required(REQUIRED_FIELD(in, subject))},
            .gossip = readGossip(in.has_gossip(), in.gossip(), reader)};
}

} // namespace

absl::Status writePeerMessage(PeerMessage const &message, wire::PeerMessage &out)
{
    if (auto const *const claim = std::get_if<ClaimUpdate>(&message))
        return writeClaimUpdate(*claim, *out.mutable_claim_update());
    std::visit(
        Overloaded{
            [&](Forwarded const &inner) { writeForwarded(inner, *out.mutable_forwarded()); },
            [&](FlowFound const &inner) { writeFlowFound(inner, *out.mutable_flow_found()); },
            [&](RecordRequest const &inner) { writeRecordRequest(inner, *out.mutable_record_request()); },
            [&](RecordReply const &inner) { writeRecordReply(inner, *out.mutable_record_reply()); },
            [&](RecordRelease const &inner) { writeRecordRelease(inner, *out.mutable_record_release()); },
            [&](Locate const &inner) { writeRequestKey(inner.key, *out.mutable_locate()->mutable_key()); },
            [&](LocateReply const &inner) { writeLocateReply(inner, *out.mutable_locate_reply()); },
            [&](ClaimUpdate const &) {},
            [&](ExceptionUpdate const &inner) {
                writeExceptionUpdate(inner, *out.mutable_exception_update());
            },
            [&](Ping const &inner) { writePing(inner, *out.mutable_ping()); },
            [&](Ack const &inner) { writeProbe(inner, *out.mutable_ack()); },
            [&](IndirectPing const &inner) { writeProbe(inner, *out.mutable_indirect_ping()); },
        },
        message);
    return absl::OkStatus();
}

PeerMessage readPeerMessage(wire::PeerMessage const &in, FieldReader &reader)
{
    switch (in.message_case()) {
    case wire::PeerMessage::kForwarded:
        return readForwarded(in.forwarded(), reader);
    case wire::PeerMessage::kRecordRequest:
        return readRecordRequest(in.record_request(), reader);
    case wire::PeerMessage::kRecordReply:
        return readRecordReply(in.record_reply(), reader);
    case wire::PeerMessage::kRecordRelease:
        return readRecordRelease(in.record_release(), reader);
    case wire::PeerMessage::kLocate:
        return Locate{.key = readRequestKeyField(in.locate(), reader)};
    case wire::PeerMessage::kLocateReply:
        return readLocateReply(in.locate_reply(), reader);
    case wire::PeerMessage::kClaimUpdate:
        return readClaimUpdate(in.claim_update(), reader);
    case wire::PeerMessage::kExceptionUpdate:
        return readExceptionUpdate(in.exception_update(), reader);
    case wire::PeerMessage::kPing:
        return readPing(in.ping(), reader);
    case wire::PeerMessage::kAck:
        return readProbe<Ack>(in.ack(), reader);
    case wire::PeerMessage::kIndirectPing:
        return readProbe<IndirectPing>(in.indirect_ping(), reader);
    case wire::PeerMessage::kFlowFound:
        return readFlowFound(in.flow_found(), reader);
    case wire::PeerMessage::MESSAGE_NOT_SET:
        break;
    }
    reader.fail("unknown kind of peer message");
    return {};
}

} // namespace almondwing
