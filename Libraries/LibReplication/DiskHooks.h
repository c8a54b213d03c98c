// The file operations that the storage of a replica needs, as hooks. FolderDisk binds them to a data folder;
// tests bind them to a fake disk that loses unsynced data.

#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace almondwing {

struct DiskHooks
{
    // Returns no value if the file does not exist.
    std::function<absl::StatusOr<std::optional<std::string>>(std::string const &name)> read;
    // Creates the file. If it exists, its contents are replaced.
    std::function<absl::Status(std::string const &name, std::string_view data)> create;
    std::function<absl::Status(std::string const &name, std::string_view data)> append;
    std::function<absl::Status(std::string const &name, std::uint64_t size)> truncate;
    // Makes the contents of the file durable.
    std::function<absl::Status(std::string const &name)> sync;
    std::function<absl::Status(std::string const &from, std::string const &to)> rename;
    // Makes created and renamed directory entries durable.
    std::function<absl::Status()> syncFolder;
};

} // namespace almondwing
