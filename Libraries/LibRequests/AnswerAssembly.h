// Puts an answer together from its numbered parts, which arrive in any order and more than once.

#pragma once

#include <LibMessages/RequestMessages.h>
#include <LibState/RequestRecord.h>

#include <cstddef>
#include <memory>
#include <vector>

namespace almondwing {

enum class PartFate : std::uint8_t {
    Added,
    Duplicate,
    Inconsistent, // Contradicts the parts that arrived before, or the bounds of an answer.
};

struct AddedPart
{
    PartFate fate = PartFate::Inconsistent;
    std::shared_ptr<StoredAnswer const> answer; // What stands afterwards.

    friend bool operator==(AddedPart const &, AddedPart const &) = default;
};

// Bounds the index that a faulty target can make an instance allocate for.
constexpr std::uint32_t maxAnswerParts = 65'536;

AddedPart addPart(std::shared_ptr<StoredAnswer const> const &answer, AnswerPart const &part,
                  std::size_t maxBytes);

// The message that carries one kept part. The part must be present.
AnswerPart keptPart(RequestKey key, StoredAnswer const &answer, std::uint32_t part);

// The parts to ask the target for: the gaps, or the one after the highest when there is none.
std::vector<std::uint32_t> partsToAskFor(StoredAnswer const *answer);

} // namespace almondwing
