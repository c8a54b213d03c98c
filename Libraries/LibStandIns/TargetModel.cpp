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
    constexpr std::uint32_t maximumMilliseconds = 86'400'000; // A day.
    auto const number = parseNumber<std::uint32_t>(text);
    if (!number || *number > maximumMilliseconds)
        return std::nullopt;
    return std::chrono::milliseconds(*number);
}

std::optional<ReportMode> parseReportMode(std::string const &text)
{
    if (text == "truth")
        return ReportMode::Truth;
    if (text == "healthy")
        return ReportMode::AlwaysHealthy;
    if (text == "unhealthy")
        return ReportMode::AlwaysUnhealthy;
    if (text == "none")
        return ReportMode::NoAnswer;
    return std::nullopt;
}

// The behaviour after one order, or nullopt if the order is malformed or not one of these.
std::optional<TargetBehaviour> changeBehaviour(TargetBehaviour behaviour, Timestamp now,
                                               std::string const &name, std::string const &value)
{
    if (name == "state" && (value == "leaving" || value == "serving")) {
        behaviour.state = value == "leaving" ? AnnouncedState::Leaving : AnnouncedState::Serving;
        behaviour.leavingSince = now;
        return behaviour;
    }
    if (name == "shed" && (value == "on" || value == "off")) {
        behaviour.admission = value == "on" ? Admission::ShedEverything : Admission::Normal;
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
        behaviour.reportMode = mode.value_or(ReportMode::Truth);
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

TargetModel::TargetModel(TargetModelSettings targetTraits, std::uint64_t startMark, Timestamp now,
                         TargetHooks targetHooks)
    : traits(std::move(targetTraits)), hooks(std::move(targetHooks)),
      flows(this->board, this->traits, this->hooks), runs(this->board, this->traits, this->hooks)
{
    this->restart(now, startMark);
}

void TargetModel::handle(Timestamp now, Endpoint from, TargetCommand const &command)
{
    // Stands for a process that is frozen for longer than its socket buffer lasts.
    if (this->board.behaviour.read()->isFrozen(now))
        return;
    count(this->board, [now](TargetCounts &counts) {
        ++counts.packets;
        counts.lastPacket = now;
    });
    if (serviceOf(command) != ServiceId::fromName(this->traits.service)) {
        count(this->board, [](TargetCounts &counts) { ++counts.foreignPackets; });
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

HttpAnswer TargetModel::control(Timestamp now, Query const &query)
{
    for (auto const &[name, value] : query) {
        if (!this->applyOrder(now, name, value))
            return {.status = statusBadRequest,
                    .body = fmt::format(R"({{"error":"order {}={} is unknown or malformed"}})", name, value)};
    }
    return {.status = 200, .body = this->statistics(now)};
}

bool TargetModel::applyOrder(Timestamp now, std::string const &name, std::string const &value)
{
    if (name != "forget-flows" && name != "silence-flows" && name != "restart")
        return this->applyBehaviour(now, name, value);
    auto const number = parseNumber<std::uint64_t>(value);
    if (!number)
        return false;
    if (name == "forget-flows")
        this->flows.forget(*number);
    else if (name == "silence-flows")
        this->flows.silence(*number);
    else
        this->restart(now, *number);
    return true;
}

bool TargetModel::applyBehaviour(Timestamp now, std::string const &name, std::string const &value)
{
    bool isApplied = false;
    this->board.behaviour.update([&](TargetBehaviour const &behaviour) {
        auto const changed = changeBehaviour(behaviour, now, name, value);
        isApplied = changed.has_value();
        return changed.value_or(behaviour);
    });
    return isApplied;
}

void TargetModel::restart(Timestamp now, std::uint64_t startMark)
{
    this->board.behaviour.update([&](TargetBehaviour const &) {
        TargetBehaviour fresh;
        fresh.startMark = startMark;
        fresh.coldUntil = now + this->traits.coldFor;
        return fresh;
    });
    this->flows.forget(std::numeric_limits<std::size_t>::max());
    this->runs.forgetAllTries();
}

std::optional<HttpAnswer> TargetModel::health(Timestamp now) const
{
    return answerHealth(*this->board.behaviour.read(), now);
}

std::optional<HttpAnswer> TargetModel::load(Timestamp now) const
{
    auto const behaviour = this->board.behaviour.read();
    bool const isLagging = behaviour->reportLag > Duration{};
    TargetLoad const load =
        isLagging ? this->board.history.at(now - behaviour->reportLag) : *this->board.load.read();
    return answerLoad(*behaviour, this->traits, load, now);
}

std::string TargetModel::statistics(Timestamp now) const
{
    return countsJson(*this->board.counts.read(), *this->board.load.read(), now);
}

void TargetModel::pushNotices(Timestamp now)
{
    if (!this->board.behaviour.read()->isFrozen(now))
        this->flows.pushNotices();
}

TargetAnnouncement TargetModel::announcement() const
{
    auto const behaviour = this->board.behaviour.read();
    return {.name = this->traits.name,
            .service = this->traits.service,
            .failureDomain = this->traits.failureDomain,
            .packetEndpoint = {},
            .httpEndpoint = {},
            .startMark = behaviour->startMark,
            .state = behaviour->state};
}

} // namespace almondwing
