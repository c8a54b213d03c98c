// Names of states in output for operators.

#pragma once

#include <LibMessages/PeerMessages.h>

#include <string_view>

namespace almondwing {

std::string_view memberStateName(MemberState state);
std::string_view targetStateName(TargetState state);

} // namespace almondwing
