// Formats the JSON responses of an instance as readable text.

#pragma once

#include <string>

namespace almondwing {

std::string statusText(std::string const &json);
std::string explanationText(std::string const &json);
std::string auditText(std::string const &json);
std::string coverageText(std::string const &json);

// Returns the text of an error response.
std::string errorText(std::string const &json);

// Returns whether a coverage response confirms the version in force on every instance.
bool isInForceEverywhere(std::string const &json);

} // namespace almondwing
