// Implements the sweep over recent flows and the exchange of their counts.

#include <LibTokenRouting/TokenBlackboard.h>

#include <algorithm>
#include <map>

namespace almondwing {

namespace {

// A flow counts as load while its caller sends at least this often.
constexpr Duration activeWindow = 3s;

void setRemoteFlows(TokenBlackboard &board, TargetToken token, std::uint32_t flows)
{
    board.signs.update(token, [&](std::optional<TargetHealth> signs) -> std::optional<TargetHealth> {
        TargetHealth next = signs.value_or(TargetHealth{});
        if (signs && next.remoteFlows == flows)
            return std::nullopt;
        next.remoteFlows = flows;
        return next;
    });
}

} // namespace

TargetHealth TokenBlackboard::healthOf(TargetToken token) const
{
    auto const entry = this->signs.read(token);
    return entry ? entry->value : TargetHealth{};
}

std::vector<FlowPacket> unansweredFlows(TokenBlackboard const &board, TargetToken token)
{
    std::vector<FlowPacket> flows;
    board.flows.forEach([&](ConnectionKey const &key, RecentFlow const &note) {
        bool const isWaiting = note.isEstablished && note.sequenceSince > note.answeredAt;
        if (note.target == token && isWaiting)
            flows.push_back(FlowPacket{.flow = key,
                                       .token = token,
                                       .sequence = note.sequence,
                                       .acknowledgement = note.acknowledgement});
    });
    return flows;
}

std::vector<TargetActivity> sweepFlows(TokenBlackboard &board, Timestamp now)
{
    Duration const idleTimeout = board.view.select([](ServingView const &view) { return view.idleTimeout; });
    std::map<TargetToken, std::uint32_t> active;
    std::vector<ConnectionKey> ended;
    board.flows.forEach([&](ConnectionKey const &key, RecentFlow const &note) {
        if (now - note.lastSeen > idleTimeout)
            ended.push_back(key);
        else if (now - note.lastSeen <= activeWindow)
            ++active[note.target];
    });
    for (ConnectionKey const &key : ended)
        board.flows.remove(key);
    for (auto const &[token, signs] : board.signs.entries()) {
        if (signs.activeFlows != 0)
            active.try_emplace(token, 0);
    }
    std::vector<TargetActivity> activity;
    for (auto const &[token, count] : active) {
        std::uint32_t const flows = count;
        board.signs.update(token, [flows](std::optional<TargetHealth> signs) -> std::optional<TargetHealth> {
            TargetHealth next = signs.value_or(TargetHealth{});
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
    for (auto const &[token, signs] : board.signs.entries())
        setRemoteFlows(board, token, 0);
}

void setGroupLoads(TokenBlackboard &board, std::vector<GroupLoad> const &loads)
{
    GroupLoads next;
    for (GroupLoad const &load : loads)
        next[load.group] = static_cast<double>(load.flows) / std::max(1U, load.slots);
    board.groupLoads.update([&next](GroupLoads const &) { return next; });
}

} // namespace almondwing
