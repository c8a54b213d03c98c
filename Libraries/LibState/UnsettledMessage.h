// A message of a caller that was forwarded between instances with different routing tables, and waits until
// their tables agree.

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
