// The rule for names that operators choose: deployments, failure domains, pools, services, targets,
// instances.

#pragma once

#include <cstddef>
#include <string_view>

namespace almondwing {

// The length of a DNS label, so that names can be used in host names.
constexpr std::size_t maxNameLength = 63;

constexpr std::string_view allowedNames = "1 to 63 lower-case letters, digits and '-'";

bool isValidName(std::string_view name);

} // namespace almondwing
