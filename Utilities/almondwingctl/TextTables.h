// Readable forms of the JSON answers of an instance.

#pragma once

#include <string>

namespace almondwing {

std::string statusText(std::string const &json);
std::string explanationText(std::string const &json);
std::string auditText(std::string const &json);
std::string coverageText(std::string const &json);

// The text of an error answer.
std::string errorText(std::string const &json);

// Whether a coverage answer says that every instance has the version in force.
bool isInForceEverywhere(std::string const &json);

} // namespace almondwing
