// A disk in memory that can lose unsynced data, tear the last write, corrupt a byte and fail on demand.

#pragma once

#include <LibCore/Hash.h>
#include <LibReplication/DiskHooks.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace almondwing {

class FakeDisk
{
public:
    DiskHooks hooks()
    {
        return DiskHooks{
            .read = [this](std::string const &name) -> absl::StatusOr<std::optional<std::string>> {
                if (absl::Status status = this->countOperation(); !status.ok())
                    return status;
                auto const file = this->files.find(name);
                return file == this->files.end() ? std::nullopt : std::optional(file->second->contents);
            },
            .create =
                [this](std::string const &name, std::string_view data) {
                    return this->write([&] {
                        this->files[name] = std::make_shared<File>(File{std::string(data), {}});
                    });
                },
            .append =
                [this](std::string const &name, std::string_view data) {
                    return this->write([&] { this->files.at(name)->contents += data; });
                },
            .truncate =
                [this](std::string const &name, std::uint64_t size) {
                    return this->write([&] { this->files.at(name)->contents.resize(size); });
                },
            .sync =
                [this](std::string const &name) {
                    return this->write(
                        [&] { this->files.at(name)->durable = this->files.at(name)->contents; });
                },
            .rename =
                [this](std::string const &from, std::string const &to) {
                    return this->write([&] {
                        this->files[to] = this->files.at(from);
                        this->files.erase(from);
                    });
                },
            .syncFolder = [this] { return this->write([&] { this->durableFiles = this->files; }); }};
    }

    // All operations after the given number fail, as if the process had crashed between two operations.
    void failAfter(std::uint64_t operations) { this->remainingOperations = operations; }
    void cancelFailure() { this->remainingOperations.reset(); }
    bool hasFailed() const { return this->remainingOperations == 0; } // Or the next operation fails.
    void setFull(bool newIsFull) { this->isFull = newIsFull; }

    // Either all unsynced changes of file names persist or none. Any prefix of unsynced appended data
    // persists, and its last byte may be corrupt.
    void simulatePowerLoss(std::uint64_t random)
    {
        this->remainingOperations.reset();
        if ((random & 1U) != 0)
            this->files = this->durableFiles;
        for (auto &[name, file] : this->files) {
            random = mixBits(random);
            bool const isExtended = file->contents.starts_with(file->durable);
            std::size_t const unsynced = isExtended ? file->contents.size() - file->durable.size() : 0;
            std::size_t const surviving = unsynced == 0 ? 0 : (random >> 1U) % (unsynced + 1);
            std::string next =
                file->durable + file->contents.substr(file->durable.size() * (isExtended ? 1 : 0), surviving);
            if (surviving > 0 && (random & 1U) != 0)
                next.back() = static_cast<char>(next.back() ^ 0x20);
            file = std::make_shared<File>(File{next, next});
        }
        this->durableFiles = this->files;
    }

    void wipe()
    {
        this->remainingOperations.reset();
        this->isFull = false;
        this->files.clear();
        this->durableFiles.clear();
    }

    bool contains(std::string const &name) const { return this->files.contains(name); }
    std::string &contents(std::string const &name) { return this->files.at(name)->contents; }

private:
    struct File
    {
        std::string contents;
        std::string durable;
    };

    absl::Status countOperation()
    {
        if (this->remainingOperations == 0U)
            return absl::AbortedError("the process has crashed");
        if (this->remainingOperations)
            --*this->remainingOperations;
        return absl::OkStatus();
    }

    template<typename Change>
    absl::Status write(Change const &change)
    {
        if (absl::Status status = this->countOperation(); !status.ok())
            return status;
        if (this->isFull)
            return absl::ResourceExhaustedError("no space left");
        change();
        return absl::OkStatus();
    }

    std::map<std::string, std::shared_ptr<File>> files;
    std::map<std::string, std::shared_ptr<File>> durableFiles;
    std::optional<std::uint64_t> remainingOperations; // Until all operations fail.
    bool isFull = false;
};

} // namespace almondwing
