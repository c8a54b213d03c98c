// Keeps a recent copy of the registry of targets on the disk, so that a control instance that starts again
// knows the targets of open flows before their next heartbeats. The copy may be old or missing; nothing is
// promised by it.

#pragma once

#include <LibCore/EventCatalogue.h>
#include <LibFrontEnd/IoRuntime.h>
#include <LibRegistry/TargetRegistry.h>
#include <LibReplication/DiskHooks.h>

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace almondwing {

class RegistryStore
{
public:
    RegistryStore(IoRuntime &ioRuntime, std::string storeFolder, TargetRegistry &targetRegistry,
                  EventReporter eventReporter);

    // Merges what is stored into the registry as if it had been heard now; then calls `done`.
    void load(std::function<void()> done);

    // Stores the registry if it has changed since it was stored last. Returns at once; a disk that is slow
    // delays only the next copy.
    void saveIfDue(Timestamp now);

private:
    void mergeStored(Timestamp now);
    void save(std::uint64_t generation, Timestamp now);
    absl::Status write(std::string const &contents);

    std::string folder;
    TargetRegistry &registry;
    EventReporter report;
    SerialQueue queue;
    std::atomic<bool> isBusy{true}; // Until the stored copy is loaded, and while one is written.
    std::atomic<std::uint64_t> savedGeneration{0};
    std::atomic<Timestamp> lastSave{Timestamp{}};
    std::optional<DiskHooks> disk; // Touched only by work on the queue; absent if it can't be opened.
};

} // namespace almondwing
