// Validates the fields of one datagram while it is decoded. The reader keeps the first error and continues
// with default values, so that the functions that read messages need no error handling.

#pragma once

#include <LibCore/Time.h>
#include <LibMessages/Reason.h>

#include <absl/status/status.h>

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace almondwing {

class FieldReader
{
public:
    absl::Status const &status() const { return this->firstError; }

    void fail(std::string_view error);

    template<typename Value>
    Value required(bool isPresent, Value const &value, std::string_view field)
    {
        this->checkPresence(isPresent, field);
        return value;
    }

    std::string payload(bool isPresent, std::string const &bytes, std::string_view field);
    Duration duration(bool isPresent, std::uint64_t microseconds, std::string_view field);

    template<typename Enum>
    Enum enumeration(bool isPresent, std::uint32_t number, Enum last, std::string_view field)
    {
        return static_cast<Enum>(this->bounded(isPresent, number, static_cast<std::uint8_t>(last), field));
    }

    template<typename Integer>
    Integer narrow(bool isPresent, std::uint32_t number, std::string_view field)
    {
        return static_cast<Integer>(
            this->bounded(isPresent, number, std::numeric_limits<Integer>::max(), field));
    }

private:
    void checkPresence(bool isPresent, std::string_view field);
    std::uint32_t bounded(bool isPresent, std::uint32_t number, std::uint32_t maximum,
                          std::string_view field);

    absl::Status firstError;
};

} // namespace almondwing

// Expands to the presence, the value and the name of a field of a generated protobuf message.
#define REQUIRED_FIELD(message, field) (message).has_##field(), (message).field(), #field
