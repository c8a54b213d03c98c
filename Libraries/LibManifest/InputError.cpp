// Formats errors in operators' input.

#include <LibManifest/InputError.h>

#include <fmt/format.h>

#include <algorithm>

namespace almondwing {

std::string InputError::toString() const
{
    return fmt::format("{}: found {}, allowed: {}", this->path.empty() ? "(document)" : this->path,
                       this->value, this->allowed);
}

void addError(InputErrors &errors, InputError error)
{
    if (errors.size() < maxInputErrors)
        errors.push_back(std::move(error));
    else if (errors.size() == maxInputErrors)
        errors.push_back({.path = "", .value = "further errors", .allowed = "none; correct these first"});
}

std::string quotedValue(std::string_view text, std::size_t maximumLength)
{
    std::string result = "\"";
    // Escapes make text longer, so there is no point in escaping more than the limit.
    for (char const character : text.substr(0, maximumLength + 1)) {
        if (character == '"' || character == '\\')
            result.append(1, '\\').append(1, character);
        else if (character >= ' ' && character <= '~')
            result.append(1, character);
        else
            result.append(fmt::format("\\x{:02x}", static_cast<unsigned char>(character)));
    }
    return abbreviated(result.append(1, '"'), maximumLength);
}

std::string memberPath(std::string const &parent, std::string_view key)
{
    auto const isPlain = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9') || character == '_' || character == '-';
    };
    constexpr std::size_t maximumPlainLength = 63;
    bool const isPlainKey =
        !key.empty() && key.size() <= maximumPlainLength && std::ranges::all_of(key, isPlain);
    std::string const shownKey = isPlainKey ? std::string(key) : quotedValue(key);
    return parent.empty() ? shownKey : fmt::format("{}.{}", parent, shownKey);
}

std::string abbreviated(std::string text, std::size_t maximumLength)
{
    if (text.size() <= maximumLength)
        return text;
    text.resize(maximumLength);
    return text + "...";
}

} // namespace almondwing
