// Implements the sweep over recent flows and the exchange of their counts.

#include <LibTokenRouting/TokenBoard.h>

#include <algorithm>
#include <map>

namespace almondwing {

namespace {

// A flow counts as load while its caller sends at least this often.
constexpr Duration activeWindow = 3s;

std::map<TargetToken, std::uint32_t> countsByToken(std::vector<TargetActivity> const &activity)
{
    std::map<TargetToken, std::uint32_t> counts;
    for (TargetActivity const &entry : activity)
        counts[entry.token] += entry.flows;
    return counts;
}

} // namespace

TargetSigns TokenBoard::signsOf(TargetToken token) const
{
    auto const entry = this->signs.read(token);
    return entry ? entry->value : TargetSigns{};
}

std::vector<TargetActivity> sweepFlows(TokenBoard &board, Timestamp now)
{
    Duration const idleTimeout = board.view.select([](ServingView const &view) { return view.idleTimeout; });
    std::map<TargetToken, std::uint32_t> active;
    std::vector<ConnectionKey> ended;
    board.flows.forEach([&](ConnectionKey const &key, FlowNote const &note) {
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
    for (auto const &[token, flows] : active) {
        board.signs.update(token, [&](std::optional<TargetSigns> signs) -> std::optional<TargetSigns> {
            TargetSigns next = signs.value_or(TargetSigns{});
            next.activeFlows = flows;
            return next;
        });
        if (flows != 0)
            activity.push_back(TargetActivity{.token = token, .flows = flows});
    }
    return activity;
}

void noteRemoteActivity(TokenBoard &board, std::vector<TargetActivity> const &activity)
{
    auto counts = countsByToken(activity);
    for (auto const &[token, signs] : board.signs.entries()) {
        if (signs.remoteFlows != 0)
            counts.try_emplace(token, 0);
    }
    for (auto const &[token, flows] : counts) {
        board.signs.update(token, [&](std::optional<TargetSigns> signs) -> std::optional<TargetSigns> {
            TargetSigns next = signs.value_or(TargetSigns{});
            if (signs && next.remoteFlows == flows)
                return std::nullopt;
            next.remoteFlows = flows;
            return next;
        });
    }
}

} // namespace almondwing
