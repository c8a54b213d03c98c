// Implements the explanation of flows from saved logs.

#include "LogCommand.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>

namespace almondwing {

namespace {

void printList(char const *title, std::vector<LogLine> const &lines)
{
    fmt::print("{}\n", title);
    for (LogLine const &line : lines)
        fmt::print("  {}\n", line.text);
}

nlohmann::json toJson(std::vector<LogLine> const &lines)
{
    nlohmann::json list = nlohmann::json::array();
    for (LogLine const &line : lines)
        list.push_back(line.fields);
    return list;
}

} // namespace

ExitCode explainSavedLogs(std::vector<std::string> const &files, LogQuery const &query, LogOutput output)
{
    std::vector<LogLine> lines;
    for (std::string const &name : files) {
        std::ifstream file(name);
        if (!file) {
            fmt::print(stderr, "almondwingctl: can't read {}\n", name);
            return ExitCode::Usage;
        }
        for (std::string text; std::getline(file, text);) {
            if (auto line = parseLogLine(text))
                lines.push_back(*std::move(line));
        }
    }
    LogQueryResult const result = explainFlows(lines, query);
    if (output == LogOutput::Json) {
        nlohmann::json const json{{"flows", toJson(result.flows)},
                                  {"targets", toJson(result.targets)},
                                  {"beliefs", toJson(result.instanceEvents)}};
        fmt::print("{}\n", json.dump());
    } else {
        printList("Flows of the caller:", result.flows);
        printList("Targets of these flows:", result.targets);
        printList("Views, majority contact, starts and stops of the instances:", result.instanceEvents);
    }
    return result.flows.empty() ? ExitCode::Rejected : ExitCode::Success;
}

} // namespace almondwing
