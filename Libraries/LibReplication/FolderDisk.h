// Implements the disk hooks on a data folder of the file system.

#pragma once

#include <LibReplication/DiskHooks.h>

namespace almondwing {

// Creates the folder if needed and locks it, so that no second process can open it. The lock is held as long
// as a copy of the hooks exists.
absl::StatusOr<DiskHooks> openFolderDisk(std::string const &folder);

} // namespace almondwing
