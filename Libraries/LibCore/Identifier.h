// Typed 64-bit identifiers. Names of services, targets, instances and failure domains are hashed once, so
// that messages and tables carry eight bytes; records keep the name for operators.

#pragma once

#include <LibCore/Hash.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace almondwing {

template<typename Tag>
struct Identifier
{
    std::uint64_t value = 0;

    static Identifier fromName(std::string_view name) { return Identifier{hashText(name)}; }

    // Zero stands for "none". A configured name is too unlikely to have this hash for it to matter.
    bool isNone() const { return this->value == 0; }

    friend constexpr auto operator<=>(Identifier, Identifier) = default;
};

using ServiceId = Identifier<struct ServiceTag>;
using TargetId = Identifier<struct TargetTag>;
using InstanceId = Identifier<struct InstanceTag>;
using FailureDomainId = Identifier<struct FailureDomainTag>;

} // namespace almondwing

template<typename Tag>
struct std::hash<almondwing::Identifier<Tag>>
{
    // The value is already a hash, so it is not hashed again.
    std::size_t operator()(almondwing::Identifier<Tag> identifier) const noexcept { return identifier.value; }
};
