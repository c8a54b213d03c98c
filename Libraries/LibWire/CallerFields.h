// Converts the messages of flows and requests to and from the generated types. The generated header stays out
// of this header, so that only the codec's own source files see protobuf.

#pragma once

#include <LibMessages/PeerMessages.h>
#include <LibWire/FieldReader.h>

namespace almondwing {

namespace wire {
class CallerMessage;
class CallerReply;
class Endpoint;
class FlowKey;
class RequestKey;
class TargetCommand;
class TargetMessage;
} // namespace wire

std::uint64_t wireMicroseconds(Duration duration);

void writeEndpoint(Endpoint endpoint, wire::Endpoint &out);
void writeFlowKey(FlowKey const &key, wire::FlowKey &out);
void writeRequestKey(RequestKey const &key, wire::RequestKey &out);
void writeCallerMessage(CallerMessage const &message, wire::CallerMessage &out);
void writeCallerReply(CallerReply const &message, wire::CallerReply &out);
void writeTargetCommand(TargetCommand const &message, wire::TargetCommand &out);
void writeTargetMessage(TargetMessage const &message, wire::TargetMessage &out);

Endpoint readEndpoint(bool isPresent, wire::Endpoint const &in, FieldReader &reader);
FlowKey readFlowKey(bool isPresent, wire::FlowKey const &in, FieldReader &reader);
RequestKey readRequestKey(bool isPresent, wire::RequestKey const &in, FieldReader &reader);
CallerMessage readCallerMessage(wire::CallerMessage const &in, FieldReader &reader);
CallerReply readCallerReply(wire::CallerReply const &in, FieldReader &reader);
TargetCommand readTargetCommand(wire::TargetCommand const &in, FieldReader &reader);
TargetMessage readTargetMessage(wire::TargetMessage const &in, FieldReader &reader);

} // namespace almondwing
