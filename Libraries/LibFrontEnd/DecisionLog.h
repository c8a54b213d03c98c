// Structured log lines on standard output, one for each decision and each change of the state of the cluster
// as this process sees it:
//
//     time=2026-12-04T14:00:00.123Z event=AW1500 name=FlowPlaced severity=information instance=entry-1
//     caller=...
//
// The rate of each event is limited. The first line after suppressed ones carries their number as left_out.
//
// almondwing-node logs with this class, and almondwingctl explain-log reads its lines. almondwingd logs the
// same numbered events as text with EventLog.

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
    // Maximum number of lines per event and second. A line has about 200 bytes, so ten busy events write at
    // most 200 KB/s.
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

    // `fields` is a list of key=value pairs; values with spaces must be quoted, see quoteLogValue(). Any
    // other text is written as the single field `text`. Never waits for the output.
    void report(Event event, std::string const &fields);

    // Number of reports of each event, including suppressed and lost ones.
    std::map<Event, std::uint64_t> counts() const;
    std::uint64_t lostLines() const { return this->queue.lostLines(); }

private:
    struct Window
    {
        Timestamp begin;
        std::uint32_t written = 0;
        std::uint64_t suppressed = 0;
        std::uint64_t total = 0; // Since the start, not only in this window.
    };

    struct Sink;

    DecisionLogSettings settings;
    LineQueue queue;
    mutable std::mutex mutex; // Guards windows.
    std::map<Event, Window> windows;
};

// Quotes a value that is empty or has spaces, tabs, quotes, equals signs or line breaks. Quotes inside are
// doubled, and line breaks become spaces.
std::string quoteLogValue(std::string const &value);

} // namespace almondwing
