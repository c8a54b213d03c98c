// Finds in saved logs what happened to the flows of a caller: its own lines, those of the targets that they
// name, and what the instances concerned believed at that time.

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
    std::string time; // As written; texts of one format sort like times.
    std::string name;
    std::string instance;
    std::map<std::string, std::string> fields; // All of them, those above included.
    std::string text; // The line from its time on.

    friend bool operator==(LogLine const &, LogLine const &) = default;
};

// Nothing for a line that no DecisionLog wrote. Anything before the time is passed over, such as what a
// collector puts before each line.
std::optional<LogLine> parseLogLine(std::string_view text);

struct LogQuery
{
    std::string caller; // "a.b.c.d:port", or "a.b.c.d" for all flows of it.
    std::string from; // Times as in the lines; empty texts do not bound.
    std::string until;

    friend bool operator==(LogQuery const &, LogQuery const &) = default;
};

struct LogQueryResult
{
    std::vector<LogLine> flows; // Lines that name the caller.
    std::vector<LogLine> targets; // Lines of the targets that those name, by other instances, too.
    std::vector<LogLine>
        instanceEvents; // Views, contact and configuration of the instances that wrote the flow lines.

    friend bool operator==(LogQueryResult const &, LogQueryResult const &) = default;
};

// Each list in the order of time.
LogQueryResult explainFlows(std::vector<LogLine> const &lines, LogQuery const &question);

} // namespace almondwing
