// Converts the messages between instances to and from the generated protobuf types.

#pragma once

#include <LibMessages/PeerMessages.h>
#include <LibWire/FieldReader.h>

#include <absl/status/status.h>

namespace almondwing {

namespace wire {
class PeerMessage;
} // namespace wire

absl::Status writePeerMessage(PeerMessage const &message, wire::PeerMessage &out);
PeerMessage readPeerMessage(wire::PeerMessage const &in, FieldReader &reader);

} // namespace almondwing
