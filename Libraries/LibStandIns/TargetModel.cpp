// Implements the target stand-in without its sockets.

#include <LibStandIns/TargetModel.h>

#include <fmt/format.h>

#include <charconv>
#include <limits>

namespace almondwing {

namespace {

constexpr unsigned statusBadRequest = 400;

template<typename Number>
std::optional<Number> parseNumber(std::string const &text)
{
    Number number{};
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::optional<Duration> parseMilliseconds(std::string const &text)
{
    constexpr std::uint32_t maxMilliseconds = 86'400'000; // One day.
    auto const number = parseNumber<std::uint32_t>(text);
    if (!number || *number > maxMilliseconds)
        return std::nullopt;
    return std::chrono::milliseconds(*number);
}

std::optional<ReportMode> parseReportMode(std::string const &text)
{
    if (text == "truth")
        return ReportMode::Accurate;
    if (text == "healthy")
        return ReportMode::AlwaysHealthy;
    if (text == "unhealthy")
        return ReportMode::AlwaysUnhealthy;
    if (text == "none")
        return ReportMode::NoAnswer;
    return std::nullopt;
}

// Returns the behaviour changed by one control parameter, or nullopt if the parameter is unknown or
// malformed.
std::optional<TargetBehaviour> changeBehaviour(TargetBehaviour behaviour, Timestamp now,
                                               std::string const &name, std::string const &value)
{
    if (name == "state" && (value == "leaving" || value == "serving")) {
        behaviour.state = value == "leaving" ? AnnouncedState::Leaving : AnnouncedState::Serving;
        behaviour.leavingSince = now;
        return behaviour;
    }
    if (name == "shed" && (value == "on" || value == "off")) {
        behaviour.admission = value == "on" ? Admission::ShedAll : Admission::Normal;
        return behaviour;
    }
    if (name == "load" && value == "truth") {
        behaviour.reportedLoad.reset();
        return behaviour;
    }
    if (name == "load") {
        behaviour.reportedLoad = parseNumber<double>(value);
        return behaviour.reportedLoad ? std::optional(behaviour) : std::nullopt;
    }
    if (name == "reports") {
        auto const mode = parseReportMode(value);
        behaviour.reportMode = mode.value_or(ReportMode::Accurate);
        return mode ? std::optional(behaviour) : std::nullopt;
    }
    auto const duration = parseMilliseconds(value);
    if (!duration)
        return std::nullopt;
    if (name == "cold-ms")
        behaviour.coldUntil = now + *duration;
    else if (name == "freeze-ms")
        behaviour.frozenUntil = now + *duration;
    else if (name == "report-lag-ms")
        behaviour.reportLag = *duration;
    else
        return std::nullopt;
    return behaviour;
}

ServiceId serviceOf(TargetCommand const &command)
{
    return std::visit([](auto const &message) { return message.key.service; }, command);
}

} // namespace

TargetModel::TargetModel(TargetModelSettings targetSettings, std::uint64_t startMark, Timestamp now,
                         TargetHooks targetHooks)
    : settings(std::move(targetSettings)), hooks(std::move(targetHooks)),
      flows(this->blackboard, this->settings, this->hooks),
      runs(this->blackboard, this->settings, this->hooks)
{
    this->restart(now, startMark);
}

void TargetModel::handle(Timestamp now, Endpoint from, TargetCommand const &command)
{
    // Dropped, as if the socket buffer of the frozen process were full.
    if (this->blackboard.behaviour.read()->isFrozen(now))
        return;
    updateCounts(this->blackboard, [now](TargetCounts &counts) {
        ++counts.packets;
        counts.lastPacket = now;
    });
    if (serviceOf(command) != ServiceId::fromName(this->settings.service)) {
        updateCounts(this->blackboard, [](TargetCounts &counts) { ++counts.foreignPackets; });
        return;
    }
    if (auto const *const open = std::get_if<OpenFlow>(&command))
        this->flows.handleOpen(now, from, *open);
    else if (auto const *const data = std::get_if<FlowData>(&command))
        this->flows.handleData(from, *data);
    else if (auto const *const close = std::get_if<CloseFlow>(&command))
        this->flows.handleClose(*close);
    else if (auto const *const run = std::get_if<RunRequest>(&command))
        this->runs.handleRun(now, from, *run);
    else if (auto const *const cancel = std::get_if<CancelRequest>(&command))
        this->runs.handleCancel(now, from, *cancel);
    else
        this->runs.handleResend(from, std::get<ResendParts>(command));
}

HttpReply TargetModel::control(Timestamp now, Query const &query)
{
    for (auto const &[name, value] : query) {
        if (!this->applyControl(now, name, value))
            return {.status = statusBadRequest,
                    .body = fmt::format(R"({{"error":"control parameter {}={} is unknown or malformed"}})",
                                        name, value)};
    }
    return {.status = 200, .body = this->statistics(now)};
}

bool TargetModel::applyControl(Timestamp now, std::string const &name, std::string const &value)
{
    if (name != "forget-flows" && name != "silence-flows" && name != "restart")
        return this->applyBehaviour(now, name, value);
    auto const number = parseNumber<std::uint64_t>(value);
    if (!number)
        return false;
    if (name == "forget-flows")
        this->flows.removeFlows(*number);
    else if (name == "silence-flows")
        this->flows.silenceFlows(*number);
    else
        this->restart(now, *number);
    return true;
}

bool TargetModel::applyBehaviour(Timestamp now, std::string const &name, std::string const &value)
{
    bool isApplied = false;
    this->blackboard.behaviour.update([&](TargetBehaviour const &behaviour) {
        auto const changed = changeBehaviour(behaviour, now, name, value);
        isApplied = changed.has_value();
        return changed.value_or(behaviour);
    });
    return isApplied;
}

void TargetModel::restart(Timestamp now, std::uint64_t startMark)
{
    this->blackboard.behaviour.update([&](TargetBehaviour const &) {
        TargetBehaviour fresh;
        fresh.startMark = startMark;
        fresh.coldUntil = now + this->settings.coldDuration;
        return fresh;
    });
    this->flows.removeFlows(std::numeric_limits<std::size_t>::max());
    this->runs.removeAllTries();
}

std::optional<HttpReply> TargetModel::health(Timestamp now) const
{
    return healthReply(*this->blackboard.behaviour.read(), now);
}

std::optional<HttpReply> TargetModel::load(Timestamp now) const
{
    auto const behaviour = this->blackboard.behaviour.read();
    bool const isLagging = behaviour->reportLag > Duration{};
    TargetLoad const load =
        isLagging ? this->blackboard.history.at(now - behaviour->reportLag) : *this->blackboard.load.read();
    return loadReply(*behaviour, this->settings, load, now);
}

std::string TargetModel::statistics(Timestamp now) const
{
    return countsJson(*this->blackboard.counts.read(), *this->blackboard.load.read(), now);
}

void TargetModel::sendNotices(Timestamp now)
{
    if (!this->blackboard.behaviour.read()->isFrozen(now))
        this->flows.sendNotices();
}

TargetAnnouncement TargetModel::announcement() const
{
    auto const behaviour = this->blackboard.behaviour.read();
    return {.name = this->settings.name,
            .service = this->settings.service,
            .failureDomain = this->settings.failureDomain,
            .packetEndpoint = {},
            .httpEndpoint = {},
            .startMark = behaviour->startMark,
            .state = behaviour->state};
}

} // namespace almondwing
