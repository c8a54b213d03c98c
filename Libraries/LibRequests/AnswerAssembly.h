// Assembles an answer from its numbered parts, which may arrive out of order and more than once.

#pragma once

#include <LibMessages/RequestMessages.h>
#include <LibState/RequestRecord.h>

#include <cstddef>
#include <memory>
#include <vector>

namespace almondwing {

enum class AddPartStatus : std::uint8_t {
    Added,
    Duplicate,
    Inconsistent, // Contradicts an earlier part or exceeds the size limits of an answer.
};

struct AddPartResult
{
    AddPartStatus status = AddPartStatus::Inconsistent;
    std::shared_ptr<StoredAnswer const> answer; // A new object if the part was added.

    friend bool operator==(AddPartResult const &, AddPartResult const &) = default;
};

// Limits the memory that a faulty target can make an instance allocate with a large part number.
constexpr std::uint32_t maxAnswerParts = 65'536;

AddPartResult addPart(std::shared_ptr<StoredAnswer const> const &answer, AnswerPart const &part,
                      std::size_t maxBytes);

// Builds the message for one stored part. The part must be present.
AnswerPart storedPart(RequestKey key, StoredAnswer const &answer, std::uint32_t part);

// Returns the parts to request from the target again: the missing ones and, while the last part is unknown,
// the one after the highest received.
std::vector<std::uint32_t> partsToRequest(StoredAnswer const *answer);

} // namespace almondwing
