// Implements the calls of a starting control instance to entries.

#include <LibNode/EntryAnnouncer.h>

#include <LibCore/Try.h>
#include <LibFrontEnd/HttpClient.h>
#include <LibReplication/FolderDisk.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace almondwing {

namespace {

constexpr char const *fileName = "entries";
constexpr char const *newFileName = "entries.new";

} // namespace

std::string formatEndpoints(std::vector<Endpoint> const &endpoints)
{
    std::string text;
    for (Endpoint const endpoint : endpoints)
        text += endpoint.toString() + "\n";
    return text;
}

std::vector<Endpoint> parseEndpoints(std::string const &text)
{
    std::vector<Endpoint> endpoints;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (auto const endpoint = Endpoint::parse(line); endpoint.ok())
            endpoints.push_back(*endpoint);
    }
    return endpoints;
}

EntryAnnouncer::EntryAnnouncer(IoRuntime &ioRuntime, EntryAnnouncerSettings announcerSettings,
                               EventReporter eventReporter)
    : runtime(ioRuntime), settings(std::move(announcerSettings)), report(std::move(eventReporter)),
      queue(ioRuntime)
{
}

void EntryAnnouncer::start()
{
    this->queue.post([this] {
        auto disk = openFolderDisk(this->settings.folder);
        auto const file = disk.ok() ? disk->read(fileName) : disk.status();
        if (!file.ok())
            this->report(Event::RegistryNotStored, std::string(file.status().message()));
        std::vector<Endpoint> stored;
        if (file.ok() && file->has_value())
            stored = parseEndpoints(**file);
        std::vector<Call> waiting;
        for (Endpoint const entry : stored) {
            this->note(entry);
            waiting.push_back(Call{.entry = entry});
        }
        this->savedEntries.update([&stored](auto const &) { return stored; });
        this->calls.update([&waiting](auto const &) { return waiting; });
        this->isBusy = false;
        this->announce(IoRuntime::now() + this->settings.announcePeriod);
    });
}

void EntryAnnouncer::note(Endpoint entry)
{
    auto const known = this->entries.read();
    if (std::ranges::find(*known, entry) != known->end())
        return;
    this->entries.update([this, entry](std::vector<Endpoint> next) {
        if (std::ranges::find(next, entry) == next.end())
            next.push_back(entry);
        if (next.size() > this->settings.maxEntries)
            next.erase(next.begin());
        return next;
    });
}

void EntryAnnouncer::announce(Timestamp until)
{
    bool isWaiting = false;
    auto const current = this->calls.read();
    for (Call const &call : *current) {
        if (call.isAcknowledged)
            continue;
        isWaiting = true;
        HttpCall const message{.server = call.entry,
                               .method = HttpMethod::Post,
                               .target = std::string(controlStartedPath),
                               .body = formatEndpoints({this->settings.self}),
                               .timeout = this->settings.callTimeout,
                               .connectTimeout = this->settings.callTimeout};
        callHttp(this->runtime, message, [this, entry = call.entry](auto const &response) {
            if (!response.ok() || !response->isSuccess())
                return;
            this->calls.update([entry](std::vector<Call> next) {
                for (Call &known : next)
                    known.isAcknowledged |= known.entry == entry;
                return next;
            });
        });
    }
    if (isWaiting && IoRuntime::now() < until)
        this->runtime.runAfter(this->settings.announceInterval, [this, until] { this->announce(until); });
}

void EntryAnnouncer::saveIfDue(Timestamp now)
{
    if (now - this->lastSave.load() < this->settings.saveInterval
        || *this->entries.read() == *this->savedEntries.read() || this->isBusy.exchange(true))
        return;
    this->lastSave = now;
    this->queue.post([this] {
        auto const known = this->entries.read();
        if (absl::Status const status = this->save(*known); status.ok())
            this->savedEntries.update([&known](auto const &) { return *known; });
        else
            this->report(Event::RegistryNotStored, std::string(status.message()));
        this->isBusy = false;
    });
}

absl::Status EntryAnnouncer::save(std::vector<Endpoint> const &known)
{
    auto const disk = TRY(openFolderDisk(this->settings.folder));
    TRY_STATUS(disk.create(newFileName, formatEndpoints(known)));
    TRY_STATUS(disk.sync(newFileName));
    TRY_STATUS(disk.rename(newFileName, fileName));
    return disk.syncFolder();
}

} // namespace almondwing
