// JSON codec of the configuration of almondwing-node, which operators submit as one document: changes for log
// entries and states for snapshots. ChangeJson.h and StateJson.h are for the configuration of almondwingd,
// which consists of manifests.

#pragma once

#include <LibConfiguration/DocumentState.h>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace almondwing {

std::string formatDocumentChange(DocumentChange const &change);
absl::StatusOr<DocumentChange> parseDocumentChange(std::string_view text);

std::string formatDocumentState(DocumentState const &state);
absl::StatusOr<DocumentState> parseDocumentState(std::string_view text);

} // namespace almondwing
