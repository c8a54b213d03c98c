// One error in something that an operator wrote: where it is, what was found and what is allowed.

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
    std::string value; // As found, shortened; "(absent)" if there is none.
    std::string allowed;

    std::string toString() const;

    friend auto operator<=>(InputError const &, InputError const &) = default;
};

// Never empty where it stands for a failure.
using InputErrors = std::vector<InputError>;

// Adds an error, unless there are so many that nobody would read another one. The last one then says so.
void addError(InputErrors &errors, InputError error);

// Bounds the memory that one faulty input can take.
constexpr std::size_t maxInputErrors = 1000;

// Enough to recognize a value; a whole list in every message would hide the other messages.
constexpr std::size_t maxValueLength = 64;

// A text from outside in quotes, shortened and in printable ASCII, so that it can neither forge log lines nor
// send control sequences to a terminal.
std::string quotedValue(std::string_view text, std::size_t maximumLength = maxValueLength);

// The path of a key in a document, such as services.name. A key that is not plain is quoted.
std::string memberPath(std::string const &parent, std::string_view key);

// Shortens text that is printable ASCII.
std::string abbreviated(std::string text, std::size_t maximumLength = maxValueLength);

} // namespace almondwing
