// Implements the authentication of operators.

#include "OperatorRegister.h"

#include <LibSettings/OperatorToken.h>

#include <utility>

namespace almondwing {

OperatorRegister::OperatorRegister(std::vector<OperatorSettings> knownOperators)
    : operators(std::move(knownOperators))
{
}

std::optional<std::string> OperatorRegister::findByToken(std::string const &token) const
{
    if (token.empty())
        return std::nullopt;
    std::optional<std::string> found;
    for (OperatorSettings const &candidate : this->operators) {
        if (checkToken(token, candidate.tokenHash) == TokenCheck::Accepted)
            found = candidate.name;
    }
    return found;
}

} // namespace almondwing
