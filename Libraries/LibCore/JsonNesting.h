// Limits how deeply the arrays and objects of a received JSON text nest. nlohmann::json parses any depth, but
// copies and serializes values recursively, so a text of 100,000 nested arrays exhausts the stack of a
// thread.

#pragma once

#include <absl/status/status.h>

#include <cstddef>
#include <string_view>

namespace almondwing {

// Messages between instances and configurations nest fewer than ten levels deep, but a configuration may also
// have members that are not known here.
constexpr std::size_t maxJsonNesting = 512;

// Returns the maximum nesting depth of arrays and objects if the text is JSON, otherwise an estimate.
std::size_t jsonNestingDepth(std::string_view text);

// Returns InvalidArgument if the text nests deeper than maxJsonNesting. Does not check whether it is JSON.
absl::Status checkJsonNesting(std::string_view text);

} // namespace almondwing
