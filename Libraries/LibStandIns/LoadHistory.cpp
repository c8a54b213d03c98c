// Implements the history of a target's load.

#include <LibStandIns/LoadHistory.h>

#include <algorithm>

namespace almondwing {

namespace {

// Holds several minutes of history at the rate of changes that two slots allow.
constexpr std::size_t maxSamples = 20'000;

} // namespace

void LoadHistory::add(Timestamp now, TargetLoad load)
{
    std::scoped_lock const lock(this->mutex);
    // Another thread may have read a later time and added its sample first; the samples must stay sorted.
    Timestamp const time = this->samples.empty() ? now : std::max(now, this->samples.back().time);
    this->samples.push_back({time, load});
    if (this->samples.size() > maxSamples)
        this->samples.pop_front();
}

TargetLoad LoadHistory::at(Timestamp time) const
{
    std::scoped_lock const lock(this->mutex);
    if (this->samples.empty())
        return {};
    auto const after = std::ranges::upper_bound(this->samples, time, {}, &Sample::time);
    return after == this->samples.begin() ? after->load : std::prev(after)->load;
}

} // namespace almondwing
