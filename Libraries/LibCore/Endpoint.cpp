// Parses and formats endpoints.

#include <LibCore/Endpoint.h>

#include <LibCore/Hash.h>

#include <fmt/format.h>

#include <charconv>
#include <limits>
#include <optional>

namespace almondwing {

namespace {

std::optional<unsigned> parseNumber(std::string_view text, unsigned maximum)
{
    unsigned number = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size() || number > maximum)
        return std::nullopt;
    return number;
}

std::optional<std::uint32_t> parseAddress(std::string_view text)
{
    std::uint32_t address = 0;
    for (int octetIndex = 0; octetIndex < 4; ++octetIndex) {
        bool const isLastOctet = octetIndex == 3;
        std::size_t const dot = text.find('.');
        if (isLastOctet != (dot == std::string_view::npos))
            return std::nullopt;
        auto const octet = parseNumber(text.substr(0, dot), 255);
        if (!octet)
            return std::nullopt;
        address = (address << 8U) | *octet;
        text.remove_prefix(isLastOctet ? text.size() : dot + 1);
    }
    return address;
}

} // namespace

absl::StatusOr<Endpoint> Endpoint::parse(std::string_view text)
{
    std::size_t const colon = text.rfind(':');
    auto const invalid = [&] {
        return absl::InvalidArgumentError(fmt::format(
            "\"{}\" is not an endpoint; expected a.b.c.d:port with a port from 1 to 65535", text));
    };
    if (colon == std::string_view::npos)
        return invalid();
    auto const address = parseAddress(text.substr(0, colon));
    auto const port = parseNumber(text.substr(colon + 1), std::numeric_limits<std::uint16_t>::max());
    if (!address || !port || *port == 0)
        return invalid();
    return Endpoint{.address = *address, .port = static_cast<std::uint16_t>(*port)};
}

std::string Endpoint::addressText() const
{
    return fmt::format("{}.{}.{}.{}", this->address >> 24U, (this->address >> 16U) & 255U,
                       (this->address >> 8U) & 255U, this->address & 255U);
}

std::string Endpoint::toString() const
{
    return fmt::format("{}:{}", this->addressText(), this->port);
}

} // namespace almondwing

std::size_t std::hash<almondwing::Endpoint>::operator()(almondwing::Endpoint endpoint) const noexcept
{
    return almondwing::mixBits((std::uint64_t{endpoint.address} << 16U) | endpoint.port);
}
