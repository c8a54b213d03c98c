// Implements the choice of piggybacked updates.

#include <LibMembership/Dissemination.h>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace almondwing {

namespace {

// Ids, incarnation and sequence as 64-bit fields, endpoints, small numbers, and a header byte for each.
constexpr std::size_t memberBytesWithoutText = 64;
constexpr std::size_t targetBytesWithoutText = 112;

// A write that lost a race is not repeated: the update was queued anew in between and starts its count again.
template<typename Table, typename Key>
void countTransmission(Table &updates, Key const &key, std::uint32_t maximumTransmissions)
{
    auto const current = updates.read(key);
    if (!current)
        return;
    auto const left = std::min(current->value.transmissionsLeft, maximumTransmissions);
    if (left <= 1) {
        (void)updates.erase(key, current->version);
        return;
    }
    (void)updates.write(key, PendingUpdate{.transmissionsLeft = left - 1}, current->version);
}

template<typename Table, typename Updates, typename Record>
std::size_t attachRecords(Table const &table, Updates &updates, std::vector<Record> &records,
                          std::size_t usedBytes, std::uint32_t maximumTransmissions)
{
    auto pending = updates.entries();
    std::ranges::sort(pending, [](auto const &first, auto const &second) {
        return std::pair(second.second.transmissionsLeft, first.first)
            < std::pair(first.second.transmissionsLeft, second.first);
    });
    for (auto const &[key, update] : pending) {
        auto const record = table.read(key);
        if (!record) {
            updates.remove(key);
            continue;
        }
        if (std::ranges::find(records, key, &Record::id) != records.end())
            continue;
        auto const bytes = encodedBytesBound(record->value);
        if (bytes > recordBytesPerMessage) {
            // It fits into no message; other instances get it when they compare digests.
            updates.remove(key);
            continue;
        }
        if (usedBytes + bytes > recordBytesPerMessage)
            break;
        usedBytes += bytes;
        records.push_back(record->value);
        countTransmission(updates, key, maximumTransmissions);
    }
    return usedBytes;
}

} // namespace

std::uint32_t transmissionCount(std::size_t memberCount)
{
    return static_cast<std::uint32_t>(std::ceil(3 * std::log2(static_cast<double>(memberCount) + 1)));
}

std::size_t encodedBytesBound(MemberRecord const &member)
{
    return memberBytesWithoutText + member.name.size() + member.failureDomain.size();
}

std::size_t encodedBytesBound(TargetRecord const &target)
{
    return targetBytesWithoutText + target.name.size() + target.failureDomain.size();
}

void attachUpdates(Blackboard &blackboard, Gossip &gossip, std::uint32_t maximumTransmissions)
{
    std::size_t usedBytes = 0;
    for (MemberRecord const &member : gossip.members)
        usedBytes += encodedBytesBound(member);
    usedBytes = attachRecords(blackboard.members, blackboard.memberUpdates, gossip.members, usedBytes,
                              maximumTransmissions);
    attachRecords(blackboard.targets, blackboard.targetUpdates, gossip.targets, usedBytes,
                  maximumTransmissions);
}

void queueMember(Blackboard &blackboard, InstanceId member, std::uint32_t transmissions)
{
    blackboard.memberUpdates.update(member, [transmissions](std::optional<PendingUpdate> const &) {
        return std::optional(PendingUpdate{.transmissionsLeft = transmissions});
    });
}

void queueTarget(Blackboard &blackboard, TargetId target, std::uint32_t transmissions)
{
    blackboard.targetUpdates.update(target, [transmissions](std::optional<PendingUpdate> const &) {
        return std::optional(PendingUpdate{.transmissionsLeft = transmissions});
    });
}

} // namespace almondwing
