// A target stand-in without its sockets: passes packets to the flows and runs, and applies control
// parameters.

#pragma once

#include <LibStandIns/Http.h>
#include <LibStandIns/TargetBlackboard.h>
#include <LibStandIns/TargetFlows.h>
#include <LibStandIns/TargetReports.h>
#include <LibStandIns/TargetRuns.h>

namespace almondwing {

class TargetModel
{
public:
    TargetModel(TargetModelSettings targetSettings, std::uint64_t startMark, Timestamp now,
                TargetHooks targetHooks);
    TargetModel(TargetModel const &) = delete;
    TargetModel &operator=(TargetModel const &) = delete;

    void handle(Timestamp now, Endpoint from, TargetCommand const &command);

    // Applies parameters such as `state=leaving`, `cold-ms=5000`, `shed=on`, `freeze-ms=3000`,
    // `reports=truth`, `load=0.1`, `report-lag-ms=4000`, `forget-flows=10`, `silence-flows=10` or
    // `restart=MARK`. They are applied in alphabetical order up to the first unknown or malformed one, which
    // makes the response an error.
    HttpReply control(Timestamp now, Query const &query);

    std::optional<HttpReply> health(Timestamp now) const;
    std::optional<HttpReply> load(Timestamp now) const;
    std::string statistics(Timestamp now) const;

    void sendNotices(Timestamp now);
    void removeOldTries(Timestamp now) { this->runs.removeOldTries(now); }

    // Returns an announcement without its endpoints, which the program fills in.
    TargetAnnouncement announcement() const;

private:
    bool applyControl(Timestamp now, std::string const &name, std::string const &value);
    bool applyBehaviour(Timestamp now, std::string const &name, std::string const &value);
    void restart(Timestamp now, std::uint64_t startMark);

    TargetModelSettings settings;
    TargetHooks hooks;
    TargetBlackboard blackboard;
    TargetFlows flows;
    TargetRuns runs;
};

} // namespace almondwing
