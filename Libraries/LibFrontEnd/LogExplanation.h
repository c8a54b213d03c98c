// Searches saved logs for what happened to the flows of a caller: the lines that name the caller, the lines
// about the targets of these flows, and the state changes of the instances that handled them.

#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondwing {

// One line of a DecisionLog.
struct LogLine
{
    std::string time; // As written; times of this format sort lexicographically.
    std::string name;
    std::string instance;
    std::map<std::string, std::string> fields; // All fields, including those above.
    std::string text; // The line from `time=` on.

    friend bool operator==(LogLine const &, LogLine const &) = default;
};

// Returns nullopt for a line that no DecisionLog wrote. Ignores any text before the time, such as the prefix
// that a log collector adds.
std::optional<LogLine> parseLogLine(std::string_view text);

struct LogQuery
{
    std::string caller; // "a.b.c.d:port", or "a.b.c.d" for all flows from that address.
    std::string from; // Inclusive bounds in the format of LogLine::time; empty for no bound.
    std::string until;

    friend bool operator==(LogQuery const &, LogQuery const &) = default;
};

struct LogQueryResult
{
    std::vector<LogLine> flows; // Lines that name the caller.
    std::vector<LogLine> targets; // Lines about the targets named there, also from other instances.
    // View events, and process events (start and stop), of the instances that wrote the flow lines. Events
    // about the contact with a majority are included from all instances.
    std::vector<LogLine> instanceEvents;

    friend bool operator==(LogQueryResult const &, LogQueryResult const &) = default;
};

// Each list is sorted by time.
LogQueryResult explainFlows(std::vector<LogLine> const &lines, LogQuery const &query);

} // namespace almondwing
