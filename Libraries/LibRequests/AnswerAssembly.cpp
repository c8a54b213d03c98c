// Implements the assembly of answers.

#include <LibRequests/AnswerAssembly.h>

#include <LibCore/Verify.h>

#include <algorithm>

namespace almondwing {

namespace {

// Keeps ResendParts within one datagram.
constexpr std::size_t maxRequestedParts = 256;

bool fits(StoredAnswer const &answer, AnswerPart const &part, std::size_t maxBytes)
{
    if (part.tryId != answer.tryId || part.part >= maxAnswerParts)
        return false;
    if (answer.lastPart && part.part > *answer.lastPart)
        return false;
    if (part.position == PartPosition::Last && part.part + std::size_t{1} < answer.parts.size())
        return false;
    return answer.bytes + part.payload.size() <= maxBytes;
}

} // namespace

AddPartResult addPart(std::shared_ptr<StoredAnswer const> const &answer, AnswerPart const &part,
                      std::size_t maxBytes)
{
    StoredAnswer next = answer ? *answer : StoredAnswer{.tryId = part.tryId, .parts = {}, .lastPart = {}};
    if (part.part < next.parts.size() && next.parts[part.part] != nullptr)
        return {.status = AddPartStatus::Duplicate, .answer = answer};
    if (!fits(next, part, maxBytes))
        return {.status = AddPartStatus::Inconsistent, .answer = answer};

    next.parts.resize(std::max<std::size_t>(next.parts.size(), part.part + std::size_t{1}));
    next.parts[part.part] = std::make_shared<std::string const>(part.payload);
    next.bytes += part.payload.size();
    if (part.position == PartPosition::Last)
        next.lastPart = part.part;
    return {.status = AddPartStatus::Added, .answer = std::make_shared<StoredAnswer const>(std::move(next))};
}

AnswerPart storedPart(RequestKey key, StoredAnswer const &answer, std::uint32_t part)
{
    VERIFY(part < answer.parts.size() && answer.parts[part] != nullptr);
    return {.key = key,
            .tryId = answer.tryId,
            .part = part,
            .position = answer.lastPart == part ? PartPosition::Last : PartPosition::NotLast,
            .payload = *answer.parts[part]};
}

std::vector<std::uint32_t> partsToRequest(StoredAnswer const *answer)
{
    if (answer == nullptr)
        return {0};
    auto missing = answer->missingParts();
    if (!answer->lastPart)
        missing.push_back(static_cast<std::uint32_t>(answer->parts.size()));
    missing.resize(std::min(missing.size(), maxRequestedParts));
    return missing;
}

} // namespace almondwing
