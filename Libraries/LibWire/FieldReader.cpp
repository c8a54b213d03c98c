// Implements the checks of single fields.

#include <LibWire/FieldReader.h>

#include <LibWire/WireCodec.h>

#include <fmt/format.h>

namespace almondwing {

void FieldReader::fail(std::string_view fault)
{
    if (this->firstFault.ok())
        this->firstFault = absl::InvalidArgumentError(std::string(fault));
}

void FieldReader::checkPresence(bool isPresent, std::string_view field)
{
    if (!isPresent)
        this->fail(fmt::format("missing {}", field));
}

std::string FieldReader::payload(bool isPresent, std::string const &bytes, std::string_view field)
{
    this->checkPresence(isPresent, field);
    if (bytes.size() > maxMessagePayloadBytes)
        this->fail(fmt::format("{} has {} bytes, limit {}", field, bytes.size(), maxMessagePayloadBytes));
    return bytes;
}

Duration FieldReader::duration(bool isPresent, std::uint64_t microseconds, std::string_view field)
{
    auto constexpr maximum = static_cast<std::uint64_t>(maxWireDuration.count());
    this->checkPresence(isPresent, field);
    if (microseconds > maximum) {
        this->fail(fmt::format("{} is out of range", field));
        return Duration{};
    }
    return Duration(static_cast<Duration::rep>(microseconds));
}

std::uint32_t FieldReader::bounded(bool isPresent, std::uint32_t number, std::uint32_t maximum,
                                   std::string_view field)
{
    this->checkPresence(isPresent, field);
    if (number <= maximum)
        return number;
    this->fail(fmt::format("{} is out of range", field));
    return 0;
}

} // namespace almondwing
