// Generates random messages of every kind for property tests. Call these functions only inside rc::check.

#pragma once

#include <LibMessages/PeerMessages.h>

namespace almondwing {

CallerMessage arbitraryCallerMessage();
CallerReply arbitraryCallerReply();
TargetCommand arbitraryTargetCommand();
TargetMessage arbitraryTargetMessage();
PeerMessage arbitraryPeerMessage();

} // namespace almondwing
