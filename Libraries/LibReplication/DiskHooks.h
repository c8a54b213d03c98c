// The few file operations that the storage needs, as hooks: FolderDisk binds them to a data folder, tests to
// a disk that loses what was not synced.

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
    // Nothing if there is no such file.
    std::function<absl::StatusOr<std::optional<std::string>>(std::string const &name)> read;
    std::function<absl::Status(std::string const &name, std::string_view data)>
        create; // Replaces the contents.
    std::function<absl::Status(std::string const &name, std::string_view data)> append;
    std::function<absl::Status(std::string const &name, std::uint64_t size)> truncate;
    std::function<absl::Status(std::string const &name)> sync; // Makes the contents durable.
    std::function<absl::Status(std::string const &from, std::string const &to)> rename;
    std::function<absl::Status()> syncFolder; // Makes created and renamed names durable.
};

} // namespace almondwing
