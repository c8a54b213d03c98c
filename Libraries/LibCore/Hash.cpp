// Implements text hashing with XXH3.

#include <LibCore/Hash.h>

#include <xxhash.h>

namespace almondwing {

std::uint64_t hashText(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace almondwing
