// Queries on kept answers.

#include <LibState/RequestRecord.h>

#include <algorithm>

namespace almondwing {

bool StoredAnswer::isComplete() const
{
    return this->lastPart && this->parts.size() == *this->lastPart + std::size_t{1}
    && std::ranges::none_of(this->parts, [](auto const &part) { return part == nullptr; });
}

std::vector<std::uint32_t> StoredAnswer::missingParts() const
{
    std::vector<std::uint32_t> missing;
    for (std::uint32_t index = 0; index < this->parts.size(); ++index) {
        if (this->parts[index] == nullptr)
            missing.push_back(index);
    }
    return missing;
}

} // namespace almondwing
