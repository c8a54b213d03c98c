// Stores a recent copy of the registry of targets on disk, so that a restarted control instance has the
// targets of open flows before their next heartbeats. The copy is best effort: it may be outdated or missing.

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

    // Merges the stored targets into the registry as if their heartbeats had just arrived, then calls `done`.
    void load(std::function<void()> done);

    // Stores the registry if it has changed since the latest copy. Doesn't block: a slow disk delays only the
    // next copy.
    void saveIfDue(Timestamp now);

private:
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
};

} // namespace almondwing
