// Generates the bytes of answers. They are a function of the request key and the size, so that a caller can
// check every byte without a second channel to the target.

#pragma once

#include <LibMessages/RequestMessages.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace almondwing {

// Leaves room for the envelope of the wire format in a datagram.
constexpr std::size_t answerPartBytes = 1000;

// Returns the bytes [offset, offset + length) of a body of the given size, truncated at the end of the body.
std::string answerBytes(RequestKey const &key, std::size_t size, std::size_t offset, std::size_t length);

// Returns at least 1, because an empty answer consists of one empty part.
std::uint32_t answerPartCount(std::size_t size);

AnswerPart makeAnswerPart(RequestKey const &key, std::uint64_t tryId, std::size_t size, std::uint32_t part);

// The service time and answer size that a request payload asks of a target stand-in, for example
// "sleep=20 size=5000". Words of other forms are ignored, because the payload may contain anything.
struct RunParameters
{
    Duration serviceTime{};
    std::size_t answerSize = 0;

    static RunParameters parse(std::string_view payload, RunParameters const &defaults);

    std::string toPayload() const;

    friend bool operator==(RunParameters const &, RunParameters const &) = default;
};

} // namespace almondwing
