// Implements the search in saved logs.

#include <LibFrontEnd/LogExplanation.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <set>

namespace almondwing {

namespace {

constexpr std::string_view timeKey = "time=";

constexpr std::array targetEventNames{"TargetAnnounced", "TargetSuspected", "TargetUnreachable", "TargetGone",
                                      "EndAnswered"};
constexpr std::array instanceEventNames{"ViewChanged",         "ViewSourceLost",         "ViewSourceFollowed",
                                        "ProcessStarted",      "ProcessStopping",        "ProcessStopped",
                                        "MajorityContactLost", "MajorityContactRegained"};

// Reads a value up to the next space, or a quoted value in which quotes are doubled. Advances `position` past
// it.
std::string readValue(std::string_view text, std::size_t &position)
{
    std::string value;
    if (position >= text.size() || text[position] != '"') {
        while (position < text.size() && text[position] != ' ')
            value.push_back(text[position++]);
        return value;
    }
    for (++position; position < text.size(); ++position) {
        if (text[position] != '"') {
            value.push_back(text[position]);
            continue;
        }
        if (position + 1 >= text.size() || text[position + 1] != '"')
            break;
        value.push_back(text[position++]);
    }
    ++position;
    return value;
}

std::map<std::string, std::string> readFields(std::string_view text)
{
    std::map<std::string, std::string> fields;
    for (std::size_t position = 0; position < text.size();) {
        std::size_t const equals = text.find('=', position);
        if (equals == std::string_view::npos)
            break;
        std::string const key(text.substr(position, equals - position));
        position = equals + 1;
        fields[key] = readValue(text, position);
        while (position < text.size() && text[position] == ' ')
            ++position;
    }
    return fields;
}

template<typename Names>
bool isOneOf(std::string const &name, Names const &names)
{
    return std::ranges::find(names, name) != names.end();
}

bool matchesCaller(LogLine const &line, std::string const &caller)
{
    auto const found = line.fields.find("caller");
    if (found == line.fields.end())
        return false;
    return found->second == caller || found->second.starts_with(caller + ":");
}

bool isWithin(LogLine const &line, LogQuery const &query)
{
    return (query.from.empty() || line.time >= query.from)
        && (query.until.empty() || line.time <= query.until);
}

void sortByTime(std::vector<LogLine> &lines)
{
    std::ranges::stable_sort(lines, {}, &LogLine::time);
}

} // namespace

std::optional<LogLine> parseLogLine(std::string_view text)
{
    std::size_t const begin = text.find(timeKey);
    if (begin == std::string_view::npos || text.find(" event=AW", begin) == std::string_view::npos)
        return std::nullopt;
    text.remove_prefix(begin);
    LogLine line{.fields = readFields(text), .text = std::string(text)};
    line.time = line.fields["time"];
    line.name = line.fields["name"];
    line.instance = line.fields["instance"];
    return line;
}

LogQueryResult explainFlows(std::vector<LogLine> const &lines, LogQuery const &query)
{
    LogQueryResult result;
    std::set<std::string> targets;
    std::set<std::string> instances;
    for (LogLine const &line : lines) {
        if (!matchesCaller(line, query.caller) || !isWithin(line, query))
            continue;
        result.flows.push_back(line);
        instances.insert(line.instance);
        if (auto const target = line.fields.find("target"); target != line.fields.end())
            targets.insert(target->second);
    }
    for (LogLine const &line : lines) {
        if (!isWithin(line, query))
            continue;
        auto const target = line.fields.find("target");
        if (isOneOf(line.name, targetEventNames) && target != line.fields.end()
            && targets.contains(target->second))
            result.targets.push_back(line);
        bool const isRelevant = instances.contains(line.instance) || line.name.starts_with("Majority");
        if (isOneOf(line.name, instanceEventNames) && isRelevant)
            result.instanceEvents.push_back(line);
    }
    sortByTime(result.flows);
    sortByTime(result.targets);
    sortByTime(result.instanceEvents);
    return result;
}

} // namespace almondwing
