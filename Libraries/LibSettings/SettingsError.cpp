// Implements the formatting and sorting of errors in settings.

#include <LibSettings/SettingsError.h>

#include <fmt/format.h>

#include <algorithm>

namespace almondwing {

std::string SettingsError::toString() const
{
    return fmt::format("{}:{}: {}: found {}, allowed: {}", this->file, this->line,
                       this->key.empty() ? "(file)" : this->key, this->value, this->allowed);
}

std::vector<SettingsError> sortedByLine(std::vector<SettingsError> errors)
{
    std::ranges::sort(errors);
    errors.erase(std::unique(errors.begin(), errors.end()), errors.end());
    return errors;
}

} // namespace almondwing
