// Implements the limit of the nesting depth of JSON texts.

#include <LibCore/JsonNesting.h>

#include <fmt/format.h>

#include <algorithm>

namespace almondwing {

std::size_t jsonNestingDepth(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t maxDepth = 0;
    bool isInString = false;
    for (std::size_t position = 0; position < text.size(); ++position) {
        char const character = text[position];
        if (character == '"')
            isInString = !isInString;
        else if (isInString && character == '\\')
            ++position;
        else if (!isInString && (character == '[' || character == '{'))
            maxDepth = std::max(maxDepth, ++depth);
        else if (!isInString && (character == ']' || character == '}') && depth > 0)
            --depth;
    }
    return maxDepth;
}

absl::Status checkJsonNesting(std::string_view text)
{
    // Each level takes a character, so most messages need no scan.
    if (text.size() <= maxJsonNesting || jsonNestingDepth(text) <= maxJsonNesting)
        return absl::OkStatus();
    return absl::InvalidArgumentError(
        fmt::format("arrays and objects may nest at most {} levels deep", maxJsonNesting));
}

} // namespace almondwing
