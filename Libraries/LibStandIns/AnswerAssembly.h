// The parts of one answer as a caller has them so far. Parts may come in any order and more than once.

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
    Contradictory, // Two parts with one number differ, or two parts claim to be the last one.
};

class AnswerAssembly
{
public:
    // All parts must belong to one try.
    [[nodiscard]] AnswerAssembly with(AnswerPart const &part) const;

    AssemblyState state() const;
    std::size_t receivedParts() const { return this->received; }

    // Numbers of parts to ask for again, at most `maximum`. While the last part is unknown, the numbers after
    // the highest received one are included.
    std::vector<std::uint32_t> missingParts(std::size_t maximum) const;

    // Only of a complete answer.
    std::string body() const;

    friend bool operator==(AnswerAssembly const &, AnswerAssembly const &) = default;

private:
    // Shared, so that copies of the value on the blackboard don't copy the bytes. Null while missing.
    std::vector<std::shared_ptr<std::string const>> parts;
    std::optional<std::uint32_t> lastPart;
    std::size_t received = 0; // Number of parts that are not null.
    bool hasContradiction = false;
};

} // namespace almondwing
