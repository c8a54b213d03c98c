// Implements the sweep of recent flows and the updates from reports of other instances.

#include <LibTokenRouting/TokenBlackboard.h>

#include <algorithm>
#include <map>

namespace almondwing {

namespace {

// A flow counts as active while its last packet is not older than this.
constexpr Duration activeWindow = 3s;

bool isUnanswered(RecentFlow const &flow)
{
    return flow.isEstablished && flow.sequenceFirstSeen > flow.lastAnsweredAt;
}

void setRemoteFlows(TokenBlackboard &board, TargetToken token, std::uint32_t flows)
{
    board.targetHealth.update(token, [&](std::optional<TargetHealth> health) -> std::optional<TargetHealth> {
        TargetHealth next = health.value_or(TargetHealth{});
        if (health && next.remoteFlows == flows)
            return std::nullopt;
        next.remoteFlows = flows;
        return next;
    });
}

} // namespace

TargetHealth TokenBlackboard::healthOf(TargetToken token) const
{
    auto const entry = this->targetHealth.read(token);
    return entry ? entry->value : TargetHealth{};
}

std::set<TargetToken> targetsWithUnansweredFlows(TokenBlackboard const &board)
{
    std::set<TargetToken> tokens;
    board.flows.forEach([&](ConnectionKey const &, RecentFlow const &flow) {
        if (isUnanswered(flow))
            tokens.insert(flow.target);
    });
    return tokens;
}

std::vector<FlowPacket> unansweredFlows(TokenBlackboard const &board, TargetToken token)
{
    std::vector<FlowPacket> flows;
    board.flows.forEach([&](ConnectionKey const &key, RecentFlow const &flow) {
        if (flow.target == token && isUnanswered(flow))
            flows.push_back(FlowPacket{.flow = key,
                                       .token = token,
                                       .sequence = flow.sequence,
                                       .acknowledgement = flow.acknowledgement});
    });
    return flows;
}

std::vector<TargetActivity> sweepFlows(TokenBlackboard &board, Timestamp now)
{
    Duration const idleTimeout = board.view.select([](ServingView const &view) { return view.idleTimeout; });
    std::map<TargetToken, std::uint32_t> active;
    std::vector<ConnectionKey> ended;
    board.flows.forEach([&](ConnectionKey const &key, RecentFlow const &flow) {
        if (now - flow.lastSeen > idleTimeout)
            ended.push_back(key);
        else if (now - flow.lastSeen <= activeWindow)
            ++active[flow.target];
    });
    for (ConnectionKey const &key : ended)
        board.flows.remove(key);
    for (auto const &[token, health] : board.targetHealth.entries()) {
        if (health.activeFlows != 0)
            active.try_emplace(token, 0);
    }
    std::vector<TargetActivity> activity;
    for (auto const &[token, count] : active) {
        std::uint32_t const flows = count;
        board.targetHealth.update(token,
                                  [flows](std::optional<TargetHealth> health) -> std::optional<TargetHealth> {
                                      TargetHealth next = health.value_or(TargetHealth{});
                                      next.activeFlows = flows;
                                      return next;
                                  });
        if (flows != 0)
            activity.push_back(TargetActivity{.token = token, .flows = flows});
    }
    return activity;
}

void setRemoteActivity(TokenBlackboard &board, std::vector<TargetActivity> const &activity)
{
    for (TargetActivity const &entry : activity)
        setRemoteFlows(board, entry.token, entry.flows);
}

void clearRemoteActivity(TokenBlackboard &board)
{
    for (auto const &[token, health] : board.targetHealth.entries())
        setRemoteFlows(board, token, 0);
}

void setGroupLoads(TokenBlackboard &board, std::vector<GroupLoad> const &loads)
{
    LoadPerSlot next;
    for (GroupLoad const &load : loads)
        next[load.group] = static_cast<double>(load.flows) / std::max(1U, load.slots);
    board.loadPerSlot.update([&next](LoadPerSlot const &) { return next; });
}

} // namespace almondwing
