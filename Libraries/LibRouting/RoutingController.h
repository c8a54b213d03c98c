// Builds the routing view from the configuration, the members and the target records on the blackboard.

#pragma once

#include <LibCore/Time.h>
#include <LibState/Blackboard.h>

#include <cstdint>
#include <mutex>

namespace almondwing {

class RoutingController
{
public:
    explicit RoutingController(Blackboard &blackboard);

    // Rebuilds what changed since the last call; cheap when nothing did.
    void refresh(Timestamp now);

private:
    // The state of the inputs that the view was last built from.
    struct InputGenerations
    {
        std::uint64_t members = 0;
        std::uint64_t targets = 0;
        std::uint64_t configurationVersion = 0;

        friend bool operator==(InputGenerations const &, InputGenerations const &) = default;
    };

    InputGenerations currentGenerations() const;

    Blackboard &blackboard;
    std::mutex mutex; // Guards lastBuilt and lets one thread rebuild at a time.
    InputGenerations lastBuilt;
};

// The view for the given inputs. Services that come out the same share their routes with the previous view.
RoutingView buildRoutingView(RoutingView const &previous, Configuration const &configuration,
                             std::vector<MemberRecord> const &members,
                             std::vector<TargetRecord> const &targets, Timestamp now);

} // namespace almondwing
