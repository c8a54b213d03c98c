// Measures the heap bytes per entry of a data structure, from the growth of the heap over the number of
// entries.

#pragma once

#include "Report.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace almondwing {

// Bytes that the allocator of this process has handed out (mallinfo2).
double heapBytesInUse();

struct HeapGrowthCase
{
    std::string name;
    std::vector<std::size_t> sizes; // Numbers of entries: at least two, in ascending order.
    // Builds the structure with `count` entries and returns the number of bytes by which the heap grew.
    std::function<double(std::size_t count)> measureGrowth;
};

// Returns one row per case: the bytes per entry, and their range between neighbouring sizes.
ReportTable heapGrowthTable(std::vector<HeapGrowthCase> const &cases);

} // namespace almondwing
