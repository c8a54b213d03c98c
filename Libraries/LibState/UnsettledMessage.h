// A message of a caller that went through several instances with different tables and waits for them to
// agree.

#pragma once

#include <LibCore/Time.h>
#include <LibMessages/PeerMessages.h>

namespace almondwing {

struct UnsettledMessage
{
    Forwarded forwarded;
    Timestamp since;

    friend bool operator==(UnsettledMessage const &, UnsettledMessage const &) = default;
};

} // namespace almondwing
