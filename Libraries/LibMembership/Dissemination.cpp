// Implements the selection of piggybacked updates.

#include <LibMembership/Dissemination.h>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace almondwing {

namespace {

// Ids, incarnation and sequence as 64-bit fields, endpoints, small numbers, and one header byte for each
// field.
constexpr std::size_t memberBytesWithoutStrings = 64;
constexpr std::size_t targetBytesWithoutStrings = 112;

// A write that fails with a version conflict is not repeated: either the update was queued again, which
// resets its count, or another thread has counted a transmission. One transmission too many is harmless.
template<typename Table, typename Key>
void countTransmission(Table &updates, Key const &key, std::uint32_t maxTransmissions)
{
    auto const current = updates.read(key);
    if (!current)
        return;
    auto const left = std::min(current->value.transmissionsLeft, maxTransmissions);
    if (left <= 1) {
        (void)updates.erase(key, current->version);
        return;
    }
    (void)updates.write(key, PendingUpdate{.transmissionsLeft = left - 1}, current->version);
}

template<typename Table, typename Updates, typename Record>
std::size_t attachRecords(Table const &table, Updates &updates, std::vector<Record> &records,
                          std::size_t usedBytes, std::uint32_t maxTransmissions)
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
        auto const bytes = maxEncodedBytes(record->value);
        if (bytes > maxRecordBytesPerMessage) {
            // The record fits into no message. Other instances fetch it when they compare digests.
            updates.remove(key);
            continue;
        }
        if (usedBytes + bytes > maxRecordBytesPerMessage)
            break;
        usedBytes += bytes;
        records.push_back(record->value);
        countTransmission(updates, key, maxTransmissions);
    }
    return usedBytes;
}

} // namespace

std::uint32_t transmissionLimit(std::size_t memberCount)
{
    return static_cast<std::uint32_t>(std::ceil(3 * std::log2(static_cast<double>(memberCount) + 1)));
}

std::size_t maxEncodedBytes(MemberRecord const &member)
{
    return memberBytesWithoutStrings + member.name.size() + member.failureDomain.size();
}

std::size_t maxEncodedBytes(TargetRecord const &target)
{
    return targetBytesWithoutStrings + target.name.size() + target.failureDomain.size();
}

void attachUpdates(Blackboard &blackboard, Gossip &gossip, std::uint32_t maxTransmissions)
{
    std::size_t usedBytes = 0;
    for (MemberRecord const &member : gossip.members)
        usedBytes += maxEncodedBytes(member);
    usedBytes = attachRecords(blackboard.members, blackboard.memberUpdates, gossip.members, usedBytes,
                              maxTransmissions);
    attachRecords(blackboard.targets, blackboard.targetUpdates, gossip.targets, usedBytes, maxTransmissions);
}

void queueMemberUpdate(Blackboard &blackboard, InstanceId member, std::uint32_t transmissions)
{
    blackboard.memberUpdates.update(member, [transmissions](std::optional<PendingUpdate> const &) {
        return std::optional(PendingUpdate{.transmissionsLeft = transmissions});
    });
}

void queueTargetUpdate(Blackboard &blackboard, TargetId target, std::uint32_t transmissions)
{
    blackboard.targetUpdates.update(target, [transmissions](std::optional<PendingUpdate> const &) {
        return std::optional(PendingUpdate{.transmissionsLeft = transmissions});
    });
}

} // namespace almondwing
