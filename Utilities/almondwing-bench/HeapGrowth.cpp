// Implements the measurement of heap growth.

#include "HeapGrowth.h"

#include "Measuring.h"

#include <fmt/format.h>

#include <malloc.h>

namespace almondwing {

double heapBytesInUse()
{
    auto const info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

ReportTable heapGrowthTable(std::vector<HeapGrowthCase> const &cases)
{
    ReportTable table{.title = "Growth of the heap (mallinfo2) over the number of entries",
                      .columns = {"entry", "sizes", "bytes for each", "range between neighbouring sizes",
                                  "bytes at the largest size"}};
    for (HeapGrowthCase const &heapCase : cases) {
        std::vector<Point> points;
        std::string sizes;
        for (std::size_t const size : heapCase.sizes) {
            points.push_back(Point{.x = static_cast<double>(size), .y = heapCase.measureGrowth(size)});
            sizes += fmt::format("{}{}", sizes.empty() ? "" : ", ", size);
        }
        LinearFit const fit = fitLine(points);
        table.rows.push_back({heapCase.name, sizes, fmt::format("{:.0f}", fit.slope),
                              fmt::format("{:.0f} to {:.0f}", fit.minSlope, fit.maxSlope),
                              fmt::format("{:.0f}", points.back().y)});
    }
    return table;
}

} // namespace almondwing
