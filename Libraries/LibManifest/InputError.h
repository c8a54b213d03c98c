// An error in the input of an operator: its place, the value that was found and the values that are allowed.

#pragma once

#include <compare>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace almondwing {

struct InputError
{
    std::string path; // Such as services[2].address; empty for the whole document.
    std::string value; // The value found, shortened; "(absent)" if there is none.
    std::string allowed;

    std::string toString() const;

    friend auto operator<=>(InputError const &, InputError const &) = default;
};

// A function that returns these instead of a result returns at least one.
using InputErrors = std::vector<InputError>;

// Adds an error. After maxInputErrors errors, which are more than anyone reads, one last entry says that
// there are further errors, and all others are dropped.
void addError(InputErrors &errors, InputError error);

// Limits the memory that the errors of one input can take.
constexpr std::size_t maxInputErrors = 1000;

// Longer values are cut off in messages. This is enough to recognize a value; a value can be a long list,
// which would make the other messages hard to find.
constexpr std::size_t maxValueLength = 64;

// Quotes and shortens untrusted text and escapes it to printable ASCII, so that it can neither forge log
// lines nor send control sequences to a terminal.
std::string quotedValue(std::string_view text, std::size_t maxLength = maxValueLength);

// Returns the path of a key in a document, such as services.name. A key is quoted if it is long or has
// characters other than letters, digits, '_' and '-'.
std::string memberPath(std::string const &parent, std::string_view key);

// Shortens text, which must be printable ASCII.
std::string abbreviated(std::string text, std::size_t maxLength = maxValueLength);

} // namespace almondwing
