// Implements the search in saved logs.

#include <LibFrontEnd/LogExplanation.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <set>

namespace almondwing {

namespace {

constexpr std::string_view timeKey = "time=";

constexpr std::array targetEvents{"TargetAnnounced", "TargetSuspected", "TargetUnreachable", "TargetGone",
                                  "EndAnswered"};
constexpr std::array beliefEvents{"ViewChanged",         "ViewSourceLost",         "ViewSourceFollowed",
                                  "ProcessStarted",      "ProcessStopping",        "ProcessStopped",
                                  "MajorityContactLost", "MajorityContactRegained"};

// A value up to the next space, or in quotes with quotes doubled inside. Moves `at` behind it.
std::string readValue(std::string_view text, std::size_t &at)
{
    std::string value;
    if (at >= text.size() || text[at] != '"') {
        while (at < text.size() && text[at] != ' ')
            value.push_back(text[at++]);
        return value;
    }
    for (++at; at < text.size(); ++at) {
        if (text[at] != '"') {
            value.push_back(text[at]);
            continue;
        }
        if (at + 1 >= text.size() || text[at + 1] != '"')
            break;
        value.push_back(text[at++]);
    }
    ++at;
    return value;
}

std::map<std::string, std::string> readFields(std::string_view text)
{
    std::map<std::string, std::string> fields;
    for (std::size_t at = 0; at < text.size();) {
        std::size_t const equals = text.find('=', at);
        if (equals == std::string_view::npos)
            break;
        std::string const key(text.substr(at, equals - at));
        at = equals + 1;
        fields[key] = readValue(text, at);
        while (at < text.size() && text[at] == ' ')
            ++at;
    }
    return fields;
}

template<typename Names>
bool isOneOf(std::string const &name, Names const &names)
{
    return std::ranges::find(names, name) != names.end();
}

bool isOfCaller(LogLine const &line, std::string const &caller)
{
    auto const found = line.fields.find("caller");
    if (found == line.fields.end())
        return false;
    return found->second == caller || found->second.starts_with(caller + ":");
}

bool isWithin(LogLine const &line, LogQuery const &question)
{
    return (question.from.empty() || line.time >= question.from)
        && (question.until.empty() || line.time <= question.until);
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

LogQueryResult explainFlows(std::vector<LogLine> const &lines, LogQuery const &question)
{
    LogQueryResult answer;
    std::set<std::string> targets;
    std::set<std::string> instances;
    for (LogLine const &line : lines) {
        if (!isOfCaller(line, question.caller) || !isWithin(line, question))
            continue;
        answer.flows.push_back(line);
        instances.insert(line.instance);
        if (auto const target = line.fields.find("target"); target != line.fields.end())
            targets.insert(target->second);
    }
    for (LogLine const &line : lines) {
        if (!isWithin(line, question))
            continue;
        auto const target = line.fields.find("target");
        if (isOneOf(line.name, targetEvents) && target != line.fields.end()
            && targets.contains(target->second))
            answer.targets.push_back(line);
        bool const isConcerned = instances.contains(line.instance) || line.name.starts_with("Majority");
        if (isOneOf(line.name, beliefEvents) && isConcerned)
            answer.instanceEvents.push_back(line);
    }
    sortByTime(answer.flows);
    sortByTime(answer.targets);
    sortByTime(answer.instanceEvents);
    return answer;
}

} // namespace almondwing
