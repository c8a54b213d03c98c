// Implements the expiry schedule.

#include <LibRequests/ExpirySchedule.h>

#include <algorithm>

namespace almondwing {

namespace {

constexpr std::uint64_t partsOfSecond = 64;

std::uint64_t slotOf(std::int64_t second, std::uint64_t part)
{
    return static_cast<std::uint64_t>(second) * partsOfSecond + part;
}

std::uint64_t partOf(RequestKey key)
{
    return mixBits(std::hash<RequestKey>{}(key)) % partsOfSecond;
}

} // namespace

std::int64_t secondOf(Timestamp time)
{
    return std::chrono::floor<std::chrono::seconds>(time).time_since_epoch().count();
}

void ExpirySchedule::fileRequest(RequestKey key, Timestamp expiry)
{
    // A key filed for a second that was already swept would stay for ever.
    auto const second = std::max(secondOf(expiry), this->nextSecond.load() + 1);
    this->blackboard.expiringRequests.update(slotOf(second, partOf(key)),
                                             [&](std::optional<ExpiringRequests> const &slot) {
                                                 auto next = slot.value_or(ExpiringRequests{});
                                                 next.requests.push_back(key);
                                                 return std::optional(std::move(next));
                                             });
}

void ExpirySchedule::fileReplicaRecord(RequestKey key, Timestamp expiry)
{
    auto const second = std::max(secondOf(expiry), this->nextSecond.load() + 1);
    this->blackboard.expiringRequests.update(slotOf(second, partOf(key)),
                                             [&](std::optional<ExpiringRequests> const &slot) {
                                                 auto next = slot.value_or(ExpiringRequests{});
                                                 next.replicaRecords.push_back(key);
                                                 return std::optional(std::move(next));
                                             });
}

ExpiringRequests ExpirySchedule::takeExpired(Timestamp now)
{
    auto const present = secondOf(now);
    std::int64_t second = this->nextSecond.load();
    if (second < 0) {
        this->nextSecond.compare_exchange_strong(second, present);
        return {};
    }
    ExpiringRequests expired;
    while (second < present && this->nextSecond.compare_exchange_weak(second, second + 1)) {
        for (std::uint64_t part = 0; part < partsOfSecond; ++part) {
            auto const slot = this->blackboard.expiringRequests.read(slotOf(second, part));
            if (!slot)
                continue;
            this->blackboard.expiringRequests.remove(slotOf(second, part));
            expired.requests.insert(expired.requests.end(), slot->value.requests.begin(),
                                    slot->value.requests.end());
            expired.replicaRecords.insert(expired.replicaRecords.end(), slot->value.replicaRecords.begin(),
                                          slot->value.replicaRecords.end());
        }
        second = this->nextSecond.load();
    }
    return expired;
}

std::vector<RequestKey> ExpirySchedule::requestsExpiringIn(std::int64_t second) const
{
    std::vector<RequestKey> keys;
    for (std::uint64_t part = 0; part < partsOfSecond; ++part) {
        if (auto const slot = this->blackboard.expiringRequests.read(slotOf(second, part)))
            keys.insert(keys.end(), slot->value.requests.begin(), slot->value.requests.end());
    }
    return keys;
}

} // namespace almondwing
