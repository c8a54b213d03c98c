// Decides when an entry switches away from a control instance that is out of contact with a majority.

#pragma once

#include <LibCore/Time.h>

#include <optional>

namespace almondwing {

// The timeout doubles while no control instance is in contact. Otherwise, after a simultaneous restart of all
// control instances, every entry would move from one instance to the next before a leader is elected. Each
// instance would then send its whole registry to all entries and have no time left for the election.
class ContactTimeout
{
public:
    // Restarts the timeout for another control instance.
    void reset() { this->outOfContactSince.reset(); }

    // Processes an answer of the current control instance. Returns true if the entry should switch to another
    // one.
    bool hasExpired(bool isInContact, Timestamp now);

private:
    // Time of the first answer without contact from the current control instance.
    std::optional<Timestamp> outOfContactSince;
    unsigned consecutiveExpiries = 0; // Expired timeouts since an instance in contact answered.
};

} // namespace almondwing
