// The result of an experiment: tables that can be printed as text or as JSON.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace almondwing {

struct ReportTable
{
    std::string title;
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows; // Each has one cell per column.

    friend bool operator==(ReportTable const &, ReportTable const &) = default;
};

struct Report
{
    std::string experiment;
    std::uint64_t seed = 0;
    std::vector<ReportTable> tables;
    std::vector<std::string> notes; // The conditions of the measurement.

    friend bool operator==(Report const &, Report const &) = default;
};

// Formats the tables in Markdown, so that they can be copied into docs/measurements.md.
std::string toText(Report const &report);
std::string toJson(Report const &report);

} // namespace almondwing
