// An error in a settings file.

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace almondwing {

struct SettingsError
{
    std::string file;
    std::uint32_t line = 0; // From 1; 0 if the file could not be read at all.
    std::string key; // Such as peers[1].http; empty for the whole file.
    std::string value; // The value found, shortened; "(absent)" if there is none.
    std::string allowed;

    std::string toString() const; // file:line: key: found value, allowed: ...

    friend auto operator<=>(SettingsError const &, SettingsError const &) = default;
};

// Sorts errors by file and line and removes duplicates.
std::vector<SettingsError> sortedByLine(std::vector<SettingsError> errors);

// A function that returns these instead of a result returns at least one.
using SettingsErrors = std::vector<SettingsError>;

} // namespace almondwing
