// Measures the start time of a control instance whose data folder holds many changes.

#include "ConfigurationChanges.h"
#include "ConfigurationExperiments.h"
#include "ControlCluster.h"
#include "Measuring.h"

#include <LibConfiguration/ConfigurationInstaller.h>
#include <LibConfigurationJson/ChangeJson.h>
#include <LibConfigurationJson/StateJson.h>
#include <LibCore/Verify.h>
#include <LibReplication/FileStorage.h>
#include <LibReplication/FolderDisk.h>

#include <fmt/format.h>

#include <chrono>
#include <limits>
#include <random>
#include <utility>
#include <vector>

namespace almondwing {

namespace {

constexpr char const *instanceName = "instance-0";
constexpr std::size_t runCount = 3;
constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();
constexpr Duration electionTimeout = 30s;

enum class SnapshotMode : std::uint8_t { Off, On };

ReplicationSettings settingsFor(SnapshotMode snapshotMode)
{
    ReplicationSettings settings{.controlInstances = {instanceName}};
    if (snapshotMode == SnapshotMode::Off) {
        settings.entriesPerSnapshot = unlimited;
        settings.logBytesPerSnapshot = unlimited;
    }
    return settings;
}

ReplicationHooks noOpHooks(std::mt19937_64 &random)
{
    return ReplicationHooks{.send = [](ReplicaEnvelope const &) {},
                            .resolveProposal = [](LogIndex, ProposalOutcome) {},
                            .resolveRead = [](ReadToken, absl::Status const &) {},
                            .mayBootstrap = [] { return true; },
                            .random = [&random] { return random(); },
                            .report = [](Event, std::string const &) {}};
}

ChangeRequest requestOf(LogEntry const &entry)
{
    auto const parsed = parseChangeRequest(entry.payload);
    auto const *const request = std::get_if<ChangeRequest>(&parsed);
    VERIFY(request != nullptr);
    return *request;
}

// Writes the changes through a log with a single voter, which commits each change immediately. Syncs are left
// out, because they change no byte and would take most of the time.
void writeChanges(std::filesystem::path const &folder, std::size_t changes, SnapshotMode snapshotMode,
                  std::mt19937_64 &random)
{
    auto disk = openFolderDisk(folder.string());
    VERIFY(disk.ok());
    disk->sync = [](std::string const &) { return absl::OkStatus(); };
    disk->syncFolder = [] { return absl::OkStatus(); };
    auto const storage = FileStorage::open(
        *std::move(disk), instanceName, [&random] { return random(); }, [](Event, std::string const &) {});
    VERIFY(storage.ok());
    ConfigurationState state;
    ReplicationHooks hooks = noOpHooks(random);
    hooks.apply = [&state](LogEntry const &entry) {
        auto applied = applyChange(std::move(state), entry.index, requestOf(entry));
        VERIFY(std::holds_alternative<ChangeAccepted>(applied.outcome));
        state = std::move(applied.state);
    };
    hooks.takeSnapshot = [&state] { return formatConfigurationState(state); };
    Timestamp now{1000s};
    ReplicationCore core(settingsFor(snapshotMode), (*storage)->loaded(), (*storage)->hooks(), hooks, now);
    for (Timestamp const end = now + electionTimeout; now < end && core.status().role != ReplicaRole::Leader;
         now += 50ms)
        core.tick(now);
    VERIFY(core.propose(formatChangeRequest(applyRequest(exampleManifest("sk-central"), 0)), now).ok());
    for (std::uint64_t number = 0; number + 1 < changes; ++number)
        VERIFY(core.propose(formatChangeRequest(drainRequest(number)), now).ok());
    VERIFY(state.configuration.version == changes);
}

// Does what ControlReplica::open does until the configuration is in force on the blackboard, and returns the
// time that this took.
std::chrono::duration<double> measureStart(std::filesystem::path const &folder, std::size_t changes,
                                           SnapshotMode snapshotMode, std::mt19937_64 &random)
{
    auto const start = std::chrono::steady_clock::now();
    Blackboard blackboard;
    ConfigurationInstaller installer(blackboard, [](Event, std::string const &) {});
    ConfigurationStateMachine stateMachine;
    auto disk = openFolderDisk(folder.string());
    VERIFY(disk.ok());
    auto const storage = FileStorage::open(
        *std::move(disk), instanceName, [&random] { return random(); }, [](Event, std::string const &) {});
    VERIFY(storage.ok());
    ReplicationHooks hooks = noOpHooks(random);
    hooks.apply = [&](LogEntry const &entry) {
        stateMachine.apply(entry.index, requestOf(entry));
        installer.install(stateMachine.snapshot()->configuration);
    };
    hooks.restore = [&](Snapshot const &snapshot) {
        auto const parsed = parseConfigurationState(snapshot.state);
        auto const *const state = std::get_if<ConfigurationState>(&parsed);
        VERIFY(state != nullptr);
        stateMachine.restore(*state);
        installer.install(state->configuration);
    };
    ReplicationCore const core(settingsFor(snapshotMode), (*storage)->loaded(), (*storage)->hooks(), hooks,
                               Timestamp{1000s});
    auto const elapsed = std::chrono::steady_clock::now() - start;
    VERIFY(blackboard.configuration.read()->version == changes);
    return elapsed;
}

std::uintmax_t sizeOnDisk(std::filesystem::path const &folder)
{
    std::uintmax_t bytes = 0;
    for (auto const &file : std::filesystem::directory_iterator(folder))
        bytes += file.file_size();
    return bytes;
}

} // namespace

ReportTable measureControlStart(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    ReportTable table{.title = fmt::format("Start of a control instance, median of {} starts", runCount),
                      .columns = {"changes", "snapshots", "start, s", "range, s", "bytes on disk",
                                  "of these the snapshot"}};
    // With 900 changes after the last snapshot, a start replays nearly the maximum number of entries.
    std::vector<std::pair<std::size_t, SnapshotMode>> const cases{{500, SnapshotMode::On},
                                                                  {500, SnapshotMode::Off},
                                                                  {50'000, SnapshotMode::On},
                                                                  {50'900, SnapshotMode::On},
                                                                  {50'000, SnapshotMode::Off}};
    for (auto const &[changes, snapshotMode] : cases) {
        TemporaryFolder const folder;
        writeChanges(folder.path(), changes, snapshotMode, random);
        std::vector<double> seconds;
        for (std::size_t run = 0; run < runCount; ++run)
            seconds.push_back(measureStart(folder.path(), changes, snapshotMode, random).count());
        SampleSummary const summary = summarize(std::move(seconds));
        auto const snapshotFile = folder.path() / "snapshot";
        table.rows.push_back({fmt::format("{}", changes),
                              snapshotMode == SnapshotMode::On ? "every 1,000 changes" : "none",
                              fmt::format("{:.3f}", summary.median),
                              fmt::format("{:.3f} to {:.3f}", summary.minimum, summary.maximum),
                              fmt::format("{}", sizeOnDisk(folder.path())),
                              fmt::format("{}", exists(snapshotFile) ? file_size(snapshotFile) : 0)});
    }
    return table;
}

} // namespace almondwing
