// Hash functions that return the same result on every instance, because routing decisions depend on them.

#pragma once

#include <cstdint>
#include <string_view>

namespace almondwing {

std::uint64_t hashText(std::string_view text);

// Finalizer of SplitMix64 (Steele, Lea, Flood, 2014); every input bit changes every output bit with
// probability near one half.
constexpr std::uint64_t mixBits(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

constexpr std::uint64_t combineHashes(std::uint64_t first, std::uint64_t second)
{
    return mixBits(first ^ mixBits(second));
}

} // namespace almondwing
