// Converts flow and request messages to and from the generated protobuf types. The generated header is not
// included here, so that only the source files of the codec depend on protobuf.

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

// Clamps the duration to the range from 0 to maxWireDuration.
std::uint64_t toWireMicroseconds(Duration duration);

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
