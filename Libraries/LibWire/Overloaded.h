// Combines lambdas into one visitor for std::visit.

#pragma once

namespace almondwing {

template<typename... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};

template<typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace almondwing
