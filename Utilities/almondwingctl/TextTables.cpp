// Implements the text formats with nlohmann/json and libfmt.

#include "TextTables.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>
#include <vector>

namespace almondwing {

namespace {

using Row = std::vector<std::string>;

std::string cellText(nlohmann::json const &object, char const *key)
{
    if (!object.contains(key))
        return "-";
    nlohmann::json const &value = object.at(key);
    std::string const text = value.is_string() ? value.get<std::string>() : value.dump();
    return text.empty() ? "-" : text;
}

std::string alignColumns(std::vector<Row> const &rows)
{
    std::vector<std::size_t> widths;
    for (Row const &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    std::string text;
    for (Row const &row : rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column)
            line += fmt::format("{:<{}}  ", row[column], widths[column]);
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

std::string formatTable(nlohmann::json const &list, Row const &header, std::vector<char const *> const &keys)
{
    std::vector<Row> rows{header};
    for (nlohmann::json const &entry : list) {
        Row row;
        for (char const *const key : keys)
            row.push_back(cellText(entry, key));
        rows.push_back(row);
    }
    return alignColumns(rows);
}

nlohmann::json parse(std::string const &text)
{
    auto json = nlohmann::json::parse(text, nullptr, false);
    return json.is_object() ? json : nlohmann::json::object();
}

nlohmann::json arrayMember(nlohmann::json const &object, char const *key)
{
    return object.contains(key) && object.at(key).is_array() ? object.at(key) : nlohmann::json::array();
}

std::string formatSubmissionTime(nlohmann::json const &entry)
{
    if (!entry.contains("submittedAt") || !entry.at("submittedAt").is_number())
        return "-";
    std::time_t const seconds = entry.at("submittedAt").get<std::time_t>();
    std::tm parts{};
    if (gmtime_r(&seconds, &parts) == nullptr)
        return "-";
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}Z", parts.tm_year + 1900, parts.tm_mon + 1,
                       parts.tm_mday, parts.tm_hour, parts.tm_min, parts.tm_sec);
}

} // namespace

std::string statusText(std::string const &text)
{
    auto const json = parse(text);
    auto const self = json.value("instance", nlohmann::json::object());
    std::string result = fmt::format(
        "Instance {} in failure domain {}: {}, lease {}, contact with a majority of control "
        "instances {}, configuration "
        "version {}\n",
        cellText(self, "name"), cellText(self, "failureDomain"), cellText(self, "phase"),
        cellText(self, "lease"), cellText(self, "majorityContact"), cellText(self, "configurationVersion"));
    if (json.contains("replication")) {
        auto const &log = json.at("replication");
        result += fmt::format("Replicated log: {}, term {}, leader {}, committed up to entry {}\n",
                              cellText(log, "role"), cellText(log, "term"), cellText(log, "leader"),
                              cellText(log, "commitIndex"));
    }
    result += "\n"
        + formatTable(arrayMember(json, "failureDomains"), {"FAILURE DOMAIN", "REGION", "STATE"},
                      {"name", "region", "state"});
    result += "\n"
        + formatTable(arrayMember(json, "members"), {"INSTANCE", "FAILURE DOMAIN", "STATE", "HTTP"},
                      {"name", "failureDomain", "state", "http"});
    for (auto const &service : arrayMember(json, "services")) {
        result +=
            fmt::format("\nService {} at {}\n", cellText(service, "name"), cellText(service, "address"));
        result += formatTable(arrayMember(service, "targets"),
                              {"TARGET", "FAILURE DOMAIN", "STATE", "LEVEL", "SLOTS", "CONNECTIONS",
                               "BUCKETS", "CLAIMED", "DISPATCHER", "BUSY", "FLOWS"},
                              {"name", "failureDomain", "state", "rampLevel", "slots", "connections",
                               "buckets", "claimedBuckets", "dispatcher", "busySlots", "openFlows"});
    }
    return result;
}

std::string explanationText(std::string const &text)
{
    auto const json = parse(text);
    std::string result =
        fmt::format("Service {}, bucket {}: target {} in {}, dispatcher {}, configuration version {}\n",
                    cellText(json, "service"), cellText(json, "bucket"), cellText(json, "target"),
                    cellText(json, "failureDomain"), cellText(json, "dispatcher"),
                    cellText(json, "configurationVersion"));
    for (auto const &reason : arrayMember(json, "reasons"))
        result += fmt::format("  - {}\n", reason.get<std::string>());
    return result;
}

std::string auditText(std::string const &text)
{
    std::vector<Row> rows{
        {"INDEX", "TIME", "OPERATOR", "REQUEST", "BASE", "VERSION", "KIND", "OUTCOME", "CHANGE"}};
    for (auto const &entry : arrayMember(parse(text), "entries")) {
        auto const outcome = entry.value("outcome", nlohmann::json::object());
        rows.push_back({cellText(entry, "index"), formatSubmissionTime(entry), cellText(entry, "operator"),
                        cellText(entry, "requestId"), cellText(entry, "baseVersion"),
                        cellText(entry, "resultingVersion"), cellText(entry, "kind"),
                        cellText(outcome, "outcome"), cellText(entry, "description")});
    }
    return alignColumns(rows);
}

std::string coverageText(std::string const &text)
{
    auto const json = parse(text);
    return fmt::format("Version {} is {}\n", cellText(json, "version"),
                       isInForceEverywhere(text) ? "in force on every known instance"
                                                 : "not confirmed on every known instance")
        + formatTable(arrayMember(json, "instances"), {"INSTANCE", "FAILURE DOMAIN", "STATE", "VERSION"},
                      {"instance", "failureDomain", "state", "version"});
}

std::string errorText(std::string const &text)
{
    auto const json = parse(text);
    return json.contains("error") && json.at("error").is_string() ? json.at("error").get<std::string>()
                                                                  : text;
}

bool isInForceEverywhere(std::string const &text)
{
    auto const json = parse(text);
    return json.contains("inForceEverywhere") && json.at("inForceEverywhere").is_boolean()
        && json.at("inForceEverywhere").get<bool>();
}

} // namespace almondwing
