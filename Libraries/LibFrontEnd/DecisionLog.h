// Structured lines on standard output, one for each decision and each change of what the process believes:
//
//     time=2026-12-04T14:00:00.123Z event=AW1500 name=FlowPlaced severity=information instance=entry-1
//     caller=...
//
// The volume of each event is bounded; a line a second tells how many were left out.

#pragma once

#include <LibCore/EventCatalogue.h>
#include <LibCore/Time.h>
#include <LibFrontEnd/LineQueue.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace almondwing {

struct DecisionLogSettings
{
    std::string instance;
    int descriptor = 1; // Standard output.
    // Lines of one event a second; about 200 bytes each, so that ten busy events take 200 KB/s at most.
    std::uint32_t linesPerSecond = 100;
    LineQueueLimits queue;

    friend bool operator==(DecisionLogSettings const &, DecisionLogSettings const &) = default;
};

class DecisionLog
{
public:
    explicit DecisionLog(DecisionLogSettings logSettings);
    ~DecisionLog();
    DecisionLog(DecisionLog const &) = delete;
    DecisionLog &operator=(DecisionLog const &) = delete;

    // `fields` is a list of key=value; values with spaces stand in quotes. Any other text becomes one field.
    // Never waits for the output.
    void report(Event event, std::string const &fields);

    // How often each event was reported, written or not.
    std::map<Event, std::uint64_t> counts() const;
    std::uint64_t lostLines() const { return this->queue.lostLines(); }

private:
    struct Window
    {
        Timestamp begin;
        std::uint32_t written = 0;
        std::uint64_t leftOut = 0;
        std::uint64_t total = 0;
    };

    struct Sink;

    DecisionLogSettings settings;
    LineQueue queue;
    mutable std::mutex mutex; // Guards windows.
    std::map<Event, Window> windows;
};

// A value for a line: in quotes, with quotes inside doubled, if it has spaces, quotes or line ends.
std::string quoteLogValue(std::string const &value);

} // namespace almondwing
