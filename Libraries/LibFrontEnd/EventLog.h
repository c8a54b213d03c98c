// Writes numbered events as lines of text through glog, to files or standard error, and counts them.
//
// almondwingd logs with this class. almondwing-node writes the same numbered events as key=value lines with
// DecisionLog and uses only initialize().

#pragma once

#include <LibCore/EventCatalogue.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace almondwing {

// Maximum number of log lines per event and window; further reports are only counted.
constexpr std::uint32_t maxLinesPerWindow = 20;
constexpr Duration eventWindow = 10s;

class EventLog
{
public:
    // Initializes the log of the process. Without a folder the log goes to standard error only.
    static void initialize(std::string const &program, std::string const &folder);

    explicit EventLog(Severity minimumSeverity);

    void report(Event event, std::string const &text);

    // Number of reports of each event since the start, including those that were not logged.
    std::map<Event, std::uint64_t> counts() const;

private:
    struct Window
    {
        Timestamp begin;
        std::uint32_t logged = 0;
        std::uint64_t total = 0; // Since the start, not only in this window.
        std::uint64_t suppressed = 0;
    };

    Severity minSeverity;
    mutable std::mutex mutex; // Guards windows.
    std::map<Event, Window> windows;
};

} // namespace almondwing
