// Reassembles an answer at a caller. Parts may arrive in any order and more than once.

#pragma once

#include <LibMessages/RequestMessages.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondwing {

enum class AssemblyState : std::uint8_t {
    Incomplete,
    Complete,
    Inconsistent, // The received parts contradict each other, or a part number exceeds the limit.
};

class AnswerAssembly
{
public:
    // All parts must belong to the same try.
    [[nodiscard]] AnswerAssembly with(AnswerPart const &part) const;

    AssemblyState state() const;
    std::size_t receivedParts() const { return this->received; }

    // At most `limit` numbers of parts to request again. While the last part is unknown, the numbers after
    // the highest received one are included.
    std::vector<std::uint32_t> missingParts(std::size_t limit) const;

    // The answer must be complete.
    std::string body() const;

    friend bool operator==(AnswerAssembly const &, AnswerAssembly const &) = default;

private:
    // Indexed by part number; null while the part is missing. Shared, so that copying the value on the
    // blackboard does not copy the bytes.
    std::vector<std::shared_ptr<std::string const>> parts;
    std::optional<std::uint32_t> lastPart;
    std::size_t received = 0; // Number of parts that are not null.
    bool isInconsistent = false;
};

} // namespace almondwing
