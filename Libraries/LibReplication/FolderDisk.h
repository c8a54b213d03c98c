// Binds the disk hooks to a data folder.

#pragma once

#include <LibReplication/DiskHooks.h>

namespace almondwing {

// Creates the folder if needed and locks it against a second process. The lock lasts as long as the hooks.
absl::StatusOr<DiskHooks> openFolderDisk(std::string const &folder);

} // namespace almondwing
