// Fuzzes the files of the replicated log: the decoder of records, and the storage that loads the files from
// an in-memory disk.

#include "FuzzSeeds.h"

#include <FakeDisk.h>
#include <LibCore/Hash.h>
#include <LibCore/Verify.h>
#include <LibReplication/FileStorage.h>
#include <LibReplication/RecordFormat.h>

#include <array>
#include <limits>
#include <string>
#include <vector>

namespace {

using namespace almondwing;

std::string const instance = "zvolen-1";

// The first byte of an input selects the file whose contents the rest of the input replaces.
constexpr std::array<char const *, 4> fileNames{"log", "snapshot", "vote", "identity"};

LogEntry entryAt(LogIndex index)
{
    return LogEntry{.index = index, .term = 2, .kind = EntryKind::Command, .payload = "change"};
}

std::string seedOf(char fileChoice, std::vector<StoredRecord> const &records)
{
    std::string seed(1, fileChoice);
    for (StoredRecord const &record : records)
        seed += encodeRecord(record, seed.size() - 1);
    return seed;
}

std::array<std::string, 6> const seedTexts{
    seedOf(0, {entryAt(1), CommitMark{1}, entryAt(2), entryAt(3), CommitMark{3}}),
    seedOf(0, {entryAt(1), entryAt(2), CommitMark{1}, entryAt(2), entryAt(3)}),
    seedOf(0,
           {LogEntry{.index = 1,
                     .term = 1,
                     .kind = EntryKind::Membership,
                     .payload = {},
                     .voters = {{ReplicaId{1}, "a"}, {ReplicaId{2}, "b"}}},
            LogEntry{.index = 2, .term = 1}}),
    seedOf(1, {Snapshot{.index = 2, .term = 2, .voters = {{ReplicaId{1}, "a"}}, .state = "state"}}),
    seedOf(2, {HardState{HistoryId{7}, 3, ReplicaId{1}, ReplicaId{2}}}),
    seedOf(3, {Replica{ReplicaId{41}, instance}})};

std::array<std::string_view, 6> const seeds{seedTexts[0], seedTexts[1], seedTexts[2],
                                            seedTexts[3], seedTexts[4], seedTexts[5]};

// Writes a valid magic number and checksum into each header, up to the first record whose length exceeds the
// file. Without this, nearly every mutation breaks a checksum, and the code that reads the bodies is never
// reached.
std::string withValidChecksums(std::string file)
{
    constexpr std::size_t checksumAt = 4;
    constexpr std::size_t sizeAt = 12;
    constexpr std::size_t headerSize = 24;
    std::string const anyRecord = encodeRecord(CommitMark{}, 0);
    for (std::size_t offset = 0; file.size() - offset >= headerSize;) {
        std::size_t bodySize = 0;
        for (std::size_t index = 4; index > 0; --index)
            bodySize = (bodySize << 8U) | static_cast<unsigned char>(file[offset + sizeAt + index - 1]);
        if (bodySize > file.size() - offset - headerSize)
            break;
        file.replace(offset, checksumAt, anyRecord, 0, checksumAt);
        std::uint64_t const checksum =
            hashText(std::string_view(file).substr(offset + sizeAt, headerSize - sizeAt + bodySize));
        for (std::size_t index = 0; index < sizeof(checksum); ++index)
            file[offset + checksumAt + index] = static_cast<char>(checksum >> (8 * index));
        offset += headerSize + bodySize;
    }
    return file;
}

// Guards against records that are decoded differently from what was written.
void checkRecords(std::string const &file)
{
    DecodedFile const read = decodeRecords(file);
    VERIFY((read.end == FileEnd::Clean) == (read.validSize == file.size()));
    std::size_t offset = 0;
    for (StoredRecord const &record : read.records) {
        auto const next = decodeRecord(file, offset);
        VERIFY(next && next->record == record);
        VERIFY(encodeRecord(record, next->durableSize) == file.substr(offset, next->size));
        offset += next->size;
    }
    VERIFY(offset == read.validSize);
}

absl::StatusOr<std::shared_ptr<FileStorage>> openStorage(FakeDisk &disk)
{
    return FileStorage::open(
        disk.hooks(), instance, [] { return std::uint64_t{40}; }, [](Event, std::string const &) {});
}

void putFile(FakeDisk &disk, std::string const &name, std::string const &contents)
{
    DiskHooks const hooks = disk.hooks();
    VERIFY(hooks.create(name, contents).ok());
    VERIFY(hooks.sync(name).ok());
    VERIFY(hooks.syncFolder().ok());
}

void checkLoaded(StoredState const &state)
{
    LogIndex last = state.snapshot.index;
    for (LogEntry const &entry : state.entries)
        VERIFY(entry.index == ++last);
    VERIFY(state.knownCommitIndex >= state.snapshot.index && state.knownCommitIndex <= last);
}

// Guards against damaged files that terminate the process instead of being rejected, against loaded states
// with missing entries, and against states that change from one start to the next or lose an acknowledged
// entry.
void checkStorage(char const *fileName, std::string const &file)
{
    FakeDisk disk;
    VERIFY(openStorage(disk).ok());
    putFile(disk, "vote", encodeRecord(HardState{.history = HistoryId{7}, .term = 3}, 0));
    putFile(disk, fileName, file);
    auto const opened = openStorage(disk);
    if (!opened.ok()) {
        VERIFY(!opened.status().message().empty());
        return;
    }
    StoredState expected = (*opened)->loaded();
    checkLoaded(expected);
    auto const again = openStorage(disk);
    VERIFY(again.ok());
    VERIFY((*again)->loaded() == expected);

    LogIndex const last = expected.snapshot.index + expected.entries.size();
    if (last == std::numeric_limits<LogIndex>::max())
        return;
    expected.entries.push_back(entryAt(last + 1));
    VERIFY((*again)->hooks().replaceFrom(std::span(expected.entries).last(1)).ok());
    disk.simulatePowerLoss(0);
    auto const afterLoss = openStorage(disk);
    VERIFY(afterLoss.ok());
    VERIFY((*afterLoss)->loaded().entries == expected.entries);
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer looks for this name.
extern "C" std::size_t LLVMFuzzerCustomMutator(std::uint8_t *data, std::size_t size, std::size_t maximumSize,
                                               unsigned random)
{
    return mutateFromSeeds(seeds, {data, maximumSize}, size, random);
}

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer looks for this name.
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const *data, std::size_t size)
{
    if (size == 0)
        return 0;
    char const *const fileName = fileNames[data[0] % fileNames.size()];
    std::string const file(data + 1, data + size);
    std::string const repaired = withValidChecksums(file);
    checkRecords(file);
    checkRecords(repaired);
    checkStorage(fileName, file);
    checkStorage(fileName, repaired);
    return 0;
}
