// The result of an experiment, as tables that are printed as text or as JSON.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace almondwing {

struct ReportTable
{
    std::string title;
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows; // Each as long as `columns`.

    friend bool operator==(ReportTable const &, ReportTable const &) = default;
};

struct Report
{
    std::string experiment;
    std::uint64_t seed = 0;
    std::vector<ReportTable> tables;
    std::vector<std::string> notes; // What was measured and which targets were missed.

    friend bool operator==(Report const &, Report const &) = default;
};

// The tables are in Markdown, so that they can be copied into docs/measurements.md.
std::string toText(Report const &report);
std::string toJson(Report const &report);

} // namespace almondwing
