// Implements the stored copy of the registry.

#include <LibNode/RegistryStore.h>

#include <LibCore/Hash.h>
#include <LibCore/Try.h>
#include <LibNode/NodeWire.h>
#include <LibReplication/FolderDisk.h>

#include <fmt/format.h>

#include <sstream>
#include <utility>

namespace almondwing {

namespace {

constexpr char const *fileName = "targets";
constexpr char const *newFileName = "targets.new";

// Ends since the latest copy, one a line. The next copy contains them, and the file begins again.
constexpr char const *endsFileName = "ends";

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
    if (file.ok() && file->has_value())
        this->mergeCopy(**file, now);
    this->mergeEnds(now);
}

void RegistryStore::mergeCopy(std::string const &file, Timestamp now)
{
    auto const contents = stripHash(file);
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

// A line that can't be read was written only in part, and its end was not acknowledged then.
void RegistryStore::mergeEnds(Timestamp now)
{
    auto const file = this->disk->read(endsFileName);
    if (!file.ok())
        return;
    if (!file->has_value()) {
        if (absl::Status const status = this->createEndsFile(); !status.ok())
            this->report(Event::RegistryNotStored, std::string(status.message()));
        return;
    }
    std::istringstream lines(**file);
    for (std::string line; std::getline(lines, line);) {
        auto targets = parseTargets(line, now);
        if (!targets.ok())
            continue;
        for (RegisteredTarget &target : *targets) {
            target.lastSeenAt = now;
            // The registry ignores the end of a target that it does not know.
            RegisteredTarget known = target;
            known.state = RegisteredState::Draining;
            this->registry.merge(known, now);
            this->registry.merge(target, now);
        }
    }
}

absl::Status RegistryStore::createEndsFile()
{
    TRY_STATUS(this->disk->create(endsFileName, ""));
    return this->disk->syncFolder();
}

void RegistryStore::recordEnd(RegisteredTarget const &target, std::function<void(absl::Status const &)> done)
{
    {
        std::scoped_lock const lock(this->endsMutex);
        this->pendingEnds.push_back(PendingEnd{.target = target, .done = std::move(done)});
    }
    this->queue.post([this] { this->writeEnds(); });
}

void RegistryStore::writeEnds()
{
    std::vector<PendingEnd> ends;
    {
        std::scoped_lock const lock(this->endsMutex);
        ends.swap(this->pendingEnds);
    }
    if (ends.empty())
        return;
    absl::Status const status = this->appendEnds(ends);
    if (!status.ok())
        this->report(Event::RegistryNotStored, std::string(status.message()));
    for (PendingEnd const &end : ends)
        end.done(status);
}

absl::Status RegistryStore::appendEnds(std::vector<PendingEnd> const &ends)
{
    if (!this->disk)
        return absl::FailedPreconditionError("the folder of the registry can't be opened");
    // Begins a new line, because an earlier write may have failed within its line.
    std::string lines = "\n";
    for (PendingEnd const &end : ends)
        lines += formatTargets({end.target}, end.target.lastSeenAt) + "\n";
    TRY_STATUS(this->disk->append(endsFileName, lines));
    return this->disk->sync(endsFileName);
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
    TRY_STATUS(this->disk->syncFolder());
    return this->disk->truncate(endsFileName, 0);
}

} // namespace almondwing
