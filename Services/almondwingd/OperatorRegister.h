// Authenticates operators by the token hashes in the settings.

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

    // Returns the name of the operator that the token belongs to. Checks every operator, so that the response
    // time does not reveal which one matched.
    std::optional<std::string> findByToken(std::string const &token) const;

private:
    std::vector<OperatorSettings> operators;
};

} // namespace almondwing
