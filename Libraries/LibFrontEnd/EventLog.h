// Writes numbered events to the log and counts them.

#pragma once

#include <LibCore/EventCatalogue.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace almondwing {

// An event that repeats is logged at most this often within the window; the rest is only counted.
constexpr std::uint32_t eventsPerWindow = 20;
constexpr Duration eventWindow = 10s;

class EventLog
{
public:
    // Starts the log of the process. Without a folder the log goes to standard error only.
    static void initialize(std::string const &program, std::string const &folder);

    explicit EventLog(Severity lowestSeverity);

    void report(Event event, std::string const &text);

    // How often each event was reported since the start, logged or not.
    std::map<Event, std::uint64_t> counts() const;

private:
    struct Window
    {
        Timestamp begin;
        std::uint32_t logged = 0;
        std::uint64_t total = 0;
        std::uint64_t suppressed = 0;
    };

    Severity lowest;
    mutable std::mutex mutex; // Guards windows.
    std::map<Event, Window> windows;
};

} // namespace almondwing
