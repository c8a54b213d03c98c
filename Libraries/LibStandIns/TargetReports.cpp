// Implements the reports of a target stand-in.

#include <LibStandIns/TargetReports.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondwing {

namespace {

constexpr unsigned statusUnavailable = 503;

} // namespace

std::optional<HttpReply> healthReply(TargetBehaviour const &behaviour, Timestamp now)
{
    if (behaviour.isFrozen(now) || behaviour.reportMode == ReportMode::NoAnswer)
        return std::nullopt;
    if (behaviour.reportMode == ReportMode::AlwaysUnhealthy)
        return HttpReply{.status = statusUnavailable, .body = R"({"status":"unhealthy"})"};
    return HttpReply{.status = 200, .body = R"({"status":"healthy"})"};
}

std::optional<HttpReply> loadReply(TargetBehaviour const &behaviour, TargetModelSettings const &settings,
                                   TargetLoad load, Timestamp now)
{
    if (behaviour.isFrozen(now) || behaviour.reportMode == ReportMode::NoAnswer)
        return std::nullopt;
    double const runningFraction = static_cast<double>(load.running) / std::max(1U, settings.slots);
    nlohmann::json const json{{"load", behaviour.reportedLoad.value_or(runningFraction)},
                              {"running", load.running},
                              {"slots", settings.slots},
                              {"connections", load.openFlows},
                              {"connectionLimit", settings.connections}};
    return HttpReply{.status = 200, .body = json.dump()};
}

std::string announcementJson(TargetAnnouncement const &announcement)
{
    bool const isLeaving = announcement.state == AnnouncedState::Leaving;
    nlohmann::json const json{{"name", announcement.name},
                              {"service", announcement.service},
                              {"failureDomain", announcement.failureDomain},
                              {"packetEndpoint", announcement.packetEndpoint.toString()},
                              {"httpEndpoint", announcement.httpEndpoint.toString()},
                              {"startMark", announcement.startMark},
                              {"state", isLeaving ? "leaving" : "serving"}};
    return json.dump();
}

std::string countsJson(TargetCounts const &counts, TargetLoad load, Timestamp now)
{
    auto const sinceLastPacket =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - counts.lastPacket);
    auto const lastWork = std::chrono::duration_cast<std::chrono::milliseconds>(counts.lastWorkWhileLeaving);
    nlohmann::json const json{{"packets", counts.packets},
                              {"msSinceLastPacket", counts.packets > 0 ? sinceLastPacket.count() : -1},
                              {"running", load.running},
                              {"openFlows", load.openFlows},
                              {"flowsOpened", counts.flowsOpened},
                              {"flowsRefused", counts.flowsRefused},
                              {"runsStarted", counts.runsStarted},
                              {"runsAnswered", counts.runsAnswered},
                              {"runsShed", counts.runsShed},
                              {"runsCancelled", counts.runsCancelled},
                              {"runsExpired", counts.runsExpired},
                              {"overfilledWhileCold", counts.overfilledWhileCold},
                              {"foreignPackets", counts.foreignPackets},
                              {"workWhileLeaving", counts.workWhileLeaving},
                              {"lastWorkAfterLeavingMs", lastWork.count()}};
    return json.dump();
}

} // namespace almondwing
