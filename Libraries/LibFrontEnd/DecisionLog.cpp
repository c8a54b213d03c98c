// Implements structured lines; glog stamps them and hands them to the queue.

#include <LibFrontEnd/DecisionLog.h>

#include <LibFrontEnd/IoRuntime.h>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <glog/logging.h>

#include <array>
#include <chrono>

namespace almondwing {

namespace {

constexpr Duration window = 1s;

std::string_view nameOfSeverity(Severity severity)
{
    switch (severity) {
    case Severity::Information:
        return "information";
    case Severity::Warning:
        return "warning";
    case Severity::Error:
        return "error";
    }
    return "";
}

std::string timeText()
{
    auto const now = std::chrono::system_clock::now();
    auto const milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                       milliseconds % 1000);
}

bool beginsWithKey(std::string const &text)
{
    std::size_t const end = text.find_first_not_of("abcdefghijklmnopqrstuvwxyz_");
    return end != std::string::npos && end > 0 && text[end] == '=';
}

} // namespace

// Takes the message as it is, without the prefix of glog.
struct DecisionLog::Sink : google::LogSink
{
    explicit Sink(LineQueue &lineQueue) : queue(lineQueue) { }

    void send(google::LogSeverity, char const *, char const *, int, std::tm const *, char const *message,
              std::size_t length) override
    {
        this->queue.add(std::string(message, length));
    }

    LineQueue &queue;
};

DecisionLog::DecisionLog(DecisionLogSettings logSettings)
    : settings(std::move(logSettings)), queue(settings.descriptor, settings.queue)
{
}

DecisionLog::~DecisionLog() = default;

void DecisionLog::report(Event event, std::string const &fields)
{
    EventDescription const &description = describeEvent(event);
    Timestamp const now = IoRuntime::now();
    std::uint64_t leftOut = 0;
    {
        std::scoped_lock const lock(this->mutex);
        Window &current = this->windows[event];
        ++current.total;
        if (now - current.begin >= window) {
            leftOut = current.leftOut;
            current = Window{.begin = now, .total = current.total};
        }
        if (current.written >= this->settings.linesPerSecond) {
            ++current.leftOut;
            return;
        }
        ++current.written;
    }
    std::string line = fmt::format("time={} event=AW{} name={} severity={} instance={} {}", timeText(),
                                   static_cast<unsigned>(event), description.name,
                                   nameOfSeverity(description.severity), this->settings.instance,
                                   beginsWithKey(fields) ? fields : "text=" + quoteLogValue(fields));
    if (leftOut > 0)
        line += fmt::format(" left_out={}", leftOut);
    Sink sink(this->queue);
    LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&sink, INFO) << line;
}

std::map<Event, std::uint64_t> DecisionLog::counts() const
{
    std::scoped_lock const lock(this->mutex);
    std::map<Event, std::uint64_t> counts;
    for (auto const &[event, current] : this->windows)
        counts.emplace(event, current.total);
    return counts;
}

std::string quoteLogValue(std::string const &value)
{
    if (value.find_first_of(" \"\n\r\t=") == std::string::npos && !value.empty())
        return value;
    std::string quoted = "\"";
    for (char const character : value) {
        if (character == '"')
            quoted += "\"\"";
        else
            quoted += character == '\n' || character == '\r' ? ' ' : character;
    }
    return quoted + "\"";
}

} // namespace almondwing
