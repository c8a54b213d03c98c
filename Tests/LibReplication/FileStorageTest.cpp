// Tests of the storage of a replica under crashes, torn writes, bit flips and full disks.

#include "FakeDisk.h"

#include <LibReplication/FileStorage.h>
#include <LibReplication/FolderDisk.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <vector>

namespace almondwing {

namespace {

std::string const instance = "zvolen-1";

absl::StatusOr<std::shared_ptr<FileStorage>> openStorage(DiskHooks disk)
{
    return FileStorage::open(
        std::move(disk), instance, [] { return std::uint64_t{41}; }, [](Event, std::string const &) {});
}

LogEntry entryAt(LogIndex index, Term term)
{
    return LogEntry{.index = index,
                    .term = term,
                    .kind = EntryKind::Command,
                    .payload = "entry " + std::to_string(index) + " of term " + std::to_string(term)};
}

// Makes random writes through the hooks and applies them to a model of the expected state.
class RandomWriter
{
public:
    explicit RandomWriter(StoredState const &found) : model(found) { }

    // Returns whether the storage accepted the write. `before` and `model` are the states before and after
    // it.
    bool writeRandomly(StorageHooks const &hooks)
    {
        this->before = this->model;
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
            this->model.hardState.term += 1;
            this->model.hardState.vote = ReplicaId{*rc::gen::inRange<std::uint64_t>(0, 4)};
            return hooks.saveHardState(this->model.hardState).ok();
        case 1:
            this->model.knownCommitIndex =
                *rc::gen::inRange(this->model.knownCommitIndex, this->lastIndex() + 1);
            return hooks.saveCommitIndex(this->model.knownCommitIndex).ok();
        case 2:
            return this->saveSnapshot(hooks);
        case 3:
            return this->installSnapshot(hooks);
        default:
            return this->replaceFrom(hooks);
        }
    }

    StoredState before;
    StoredState model;

private:
    LogIndex lastIndex() const { return this->model.snapshot.index + this->model.entries.size(); }

    bool replaceFrom(StorageHooks const &hooks)
    {
        LogIndex const first = *rc::gen::inRange(this->model.knownCommitIndex + 1, this->lastIndex() + 2);
        ++this->term;
        std::erase_if(this->model.entries, [first](LogEntry const &entry) { return entry.index >= first; });
        std::vector<LogEntry> added;
        for (LogIndex count = *rc::gen::inRange<LogIndex>(1, 4); count > 0; --count)
            added.push_back(entryAt(first + added.size(), this->term));
        this->model.entries.insert(this->model.entries.end(), added.begin(), added.end());
        return hooks.replaceFrom(added).ok();
    }

    bool saveSnapshot(StorageHooks const &hooks)
    {
        auto &entries = this->model.entries;
        std::erase_if(entries,
                      [this](LogEntry const &entry) { return entry.index <= this->model.knownCommitIndex; });
        Term const snapshotTerm = this->model.knownCommitIndex == this->model.snapshot.index
            ? this->model.snapshot.term
            : this->before.entries[this->model.knownCommitIndex - this->before.snapshot.index - 1].term;
        this->model.snapshot = Snapshot{.index = this->model.knownCommitIndex,
                                        .term = snapshotTerm,
                                        .voters = {Replica{.id = ReplicaId{7}, .instance = instance}},
                                        .state = std::string(*rc::gen::inRange<std::size_t>(0, 100), 's')};
        return hooks.saveSnapshot(this->model.snapshot, entries).ok();
    }

    // A snapshot from a leader may extend beyond the log, or replace entries that were never committed.
    bool installSnapshot(StorageHooks const &hooks)
    {
        LogIndex const index = *rc::gen::inRange(this->model.knownCommitIndex + 1, this->lastIndex() + 3);
        this->model.entries.clear();
        this->model.knownCommitIndex = index;
        this->model.snapshot =
            Snapshot{.index = index, .term = ++this->term, .voters = {}, .state = "installed"};
        return hooks.saveSnapshot(this->model.snapshot, {}).ok();
    }

    Term term = 1;
};

// The commit mark need not be synced, so after a crash an older one may be found.
bool equalsExceptCommitIndex(StoredState found, StoredState const &expected)
{
    bool const isCommitNotNewer = found.knownCommitIndex <= expected.knownCommitIndex;
    found.knownCommitIndex = expected.knownCommitIndex;
    return isCommitNotNewer && found == expected;
}

// A storage with a history, because snapshots exist only after a bootstrap.
std::shared_ptr<FileStorage> storageWithHistory(FakeDisk &disk)
{
    auto const fresh = openStorage(disk.hooks());
    CPPUNIT_ASSERT(fresh.ok());
    CPPUNIT_ASSERT((*fresh)
                       ->hooks()
                       .saveHardState(HardState{
                           .history = HistoryId{9}, .term = 1, .vote = {}, .promisedCoordinator = {}})
                       .ok());
    auto const reopened = openStorage(disk.hooks());
    CPPUNIT_ASSERT(reopened.ok());
    return *reopened;
}

class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "almondwing-XXXXXX").string();
        CPPUNIT_ASSERT(::mkdtemp(pattern.data()) != nullptr);
        this->path = pattern;
    }
    TemporaryFolder(TemporaryFolder const &) = delete;
    TemporaryFolder &operator=(TemporaryFolder const &) = delete;
    ~TemporaryFolder() { std::filesystem::remove_all(this->path); }

    std::string path;
};

} // namespace

class FileStorageTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FileStorageTest);
    CPPUNIT_TEST(crashLosesNoAcknowledgedState);
    CPPUNIT_TEST(bitFlipNeverShortensTheLog);
    CPPUNIT_TEST(missingFileIsRefused);
    CPPUNIT_TEST(folderOfAnotherInstanceIsRefused);
    CPPUNIT_TEST(firstFailureIsFinal);
    CPPUNIT_TEST(folderDiskKeepsTheState);
    CPPUNIT_TEST_SUITE_END();

    // Guards against acknowledged state that is lost in a power loss at any point between two disk
    // operations.
    void crashLosesNoAcknowledgedState()
    {
        CPPUNIT_ASSERT(rc::check("a crash loses no acknowledged state", [] {
            FakeDisk disk;
            RandomWriter writer(storageWithHistory(disk)->loaded());
            for (int crash = 0; crash < 4; ++crash) {
                auto const storage = openStorage(disk.hooks());
                RC_ASSERT(storage.ok());
                disk.failAfter(*rc::gen::inRange<std::uint64_t>(1, 60));
                bool isWriteOk = true;
                while (isWriteOk && !disk.hasFailed())
                    isWriteOk = writer.writeRandomly((*storage)->hooks());
                disk.simulatePowerLoss(*rc::gen::arbitrary<std::uint64_t>());
                auto const found = openStorage(disk.hooks());
                RC_ASSERT(found.ok());
                StoredState const &state = (*found)->loaded();
                bool const isExpected = equalsExceptCommitIndex(state, writer.model)
                    || (!isWriteOk && matchesInterruptedWrite(state, writer));
                RC_ASSERT(isExpected);
                writer.model = state;
            }
        }));
    }

    // Guards against a corrupt record that is truncated like a torn write although it was acknowledged.
    void bitFlipNeverShortensTheLog()
    {
        CPPUNIT_ASSERT(rc::check("a bit flip never shortens the log", [] {
            FakeDisk disk;
            auto const storage = storageWithHistory(disk);
            RandomWriter writer(storage->loaded());
            for (int count = *rc::gen::inRange(1, 12); count > 0; --count)
                RC_ASSERT(writer.writeRandomly(storage->hooks()));
            auto const name = *rc::gen::element<std::string>("identity", "vote", "log", "snapshot");
            if (!disk.contains(name))
                return;
            std::string &contents = disk.contents(name);
            auto const position = *rc::gen::inRange<std::size_t>(0, contents.size());
            contents[position] = static_cast<char>(contents[position] ^ (1 << *rc::gen::inRange(0, 8)));
            auto const found = openStorage(disk.hooks());
            RC_CLASSIFY(!found.ok(), "refused");
            if (found.ok())
                RC_ASSERT(equalsExceptCommitIndex((*found)->loaded(), writer.model));
            else
                RC_ASSERT(!found.status().message().empty());
        }));
    }

    // Guards against a data folder that lost a file and is treated as a new one.
    void missingFileIsRefused()
    {
        for (std::string const name : {"identity", "vote", "log", "snapshot"}) {
            FakeDisk disk;
            auto const hooks = storageWithHistory(disk)->hooks();
            std::vector const entries{entryAt(1, 1), entryAt(2, 1)};
            CPPUNIT_ASSERT(hooks.replaceFrom(entries).ok());
            CPPUNIT_ASSERT(hooks
                               .saveSnapshot(Snapshot{.index = 1, .term = 1, .voters = {}, .state = "s"},
                                             std::span(entries).subspan(1))
                               .ok());
            CPPUNIT_ASSERT(openStorage(disk.hooks()).ok());
            CPPUNIT_ASSERT(disk.hooks().rename(name, "elsewhere").ok());
            CPPUNIT_ASSERT(absl::IsDataLoss(openStorage(disk.hooks()).status()));
        }
    }

    // Guards against a data folder that was copied to another machine, where the same replica would vote
    // again.
    void folderOfAnotherInstanceIsRefused()
    {
        FakeDisk disk;
        storageWithHistory(disk);
        std::vector<Event> events;
        auto const other = FileStorage::open(
            disk.hooks(), "banska-1", [] { return std::uint64_t{1}; },
            [&](Event event, std::string const &) { events.push_back(event); });
        CPPUNIT_ASSERT(absl::IsFailedPrecondition(other.status()));
        CPPUNIT_ASSERT(events == std::vector{Event::ReplicaStorageRefused});
    }

    // Guards against writes after a failed write, of which an unknown part reached the disk.
    void firstFailureIsFinal()
    {
        FakeDisk disk;
        auto const hooks = storageWithHistory(disk)->hooks();
        disk.setFull(true);
        CPPUNIT_ASSERT(absl::IsResourceExhausted(hooks.saveCommitIndex(0)));
        disk.setFull(false);
        std::vector const entries{entryAt(1, 1)};
        CPPUNIT_ASSERT(absl::IsResourceExhausted(hooks.replaceFrom(entries)));
        CPPUNIT_ASSERT(absl::IsResourceExhausted(hooks.saveHardState(HardState{})));
    }

    // Guards against file operations that behave differently from the fake disk, and against two processes
    // that use one folder.
    void folderDiskKeepsTheState()
    {
        TemporaryFolder const folder;
        std::vector const entries{entryAt(1, 1), entryAt(2, 1), entryAt(3, 2)};
        HardState const hardState{
            .history = HistoryId{9}, .term = 2, .vote = ReplicaId{5}, .promisedCoordinator = {}};
        Snapshot const snapshot{.index = 2, .term = 1, .voters = {}, .state = "state"};
        {
            auto const disk = openFolderDisk(folder.path + "/data");
            CPPUNIT_ASSERT(disk.ok());
            CPPUNIT_ASSERT(!openFolderDisk(folder.path + "/data").ok());
            auto const storage = openStorage(*disk);
            CPPUNIT_ASSERT(storage.ok());
            auto const hooks = (*storage)->hooks();
            CPPUNIT_ASSERT(hooks.saveHardState(hardState).ok());
            CPPUNIT_ASSERT(hooks.replaceFrom(entries).ok());
            CPPUNIT_ASSERT(hooks.saveSnapshot(snapshot, std::span(entries).subspan(2)).ok());
            CPPUNIT_ASSERT(hooks.saveCommitIndex(3).ok());
        }
        auto const storage = openStorage(*openFolderDisk(folder.path + "/data"));
        CPPUNIT_ASSERT(storage.ok());
        StoredState const expected{.self = Replica{.id = ReplicaId{41}, .instance = instance},
                                   .hardState = hardState,
                                   .snapshot = snapshot,
                                   .entries = {entries[2]},
                                   .knownCommitIndex = 3};
        CPPUNIT_ASSERT((*storage)->loaded() == expected);
    }

private:
    // After an interrupted write, the state before or after it may be found, or a part of the appended
    // entries.
    static bool matchesInterruptedWrite(StoredState const &state, RandomWriter const &writer)
    {
        return equalsExceptCommitIndex(state, writer.before) || matchesPartialAppend(state, writer);
    }

    static bool matchesPartialAppend(StoredState const &state, RandomWriter const &writer)
    {
        auto const &before = writer.before.entries;
        auto const &after = writer.model.entries;
        auto const untouched = std::ranges::mismatch(before, after).in2 - after.begin();
        auto const found = std::ranges::mismatch(state.entries, after);
        return state.hardState == writer.before.hardState && state.snapshot == writer.before.snapshot
            && found.in1 == state.entries.end() && std::ssize(state.entries) >= untouched;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FileStorageTest);

} // namespace almondwing
