// Implements the event log with glog.

#include <LibFrontEnd/EventLog.h>

#include <LibFrontEnd/IoRuntime.h>

#include <fmt/format.h>
#include <glog/logging.h>

namespace almondwing {

namespace {

void writeLine(Severity severity, std::string const &line)
{
    switch (severity) {
    case Severity::Information:
        LOG(INFO) << line;
        return;
    case Severity::Warning:
        LOG(WARNING) << line;
        return;
    case Severity::Error:
        LOG(ERROR) << line;
        return;
    }
}

} // namespace

void EventLog::initialize(std::string const &program, std::string const &folder)
{
    FLAGS_logtostderr = folder.empty();
    FLAGS_alsologtostderr = false;
    FLAGS_log_dir = folder;
    FLAGS_logbuflevel = -1; // Flushes each line at once, so that a crash loses none.
    // glog keeps the pointer to the program name.
    static std::string const name = program;
    google::InitGoogleLogging(name.c_str());
}

EventLog::EventLog(Severity minimumSeverity) : minSeverity(minimumSeverity) { }

void EventLog::report(Event event, std::string const &text)
{
    EventDescription const &description = describeEvent(event);
    Timestamp const now = IoRuntime::now();
    std::uint64_t suppressed = 0;
    {
        std::scoped_lock const lock(this->mutex);
        Window &window = this->windows[event];
        ++window.total;
        if (now - window.begin >= eventWindow) {
            suppressed = window.suppressed;
            window.begin = now;
            window.logged = 0;
            window.suppressed = 0;
        }
        if (window.logged >= maxLinesPerWindow) {
            ++window.suppressed;
            return;
        }
        ++window.logged;
    }
    if (description.severity < this->minSeverity)
        return;
    std::string const repeats =
        suppressed > 0 ? fmt::format(" ({} earlier reports suppressed)", suppressed) : std::string();
    writeLine(description.severity,
              fmt::format("AW{} {}: {}{}", static_cast<unsigned>(event), description.name, text, repeats));
}

std::map<Event, std::uint64_t> EventLog::counts() const
{
    std::scoped_lock const lock(this->mutex);
    std::map<Event, std::uint64_t> counts;
    for (auto const &[event, window] : this->windows)
        counts.emplace(event, window.total);
    return counts;
}

} // namespace almondwing
