// Implements the conversion of flow and request messages.

#include <LibWire/FlowAndRequestConversion.h>

#include <LibWire/Overloaded.h>
#include <LibWire/WireCodec.h>

#include <Wire.pb.h>

#include <algorithm>

namespace almondwing {

namespace {

constexpr Reason lastReason = Reason::RouteUnsettled;

template<typename Enum>
std::uint32_t enumNumber(Enum value)
{
    return static_cast<std::uint32_t>(value);
}

template<typename Message>
void writeFlowPayload(Message const &message, wire::FlowPayload &out)
{
    writeFlowKey(message.key, *out.mutable_key());
    out.set_payload(message.payload);
}

template<typename Message>
void writeTryReference(Message const &message, wire::TryReference &out)
{
    writeRequestKey(message.key, *out.mutable_key());
    out.set_try_id(message.tryId);
}

void writeFlowBroken(FlowBroken const &message, wire::FlowOutcome &out)
{
    writeFlowKey(message.key, *out.mutable_key());
    out.set_reason(enumNumber(message.reason));
}

void writeFlowRefused(FlowRefused const &message, wire::FlowOutcome &out)
{
    writeFlowKey(message.key, *out.mutable_key());
    out.set_reason(enumNumber(message.reason));
    out.set_retry_after_microseconds(toWireMicroseconds(message.retryAfter));
}

// Writes the fields common to Request and RunRequest.
template<typename Message, typename Out>
void writeRequestFields(Message const &message, Out &out)
{
    writeRequestKey(message.key, *out.mutable_key());
    out.set_request_class(enumNumber(message.requestClass));
    out.set_idempotency(enumNumber(message.idempotency));
    out.set_time_left_microseconds(toWireMicroseconds(message.timeLeft));
    out.set_payload(message.payload);
}

void writeRequest(Request const &message, wire::Request &out)
{
    writeRequestFields(message, out);
    out.set_attempt(message.attempt);
}

void writeRunRequest(RunRequest const &message, wire::RunRequest &out)
{
    writeRequestFields(message, out);
    out.set_try_id(message.tryId);
}

void writeShed(Shed const &message, wire::Shed &out)
{
    writeRequestKey(message.key, *out.mutable_key());
    out.set_try_id(message.tryId);
    out.set_retry_after_microseconds(toWireMicroseconds(message.retryAfter));
}

void writeAnswerPart(AnswerPart const &message, wire::AnswerPart &out)
{
    writeRequestKey(message.key, *out.mutable_key());
    out.set_try_id(message.tryId);
    out.set_part(message.part);
    out.set_position(enumNumber(message.position));
    out.set_payload(message.payload);
}

void writeResendParts(ResendParts const &message, wire::ResendParts &out)
{
    writeRequestKey(message.key, *out.mutable_key());
    out.set_try_id(message.tryId);
    out.mutable_parts()->Add(message.parts.begin(), message.parts.end());
}

void writeNotRun(NotRun const &message, wire::RequestOutcome &out)
{
    writeRequestKey(message.key, *out.mutable_key());
    out.set_reason(enumNumber(message.reason));
    out.set_retry_after_microseconds(toWireMicroseconds(message.retryAfter));
}

void writeOutcomeUnknown(OutcomeUnknown const &message, wire::RequestOutcome &out)
{
    writeRequestKey(message.key, *out.mutable_key());
    out.set_reason(enumNumber(message.reason));
}

template<typename In>
FlowKey readFlowKeyField(In const &in, FieldReader &reader)
{
    return readFlowKey(in.has_key(), in.key(), reader);
}

template<typename In>
RequestKey readRequestKeyField(In const &in, FieldReader &reader)
{
    return readRequestKey(in.has_key(), in.key(), reader);
}

template<typename In>
Reason readReason(In const &in, FieldReader &reader)
{
    return reader.enumeration(in.has_reason(), in.reason(), lastReason, "reason");
}

template<typename Message>
Message readFlowPayload(wire::FlowPayload const &in, FieldReader &reader)
{
    return {.key = readFlowKeyField(in, reader), .payload = reader.payload(REQUIRED_FIELD(in, payload))};
}

template<typename Message>
Message readTryReference(wire::TryReference const &in, FieldReader &reader)
{
    return {.key = readRequestKeyField(in, reader), .tryId = reader.required(REQUIRED_FIELD(in, try_id))};
}

FlowBroken readFlowBroken(wire::FlowOutcome const &in, FieldReader &reader)
{
    return {.key = readFlowKeyField(in, reader), .reason = readReason(in, reader)};
}

FlowRefused readFlowRefused(wire::FlowOutcome const &in, FieldReader &reader)
{
    return {.key = readFlowKeyField(in, reader),
            .reason = readReason(in, reader),
            .retryAfter = reader.duration(REQUIRED_FIELD(in, retry_after_microseconds))};
}

template<typename In>
RequestClass readRequestClass(In const &in, FieldReader &reader)
{
    return reader.enumeration(in.has_request_class(), in.request_class(), RequestClass::Bulk,
                              "request_class");
}

template<typename In>
Idempotency readIdempotency(In const &in, FieldReader &reader)
{
    return reader.enumeration(in.has_idempotency(), in.idempotency(), Idempotency::NonIdempotent,
                              "idempotency");
}

Request readRequest(wire::Request const &in, FieldReader &reader)
{
    Request message{.key = readRequestKeyField(in, reader),
                    .attempt = reader.required(REQUIRED_FIELD(in, attempt)),
                    .requestClass = readRequestClass(in, reader),
                    .idempotency = readIdempotency(in, reader),
                    .timeLeft = reader.duration(REQUIRED_FIELD(in, time_left_microseconds)),
                    .payload = reader.payload(REQUIRED_FIELD(in, payload))};
    if (message.attempt == 0)
        reader.fail("attempt is out of range");
    return message;
}

RunRequest readRunRequest(wire::RunRequest const &in, FieldReader &reader)
{
    return {.key = readRequestKeyField(in, reader),
            .tryId = reader.required(REQUIRED_FIELD(in, try_id)),
            .requestClass = readRequestClass(in, reader),
            .idempotency = readIdempotency(in, reader),
            .timeLeft = reader.duration(REQUIRED_FIELD(in, time_left_microseconds)),
            .payload = reader.payload(REQUIRED_FIELD(in, payload))};
}

Shed readShed(wire::Shed const &in, FieldReader &reader)
{
    return {.key = readRequestKeyField(in, reader),
            .tryId = reader.required(REQUIRED_FIELD(in, try_id)),
            .retryAfter = reader.duration(REQUIRED_FIELD(in, retry_after_microseconds))};
}

AnswerPart readAnswerPart(wire::AnswerPart const &in, FieldReader &reader)
{
    return {.key = readRequestKeyField(in, reader),
            .tryId = reader.required(REQUIRED_FIELD(in, try_id)),
            .part = reader.required(REQUIRED_FIELD(in, part)),
            .position = reader.enumeration(in.has_position(), in.position(), PartPosition::Last, "position"),
            .payload = reader.payload(REQUIRED_FIELD(in, payload))};
}

ResendParts readResendParts(wire::ResendParts const &in, FieldReader &reader)
{
    return {.key = readRequestKeyField(in, reader),
            .tryId = reader.required(REQUIRED_FIELD(in, try_id)),
            .parts = {in.parts().begin(), in.parts().end()}};
}

NotRun readNotRun(wire::RequestOutcome const &in, FieldReader &reader)
{
    return {.key = readRequestKeyField(in, reader),
            .reason = readReason(in, reader),
            .retryAfter = reader.duration(REQUIRED_FIELD(in, retry_after_microseconds))};
}

OutcomeUnknown readOutcomeUnknown(wire::RequestOutcome const &in, FieldReader &reader)
{
    return {.key = readRequestKeyField(in, reader), .reason = readReason(in, reader)};
}

} // namespace

std::uint64_t toWireMicroseconds(Duration duration)
{
    return static_cast<std::uint64_t>(std::clamp(duration, Duration{}, maxWireDuration).count());
}

void writeEndpoint(Endpoint endpoint, wire::Endpoint &out)
{
    out.set_address(endpoint.address);
    out.set_port(endpoint.port);
}

void writeFlowKey(FlowKey const &key, wire::FlowKey &out)
{
    out.set_service(key.service.value);
    out.set_flow(key.flow);
}

void writeRequestKey(RequestKey const &key, wire::RequestKey &out)
{
    out.set_service(key.service.value);
    out.set_caller(key.caller);
    out.set_number(key.number);
}

void writeCallerMessage(CallerMessage const &message, wire::CallerMessage &out)
{
    std::visit(
        Overloaded{
            [&](OpenFlow const &inner) { writeFlowPayload(inner, *out.mutable_open_flow()); },
            [&](FlowData const &inner) { writeFlowPayload(inner, *out.mutable_flow_data()); },
            [&](CloseFlow const &inner) {
                writeFlowKey(inner.key, *out.mutable_close_flow()->mutable_key());
            },
            [&](Request const &inner) { writeRequest(inner, *out.mutable_request()); },
            [&](CancelRequest const &inner) { writeTryReference(inner, *out.mutable_cancel_request()); },
            [&](ResendParts const &inner) { writeResendParts(inner, *out.mutable_resend_parts()); },
        },
        message);
}

void writeCallerReply(CallerReply const &message, wire::CallerReply &out)
{
    std::visit(
        Overloaded{
            [&](FlowAccepted const &inner) {
                writeFlowKey(inner.key, *out.mutable_flow_accepted()->mutable_key());
            },
            [&](FlowRefused const &inner) { writeFlowRefused(inner, *out.mutable_flow_refused()); },
            [&](FlowData const &inner) { writeFlowPayload(inner, *out.mutable_flow_data()); },
            [&](FlowBroken const &inner) { writeFlowBroken(inner, *out.mutable_flow_broken()); },
            [&](AnswerPart const &inner) { writeAnswerPart(inner, *out.mutable_answer_part()); },
            [&](NotRun const &inner) { writeNotRun(inner, *out.mutable_not_run()); },
            [&](OutcomeUnknown const &inner) { writeOutcomeUnknown(inner, *out.mutable_outcome_unknown()); },
        },
        message);
}

void writeTargetCommand(TargetCommand const &message, wire::TargetCommand &out)
{
    std::visit(
        Overloaded{
            [&](OpenFlow const &inner) { writeFlowPayload(inner, *out.mutable_open_flow()); },
            [&](FlowData const &inner) { writeFlowPayload(inner, *out.mutable_flow_data()); },
            [&](CloseFlow const &inner) {
                writeFlowKey(inner.key, *out.mutable_close_flow()->mutable_key());
            },
            [&](RunRequest const &inner) { writeRunRequest(inner, *out.mutable_run_request()); },
            [&](CancelRequest const &inner) { writeTryReference(inner, *out.mutable_cancel_request()); },
            [&](ResendParts const &inner) { writeResendParts(inner, *out.mutable_resend_parts()); },
        },
        message);
}

void writeTargetMessage(TargetMessage const &message, wire::TargetMessage &out)
{
    std::visit(
        Overloaded{
            [&](FlowAccepted const &inner) {
                writeFlowKey(inner.key, *out.mutable_flow_accepted()->mutable_key());
            },
            [&](FlowRefused const &inner) { writeFlowRefused(inner, *out.mutable_flow_refused()); },
            [&](FlowData const &inner) { writeFlowPayload(inner, *out.mutable_flow_data()); },
            [&](FlowBroken const &inner) { writeFlowBroken(inner, *out.mutable_flow_broken()); },
            [&](RequestStarted const &inner) { writeTryReference(inner, *out.mutable_request_started()); },
            [&](Shed const &inner) { writeShed(inner, *out.mutable_shed()); },
            [&](RunEnded const &inner) { writeTryReference(inner, *out.mutable_run_ended()); },
            [&](AnswerPart const &inner) { writeAnswerPart(inner, *out.mutable_answer_part()); },
        },
        message);
}

Endpoint readEndpoint(bool isPresent, wire::Endpoint const &in, FieldReader &reader)
{
    if (!isPresent)
        reader.fail("missing endpoint");
    return {.address = reader.required(REQUIRED_FIELD(in, address)),
            .port = reader.narrow<std::uint16_t>(REQUIRED_FIELD(in, port))};
}

FlowKey readFlowKey(bool isPresent, wire::FlowKey const &in, FieldReader &reader)
{
    if (!isPresent)
        reader.fail("missing key");
    return {.service = ServiceId{reader.required(REQUIRED_FIELD(in, service))},
            .flow = reader.required(REQUIRED_FIELD(in, flow))};
}

RequestKey readRequestKey(bool isPresent, wire::RequestKey const &in, FieldReader &reader)
{
    if (!isPresent)
        reader.fail("missing key");
    return {.service = ServiceId{reader.required(REQUIRED_FIELD(in, service))},
            .caller = reader.required(REQUIRED_FIELD(in, caller)),
            .number = reader.required(REQUIRED_FIELD(in, number))};
}

CallerMessage readCallerMessage(wire::CallerMessage const &in, FieldReader &reader)
{
    switch (in.message_case()) {
    case wire::CallerMessage::kOpenFlow:
        return readFlowPayload<OpenFlow>(in.open_flow(), reader);
    case wire::CallerMessage::kFlowData:
        return readFlowPayload<FlowData>(in.flow_data(), reader);
    case wire::CallerMessage::kCloseFlow:
        return CloseFlow{.key = readFlowKeyField(in.close_flow(), reader)};
    case wire::CallerMessage::kRequest:
        return readRequest(in.request(), reader);
    case wire::CallerMessage::kCancelRequest:
        return readTryReference<CancelRequest>(in.cancel_request(), reader);
    case wire::CallerMessage::kResendParts:
        return readResendParts(in.resend_parts(), reader);
    case wire::CallerMessage::MESSAGE_NOT_SET:
        break;
    }
    reader.fail("unknown kind of caller message");
    return {};
}

CallerReply readCallerReply(wire::CallerReply const &in, FieldReader &reader)
{
    switch (in.message_case()) {
    case wire::CallerReply::kFlowAccepted:
        return FlowAccepted{.key = readFlowKeyField(in.flow_accepted(), reader)};
    case wire::CallerReply::kFlowRefused:
        return readFlowRefused(in.flow_refused(), reader);
    case wire::CallerReply::kFlowData:
        return readFlowPayload<FlowData>(in.flow_data(), reader);
    case wire::CallerReply::kFlowBroken:
        return readFlowBroken(in.flow_broken(), reader);
    case wire::CallerReply::kAnswerPart:
        return readAnswerPart(in.answer_part(), reader);
    case wire::CallerReply::kNotRun:
        return readNotRun(in.not_run(), reader);
    case wire::CallerReply::kOutcomeUnknown:
        return readOutcomeUnknown(in.outcome_unknown(), reader);
    case wire::CallerReply::MESSAGE_NOT_SET:
        break;
    }
    reader.fail("unknown kind of caller reply");
    return {};
}

TargetCommand readTargetCommand(wire::TargetCommand const &in, FieldReader &reader)
{
    switch (in.message_case()) {
    case wire::TargetCommand::kOpenFlow:
        return readFlowPayload<OpenFlow>(in.open_flow(), reader);
    case wire::TargetCommand::kFlowData:
        return readFlowPayload<FlowData>(in.flow_data(), reader);
    case wire::TargetCommand::kCloseFlow:
        return CloseFlow{.key = readFlowKeyField(in.close_flow(), reader)};
    case wire::TargetCommand::kRunRequest:
        return readRunRequest(in.run_request(), reader);
    case wire::TargetCommand::kCancelRequest:
        return readTryReference<CancelRequest>(in.cancel_request(), reader);
    case wire::TargetCommand::kResendParts:
        return readResendParts(in.resend_parts(), reader);
    case wire::TargetCommand::MESSAGE_NOT_SET:
        break;
    }
    reader.fail("unknown kind of target command");
    return {};
}

TargetMessage readTargetMessage(wire::TargetMessage const &in, FieldReader &reader)
{
    switch (in.message_case()) {
    case wire::TargetMessage::kFlowAccepted:
        return FlowAccepted{.key = readFlowKeyField(in.flow_accepted(), reader)};
    case wire::TargetMessage::kFlowRefused:
        return readFlowRefused(in.flow_refused(), reader);
    case wire::TargetMessage::kFlowData:
        return readFlowPayload<FlowData>(in.flow_data(), reader);
    case wire::TargetMessage::kFlowBroken:
        return readFlowBroken(in.flow_broken(), reader);
    case wire::TargetMessage::kRequestStarted:
        return readTryReference<RequestStarted>(in.request_started(), reader);
    case wire::TargetMessage::kShed:
        return readShed(in.shed(), reader);
    case wire::TargetMessage::kRunEnded:
        return readTryReference<RunEnded>(in.run_ended(), reader);
    case wire::TargetMessage::kAnswerPart:
        return readAnswerPart(in.answer_part(), reader);
    case wire::TargetMessage::MESSAGE_NOT_SET:
        break;
    }
    reader.fail("unknown kind of target message");
    return {};
}

} // namespace almondwing
