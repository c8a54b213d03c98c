// Knows the operators of the settings by their tokens.

#pragma once

#include <LibSettings/DaemonSettings.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace almondwing {

class OperatorRegister
{
public:
    explicit OperatorRegister(std::vector<OperatorSettings> knownOperators);

    // The name of the operator whose token this is. Checks every operator, so that the time tells nothing.
    std::optional<std::string> findByToken(std::string const &token) const;

private:
    std::vector<OperatorSettings> operators;
};

} // namespace almondwing
