// Measures the start of a control instance on a data folder that holds many changes.

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
constexpr std::size_t nearlyUnlimited = std::numeric_limits<std::size_t>::max();
constexpr Duration electionLimit = 30s;

enum class Snapshots : std::uint8_t { Off, On };

ReplicationSettings settingsFor(Snapshots snapshots)
{
    ReplicationSettings settings{.controlInstances = {instanceName}};
    if (snapshots == Snapshots::Off) {
        settings.entriesPerSnapshot = nearlyUnlimited;
        settings.logBytesPerSnapshot = nearlyUnlimited;
    }
    return settings;
}

ReplicationHooks quietHooks(std::mt19937_64 &random)
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

// A log with a single voter commits each change at once. Syncs are left out, because they change no byte and
// would take most of the time.
void writeChanges(std::filesystem::path const &folder, std::size_t changes, Snapshots snapshots,
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
    ReplicationHooks hooks = quietHooks(random);
    hooks.apply = [&state](LogEntry const &entry) {
        auto applied = applyChange(std::move(state), entry.index, requestOf(entry));
        VERIFY(std::holds_alternative<ChangeAccepted>(applied.outcome));
        state = std::move(applied.state);
    };
    hooks.takeSnapshot = [&state] { return formatConfigurationState(state); };
    Timestamp now{1000s};
    ReplicationCore core(settingsFor(snapshots), (*storage)->loaded(), (*storage)->hooks(), hooks, now);
    for (Timestamp const end = now + electionLimit; now < end && core.status().role != ReplicaRole::Leader;
         now += 50ms)
        core.tick(now);
    VERIFY(core.propose(formatChangeRequest(applyRequest(exampleManifest("sk-central"), 0)), now).ok());
    for (std::uint64_t number = 0; number + 1 < changes; ++number)
        VERIFY(core.propose(formatChangeRequest(drainRequest(number)), now).ok());
    VERIFY(state.configuration.version == changes);
}

// What ControlNode::open does, until the configuration is in force on the blackboard.
std::chrono::duration<double> startOnce(std::filesystem::path const &folder, std::size_t changes,
                                        Snapshots snapshots, std::mt19937_64 &random)
{
    auto const start = std::chrono::steady_clock::now();
    Blackboard blackboard;
    ConfigurationInstaller keeper(blackboard, [](Event, std::string const &) {});
    ConfigurationStateMachine machine;
    auto disk = openFolderDisk(folder.string());
    VERIFY(disk.ok());
    auto const storage = FileStorage::open(
        *std::move(disk), instanceName, [&random] { return random(); }, [](Event, std::string const &) {});
    VERIFY(storage.ok());
    ReplicationHooks hooks = quietHooks(random);
    hooks.apply = [&](LogEntry const &entry) {
        machine.apply(entry.index, requestOf(entry));
        keeper.install(machine.snapshot()->configuration);
    };
    hooks.restore = [&](Snapshot const &snapshot) {
        auto const parsed = parseConfigurationState(snapshot.state);
        auto const *const state = std::get_if<ConfigurationState>(&parsed);
        VERIFY(state != nullptr);
        machine.restore(*state);
        keeper.install(state->configuration);
    };
    ReplicationCore const core(settingsFor(snapshots), (*storage)->loaded(), (*storage)->hooks(), hooks,
                               Timestamp{1000s});
    auto const taken = std::chrono::steady_clock::now() - start;
    VERIFY(blackboard.configuration.read()->version == changes);
    return taken;
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
    // 900 changes after a snapshot most of the entries that a start can meet are replayed.
    std::vector<std::pair<std::size_t, Snapshots>> const cases{{500, Snapshots::On},
                                                               {500, Snapshots::Off},
                                                               {50'000, Snapshots::On},
                                                               {50'900, Snapshots::On},
                                                               {50'000, Snapshots::Off}};
    for (auto const &[changes, snapshots] : cases) {
        TemporaryFolder const folder;
        writeChanges(folder.path(), changes, snapshots, random);
        std::vector<double> seconds;
        for (std::size_t run = 0; run < runCount; ++run)
            seconds.push_back(startOnce(folder.path(), changes, snapshots, random).count());
        Spread const spread = spreadOf(std::move(seconds));
        auto const snapshotFile = folder.path() / "snapshot";
        table.rows.push_back({fmt::format("{}", changes),
                              snapshots == Snapshots::On ? "every 1,000 changes" : "none",
                              fmt::format("{:.3f}", spread.median),
                              fmt::format("{:.3f} to {:.3f}", spread.lowest, spread.highest),
                              fmt::format("{}", sizeOnDisk(folder.path())),
                              fmt::format("{}", exists(snapshotFile) ? file_size(snapshotFile) : 0)});
    }
    return table;
}

} // namespace almondwing
