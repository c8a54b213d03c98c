// JSON codec of the replicated configuration document: changes for log entries and states for snapshots.

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
