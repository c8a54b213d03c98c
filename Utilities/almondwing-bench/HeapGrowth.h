// How much heap each entry of a state takes, from its growth over the number of entries.

#pragma once

#include "Report.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace almondwing {

// Bytes in use by the allocator of this process (mallinfo2).
double heapBytes();

struct GrowingState
{
    std::string name;
    std::vector<std::size_t> sizes; // Ascending, at least two.
    // Builds the state with so many entries and returns the bytes by which the heap grew meanwhile.
    std::function<double(std::size_t count)> growth;
};

// A row for each state: bytes for each entry, and their range between neighbouring sizes.
ReportTable heapGrowthTable(std::vector<GrowingState> const &states);

} // namespace almondwing
