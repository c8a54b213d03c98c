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

    // Rebuilds the routing view if its inputs have changed or a recent bucket move has expired; else cheap.
    void refresh(Timestamp now);

private:
    // Identifies the inputs of a routing view.
    struct InputGenerations
    {
        std::uint64_t members = 0;
        std::uint64_t targets = 0;
        std::uint64_t configurationVersion = 0;

        friend bool operator==(InputGenerations const &, InputGenerations const &) = default;
    };

    InputGenerations currentGenerations() const;

    Blackboard &blackboard;
    std::mutex mutex; // Guards lastBuilt and ensures that only one thread rebuilds the view at a time.
    InputGenerations lastBuilt;
};

// Builds the routing view for the given inputs. Services without a change share their routes with the
// previous view.
RoutingView buildRoutingView(RoutingView const &previous, Configuration const &configuration,
                             std::vector<MemberRecord> const &members,
                             std::vector<TargetRecord> const &targets, Timestamp now);

} // namespace almondwing
