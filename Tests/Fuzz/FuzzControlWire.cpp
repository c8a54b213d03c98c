// Fuzzes the decoder of the messages between control instances.

#include "FuzzSeeds.h"

#include <LibControlWire/ReplicationCodec.h>
#include <LibCore/Verify.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <string>

namespace {

using namespace almondwing;

constexpr std::string_view cluster = "c";

std::string seedOf(ReplicaMessage const &message)
{
    return encodeReplicaEnvelope(cluster,
                                 ReplicaEnvelope{.from = {ReplicaId{1}, "a"},
                                                 .to = {ReplicaId{2}, "b"},
                                                 .history = HistoryId{7},
                                                 .message = message});
}

std::vector<LogEntry> const entries{
    LogEntry{.index = 2, .term = 1},
    LogEntry{.index = 3, .term = 1, .kind = EntryKind::Command, .payload = "change"},
    LogEntry{.index = 4,
             .term = 2,
             .kind = EntryKind::Membership,
             .payload = {},
             .voters = {{ReplicaId{1}, "a"}}}};

// A message that is valid but for one number, because mutations seldom make a number negative.
std::string seedWithNegativeNumber()
{
    std::string seed = seedOf(JoinRequest{4321});
    return seed.replace(seed.find("4321"), 1, "-");
}

std::array<std::string, 11> const seedTexts{
    seedWithNegativeNumber(),
    seedOf(VoteRequest{VoteKind::Vote, 3, 2, 1}),
    seedOf(VoteReply{VoteKind::PreVote, 3, VoteVerdict::Granted}),
    seedOf(AppendRequest{2, 1, 1, entries, 1, 9}),
    seedOf(AppendReply{2, AppendVerdict::Refused, 0, 1, 1, 9}),
    seedOf(SnapshotPart{2, 4, 2, {{ReplicaId{1}, "a"}}, 5, 77, 0, "state", 9}),
    seedOf(SnapshotReply{2, 4, 5, 4, 9}),
    seedOf(JoinRequest{4}),
    seedOf(BootstrapQuery{1, {"a", "b"}}),
    seedOf(BootstrapReply{1, BootstrapVerdict::Empty}),
    seedOf(BootstrapCommand{BootstrapOrigin::Member, {{ReplicaId{1}, "a"}}})};

std::array<std::string_view, 11> const seeds = [] {
    std::array<std::string_view, 11> views;
    std::ranges::copy(seedTexts, views.begin());
    return views;
}();

using Json = nlohmann::json;

// Whether each number that was written again is the one that was received. Texts may differ, because base64
// has several forms of the same bytes.
bool hasSameNumbers(Json const &written, Json const &received)
{
    // As texts, because the comparison of the library takes -1 for the largest unsigned number.
    if (written.is_number())
        return written.dump() == received.dump();
    if (written.type() != received.type() || !written.is_structured())
        return true;
    if (written.is_array())
        return std::ranges::equal(written, received, hasSameNumbers);
    return std::ranges::all_of(written.items(), [&received](auto const &item) {
        auto const found = received.find(item.key());
        return found == received.end() || hasSameNumbers(item.value(), *found);
    });
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer looks for this name.
extern "C" std::size_t LLVMFuzzerCustomMutator(std::uint8_t *data, std::size_t size, std::size_t maximumSize,
                                               unsigned random)
{
    return mutateFromSeeds(seeds, {data, maximumSize}, size, random);
}

// Guards against a crash that a peer could cause, against a message that changes on the way, and against a
// number that is cut to the range of its field.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer looks for this name.
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const *data, std::size_t size)
{
    std::string_view const body(reinterpret_cast<char const *>(data), size);
    auto const decoded = decodeReplicaEnvelope(cluster, body);
    if (!decoded.ok()) {
        VERIFY(!decoded.status().message().empty());
        return 0;
    }
    std::string const written = encodeReplicaEnvelope(cluster, *decoded);
    VERIFY(hasSameNumbers(Json::parse(written), Json::parse(body)));
    auto const again = decodeReplicaEnvelope(cluster, written);
    VERIFY(again.ok());
    VERIFY(*again == *decoded);
    return 0;
}
