// Implements the printing of reports.

#include "Report.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

namespace almondwing {

namespace {

std::string rowText(std::vector<std::string> const &cells)
{
    return fmt::format("| {} |\n", fmt::join(cells, " | "));
}

} // namespace

std::string toText(Report const &report)
{
    std::string text = fmt::format("experiment {}, seed {}\n", report.experiment, report.seed);
    for (ReportTable const &table : report.tables) {
        text += fmt::format("\n{}\n\n", table.title);
        text += rowText(table.columns);
        text += rowText(std::vector<std::string>(table.columns.size(), "---"));
        for (auto const &row : table.rows)
            text += rowText(row);
    }
    for (std::string const &note : report.notes)
        text += fmt::format("\n{}\n", note);
    return text;
}

std::string toJson(Report const &report)
{
    nlohmann::json tables = nlohmann::json::array();
    for (ReportTable const &table : report.tables)
        tables.push_back({{"title", table.title}, {"columns", table.columns}, {"rows", table.rows}});
    nlohmann::json const result = {{"experiment", report.experiment},
                                   {"seed", report.seed},
                                   {"tables", tables},
                                   {"notes", report.notes}};
    return result.dump(2) + "\n";
}

} // namespace almondwing
