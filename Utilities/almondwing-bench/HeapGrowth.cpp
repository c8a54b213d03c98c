// Implements the measurement of heap bytes.

#include "HeapGrowth.h"

#include "Measuring.h"

#include <fmt/format.h>

#include <malloc.h>

namespace almondwing {

double heapBytes()
{
    auto const info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

ReportTable heapGrowthTable(std::vector<GrowingState> const &states)
{
    ReportTable table{.title = "Growth of the heap (mallinfo2) over the number of entries",
                      .columns = {"entry", "sizes", "bytes for each", "range between neighbouring sizes",
                                  "bytes at the largest size"}};
    for (GrowingState const &state : states) {
        std::vector<Point> points;
        std::string sizes;
        for (std::size_t const size : state.sizes) {
            points.push_back(Point{.x = static_cast<double>(size), .y = state.growth(size)});
            sizes += fmt::format("{}{}", sizes.empty() ? "" : ", ", size);
        }
        Slope const slope = slopeOf(points);
        table.rows.push_back({state.name, sizes, fmt::format("{:.0f}", slope.slope),
                              fmt::format("{:.0f} to {:.0f}", slope.lowest, slope.highest),
                              fmt::format("{:.0f}", points.back().y)});
    }
    return table;
}

} // namespace almondwing
