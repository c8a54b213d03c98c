// A target stand-in without its sockets: hands packets to the flows and runs, and applies control orders.

#pragma once

#include <LibStandIns/Http.h>
#include <LibStandIns/TargetBoard.h>
#include <LibStandIns/TargetFlows.h>
#include <LibStandIns/TargetReports.h>
#include <LibStandIns/TargetRuns.h>

namespace almondwing {

class TargetModel
{
public:
    TargetModel(TargetModelSettings targetTraits, std::uint64_t startMark, Timestamp now,
                TargetHooks targetHooks);
    TargetModel(TargetModel const &) = delete;
    TargetModel &operator=(TargetModel const &) = delete;

    void handle(Timestamp now, Endpoint from, TargetCommand const &command);

    // Applies an order such as `state=leaving`, `cold-ms=5000`, `shed=on`, `freeze-ms=3000`, `reports=truth`,
    // `load=0.1`, `report-lag-ms=4000`, `forget-flows=10`, `silence-flows=10` or `restart=MARK`. Several may
    // come in one query; an unknown or malformed one refuses the whole query.
    HttpAnswer control(Timestamp now, Query const &query);

    std::optional<HttpAnswer> health(Timestamp now) const;
    std::optional<HttpAnswer> load(Timestamp now) const;
    std::string statistics(Timestamp now) const;

    void pushNotices(Timestamp now);
    void forgetOldTries(Timestamp now) { this->runs.forgetOldTries(now); }

    // The fields of an announcement that the model knows; the endpoints are left to the program.
    TargetAnnouncement announcement() const;

private:
    bool applyOrder(Timestamp now, std::string const &name, std::string const &value);
    bool applyBehaviour(Timestamp now, std::string const &name, std::string const &value);
    void restart(Timestamp now, std::uint64_t startMark);

    TargetModelSettings traits;
    TargetHooks hooks;
    TargetBoard board;
    TargetFlows flows;
    TargetRuns runs;
};

} // namespace almondwing
