// Generates random messages of every kind for property tests. Call these functions only inside rc::check.

#pragma once

#include <LibMessages/PeerMessages.h>

namespace almondwing {

CallerMessage pickCallerMessage();
CallerReply pickCallerReply();
TargetCommand pickTargetCommand();
TargetMessage pickTargetMessage();
PeerMessage pickPeerMessage();

} // namespace almondwing
