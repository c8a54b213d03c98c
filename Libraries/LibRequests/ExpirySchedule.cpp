// Implements the expiry schedule.

#include <LibRequests/ExpirySchedule.h>

#include <algorithm>

namespace almondwing {

namespace {

constexpr std::uint64_t shardsPerSecond = 64;

std::uint64_t tableKey(std::int64_t second, std::uint64_t shard)
{
    return static_cast<std::uint64_t>(second) * shardsPerSecond + shard;
}

std::uint64_t shardOf(RequestKey key)
{
    return mixBits(std::hash<RequestKey>{}(key)) % shardsPerSecond;
}

} // namespace

std::int64_t secondOf(Timestamp time)
{
    return std::chrono::floor<std::chrono::seconds>(time).time_since_epoch().count();
}

void ExpirySchedule::addRequest(RequestKey key, Timestamp expiry)
{
    // A key that is added to a second that was swept already would never expire.
    auto const second = std::max(secondOf(expiry), this->nextSecond.load() + 1);
    this->blackboard.expiringRequests.update(tableKey(second, shardOf(key)),
                                             [&](std::optional<ExpiringRequests> const &entry) {
                                                 auto next = entry.value_or(ExpiringRequests{});
                                                 next.requests.push_back(key);
                                                 return std::optional(std::move(next));
                                             });
}

void ExpirySchedule::addReplicaRecord(RequestKey key, Timestamp expiry)
{
    auto const second = std::max(secondOf(expiry), this->nextSecond.load() + 1);
    this->blackboard.expiringRequests.update(tableKey(second, shardOf(key)),
                                             [&](std::optional<ExpiringRequests> const &entry) {
                                                 auto next = entry.value_or(ExpiringRequests{});
                                                 next.replicaRecords.push_back(key);
                                                 return std::optional(std::move(next));
                                             });
}

ExpiringRequests ExpirySchedule::takeExpired(Timestamp now)
{
    auto const currentSecond = secondOf(now);
    std::int64_t second = this->nextSecond.load();
    if (second < 0) {
        this->nextSecond.compare_exchange_strong(second, currentSecond);
        return {};
    }
    ExpiringRequests expired;
    while (second < currentSecond && this->nextSecond.compare_exchange_weak(second, second + 1)) {
        for (std::uint64_t shard = 0; shard < shardsPerSecond; ++shard) {
            auto const entry = this->blackboard.expiringRequests.read(tableKey(second, shard));
            if (!entry)
                continue;
            this->blackboard.expiringRequests.remove(tableKey(second, shard));
            expired.requests.insert(expired.requests.end(), entry->value.requests.begin(),
                                    entry->value.requests.end());
            expired.replicaRecords.insert(expired.replicaRecords.end(), entry->value.replicaRecords.begin(),
                                          entry->value.replicaRecords.end());
        }
        second = this->nextSecond.load();
    }
    return expired;
}

std::vector<RequestKey> ExpirySchedule::requestsExpiringIn(std::int64_t second) const
{
    std::vector<RequestKey> keys;
    for (std::uint64_t shard = 0; shard < shardsPerSecond; ++shard) {
        if (auto const entry = this->blackboard.expiringRequests.read(tableKey(second, shard)))
            keys.insert(keys.end(), entry->value.requests.begin(), entry->value.requests.end());
    }
    return keys;
}

} // namespace almondwing
