// Formats errors in operators' input.

#include <LibManifest/InputError.h>

#include <fmt/format.h>

namespace almondwing {

namespace {

// Enough to recognize a value; a whole list in every message would hide the other messages.
constexpr std::size_t maximumValueLength = 64;

} // namespace

std::string InputError::toString() const
{
    return fmt::format("{}: found {}, allowed: {}", this->path.empty() ? "(document)" : this->path,
                       this->value, this->allowed);
}

std::string quotedValue(std::string_view text)
{
    std::string result = "\"";
    // Escapes make text longer, so there is no point in escaping more than the limit.
    for (char const character : text.substr(0, maximumValueLength + 1)) {
        if (character == '"' || character == '\\')
            result.append(1, '\\').append(1, character);
        else if (character >= ' ' && character <= '~')
            result.append(1, character);
        else
            result.append(fmt::format("\\x{:02x}", static_cast<unsigned char>(character)));
    }
    return abbreviated(result.append(1, '"'));
}

std::string abbreviated(std::string text)
{
    if (text.size() <= maximumValueLength)
        return text;
    text.resize(maximumValueLength);
    return text + "...";
}

} // namespace almondwing
