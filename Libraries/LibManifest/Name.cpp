// Checks names.

#include <LibManifest/Name.h>

#include <algorithm>

namespace almondwing {

bool isValidName(std::string_view name)
{
    // Compared with ranges because std::islower depends on the locale of the process.
    auto const isAllowed = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9')
            || character == '-';
    };
    return !name.empty() && name.size() <= maxNameLength && std::ranges::all_of(name, isAllowed);
}

} // namespace almondwing
