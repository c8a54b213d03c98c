// A message of a caller whose route is not settled yet. It waits because the bucket tables of the instances
// differ, or because this instance is joining and may lack target records.

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
