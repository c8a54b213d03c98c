// Implements the reassembly of answers.

#include <LibStandIns/AnswerAssembly.h>

#include <LibCore/Verify.h>

namespace almondwing {

namespace {

// Limits the memory that a part with a wrong number can allocate.
constexpr std::uint32_t maxParts = 1U << 17U;

} // namespace

AnswerAssembly AnswerAssembly::with(AnswerPart const &part) const
{
    AnswerAssembly next = *this;
    bool const isBeyondLast = this->lastPart && part.part > *this->lastPart;
    if (part.part >= maxParts || isBeyondLast) {
        next.isInconsistent = true;
        return next;
    }
    if (part.position == PartPosition::Last) {
        bool const hasOtherLastPart = this->lastPart && *this->lastPart != part.part;
        next.isInconsistent |= hasOtherLastPart || this->parts.size() > part.part + 1;
        next.lastPart = part.part;
    }
    if (next.parts.size() <= part.part)
        next.parts.resize(part.part + 1);
    auto &payload = next.parts[part.part];
    if (payload) {
        next.isInconsistent |= *payload != part.payload;
        return next;
    }
    payload = std::make_shared<std::string const>(part.payload);
    ++next.received;
    return next;
}

AssemblyState AnswerAssembly::state() const
{
    if (this->isInconsistent)
        return AssemblyState::Inconsistent;
    bool const isComplete = this->lastPart && this->received == *this->lastPart + 1;
    return isComplete ? AssemblyState::Complete : AssemblyState::Incomplete;
}

std::vector<std::uint32_t> AnswerAssembly::missingParts(std::size_t limit) const
{
    std::vector<std::uint32_t> missing;
    for (std::uint32_t part = 0; part < this->parts.size() && missing.size() < limit; ++part) {
        if (!this->parts[part])
            missing.push_back(part);
    }
    for (auto part = static_cast<std::uint32_t>(this->parts.size());
         !this->lastPart && missing.size() < limit; ++part)
        missing.push_back(part);
    return missing;
}

std::string AnswerAssembly::body() const
{
    VERIFY(this->state() == AssemblyState::Complete);
    std::string bytes;
    for (auto const &part : this->parts)
        bytes += *part;
    return bytes;
}

} // namespace almondwing
