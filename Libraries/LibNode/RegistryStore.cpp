// Implements the stored copy of the registry.

#include <LibNode/RegistryStore.h>

#include <LibCore/Hash.h>
#include <LibCore/Try.h>
#include <LibNode/NodeWire.h>
#include <LibReplication/FolderDisk.h>

#include <fmt/format.h>

#include <utility>

namespace almondwing {

namespace {

constexpr char const *fileName = "targets";
constexpr char const *newFileName = "targets.new";

// A copy costs two fsync() calls. Changes since the latest copy arrive again with the next heartbeats.
constexpr Duration saveInterval = 500ms;

// The file begins with a hash of its contents, which reveals an incompletely written file.
std::string addHash(std::string const &contents)
{
    return fmt::format("{:016x}\n{}", hashText(contents), contents);
}

std::optional<std::string> stripHash(std::string const &file)
{
    constexpr std::size_t headerSize = 17;
    if (file.size() < headerSize)
        return std::nullopt;
    std::string contents = file.substr(headerSize);
    return addHash(contents) == file ? std::optional(std::move(contents)) : std::nullopt;
}

} // namespace

RegistryStore::RegistryStore(IoRuntime &ioRuntime, std::string storeFolder, TargetRegistry &targetRegistry,
                             EventReporter eventReporter)
    : folder(std::move(storeFolder)), registry(targetRegistry), report(std::move(eventReporter)),
      queue(ioRuntime)
{
}

void RegistryStore::load(std::function<void()> done)
{
    this->queue.post([this, done = std::move(done)] {
        this->mergeStored(IoRuntime::now());
        this->isBusy = false;
        done();
    });
}

void RegistryStore::mergeStored(Timestamp now)
{
    auto opened = openFolderDisk(this->folder);
    if (!opened.ok()) {
        this->report(Event::RegistryNotStored, std::string(opened.status().message()));
        return;
    }
    this->disk = *std::move(opened);
    auto const file = this->disk->read(fileName);
    if (!file.ok() || !file->has_value())
        return;
    auto const contents = stripHash(**file);
    auto targets =
        contents ? parseTargets(*contents, now) : absl::DataLossError("the stored registry is damaged");
    if (!targets.ok()) {
        this->report(Event::RegistryNotStored, std::string(targets.status().message()));
        return;
    }
    for (RegisteredTarget &target : *targets) {
        target.lastSeenAt = now;
        this->registry.merge(target, now);
    }
}

void RegistryStore::saveIfDue(Timestamp now)
{
    std::uint64_t const generation = this->registry.changeGeneration();
    if (generation == this->savedGeneration || now - this->lastSave.load() < saveInterval
        || this->isBusy.exchange(true))
        return;
    this->lastSave = now;
    this->queue.post([this, generation, now] {
        this->save(generation, now);
        this->isBusy = false;
    });
}

void RegistryStore::save(std::uint64_t generation, Timestamp now)
{
    if (!this->disk)
        return;
    absl::Status const status = this->write(addHash(formatTargets(this->registry.all(), now)));
    if (status.ok())
        this->savedGeneration = generation;
    else
        this->report(Event::RegistryNotStored, std::string(status.message()));
}

absl::Status RegistryStore::write(std::string const &contents)
{
    TRY_STATUS(this->disk->create(newFileName, contents));
    TRY_STATUS(this->disk->sync(newFileName));
    TRY_STATUS(this->disk->rename(newFileName, fileName));
    return this->disk->syncFolder();
}

} // namespace almondwing
