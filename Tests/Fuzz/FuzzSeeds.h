// Starts the fuzzer from seed documents, most of them valid, so that mutations reach the contents and don't
// only break the syntax.

#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer looks for this name.
extern "C" std::size_t LLVMFuzzerMutate(std::uint8_t *data, std::size_t size, std::size_t maximumSize);

namespace almondwing {

// Without a corpus folder, the fuzzer starts with inputs of at most one byte; these are replaced by a seed.
// Of the longer inputs, one in 64 is replaced as well, so that the fuzzer returns to the seeds.
inline std::size_t mutateFromSeeds(std::span<std::string_view const> seeds, std::span<std::uint8_t> buffer,
                                   std::size_t size, unsigned random)
{
    constexpr unsigned restartInterval = 64;
    if (size > 1 && random % restartInterval != 0)
        return LLVMFuzzerMutate(buffer.data(), size, buffer.size());
    std::string_view const seed = seeds[(random / restartInterval) % seeds.size()];
    std::size_t const length = std::min(seed.size(), buffer.size());
    std::copy_n(seed.begin(), length, buffer.begin());
    return LLVMFuzzerMutate(buffer.data(), length, buffer.size());
}

} // namespace almondwing
