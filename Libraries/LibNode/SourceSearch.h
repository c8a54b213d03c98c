// Decides in which order an entry without a view looks for a control instance. After a loss of power
// everywhere, the control instances start within some hundred milliseconds of each other, and callers wait
// until the entry has found one of them. All candidates are therefore tried at the same time, each again
// until one accepts.

#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Time.h>

#include <map>
#include <optional>
#include <vector>

namespace almondwing {

struct SourceSearchSettings
{
    // The first candidate is the preferred one. If all of them run, it accepts before the next one is tried.
    Duration stagger = 20ms;
    // The time of a try. A machine without power does not answer at all, and the latency between failure
    // domains is a millisecond or two.
    Duration tryTimeout = 50ms;
    // From the end of a try to the next one of the same candidate. It doubles with each try up to the
    // maximum, because hundreds of entries may search at the same time.
    Duration pause = 25ms;
    Duration maxPause = 100ms;

    friend bool operator==(SourceSearchSettings const &, SourceSearchSettings const &) = default;
};

class SourceSearch
{
public:
    explicit SourceSearch(SourceSearchSettings searchSettings = {}) : settings(searchSettings) { }

    // Begins a search among the candidates, the preferred one first. Ends an earlier one.
    void begin(std::vector<Endpoint> const &endpoints, Timestamp now);

    void end() { this->candidates.clear(); }

    bool isRunning() const { return !this->candidates.empty(); }

    // Returns the candidates that are to be tried now. Each is returned again only after its result.
    std::vector<Endpoint> takeDue(Timestamp now);

    // Handles the result of a try. Returns whether the candidate is the one that was searched for; the search
    // is over then, and the results of other tries have no effect.
    bool handleResult(Endpoint endpoint, bool isAccepted, Timestamp now);

    // When takeDue() returns the next candidate; nullopt while only results are awaited.
    std::optional<Timestamp> nextDue() const;

    Duration tryTimeout() const { return this->settings.tryTimeout; }

private:
    SourceSearchSettings settings;
    struct Candidate
    {
        std::optional<Timestamp> nextTry; // Nothing while a try is under way.
        Duration pause{};
    };

    std::map<Endpoint, Candidate> candidates; // Empty while no search is running.
};

} // namespace almondwing
