// Stores a recent copy of the registry of targets on disk, so that a restarted control instance has the
// targets of open flows before their next heartbeats. The copy is best effort: it may be outdated or missing.
// Drains and ends of targets are stored before they are acknowledged, because a target that has left sends no
// heartbeat that would correct an outdated copy.

#pragma once

#include <LibCore/EventCatalogue.h>
#include <LibFrontEnd/IoRuntime.h>
#include <LibRegistry/TargetRegistry.h>
#include <LibReplication/DiskHooks.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace almondwing {

class RegistryStore
{
public:
    RegistryStore(IoRuntime &ioRuntime, std::string storeFolder, TargetRegistry &targetRegistry,
                  EventReporter eventReporter);

    // Merges the stored targets into the registry as if their heartbeats had just arrived, then calls `done`.
    void load(std::function<void()> done);

    // Stores the registry if it has changed since the latest copy. Doesn't block: a slow disk delays only the
    // next copy.
    void saveIfDue(Timestamp now);

    // Makes the drain or end of a target durable, then passes OK to `done`, on the queue of the store. The
    // registry must have the end already. After an error the end may or may not be stored.
    void recordEnd(RegisteredTarget const &target, std::function<void(absl::Status const &)> done);

private:
    struct PendingEnd
    {
        RegisteredTarget target;
        std::function<void(absl::Status const &)> done;
    };

    void mergeCopy(std::string const &file, Timestamp now);
    void mergeEnds(Timestamp now);
    absl::Status createEndsFile();
    void writeEnds();
    absl::Status appendEnds(std::vector<PendingEnd> const &ends);
    void mergeStored(Timestamp now);
    void save(std::uint64_t generation, Timestamp now);
    absl::Status write(std::string const &contents);

    std::string folder;
    TargetRegistry &registry;
    EventReporter report;
    SerialQueue queue;
    std::atomic<bool> isBusy{true}; // Until the stored copy is loaded, and while a copy is written.
    std::atomic<std::uint64_t> savedGeneration{0};
    std::atomic<Timestamp> lastSave{Timestamp{}};
    std::optional<DiskHooks> disk; // Accessed only on the queue; absent if the folder can't be opened.
    std::mutex endsMutex; // Guards pendingEnds.
    std::vector<PendingEnd>
        pendingEnds; // They are written together while the disk is busy with earlier ones.
};

} // namespace almondwing
