// The bytes of an answer are a function of the request key and the size, so that a caller can check every
// byte without another channel to the target.

#pragma once

#include <LibMessages/RequestMessages.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace almondwing {

// Leaves room for the envelope in a datagram of the wire format.
constexpr std::size_t answerPartBytes = 1000;

// The bytes [offset, offset + length) of the body of the given size, cut at its end.
std::string answerBytes(RequestKey const &key, std::size_t size, std::size_t offset, std::size_t length);

// An empty answer has one empty part.
std::uint32_t answerPartCount(std::size_t size);

AnswerPart makeAnswerPart(RequestKey const &key, std::uint64_t tryId, std::size_t size, std::uint32_t part);

// What a request asks of a target stand-in, for example "sleep=20 size=5000". Words of other forms are
// ignored, because the payload may carry anything.
struct RunParameters
{
    Duration serviceTime{};
    std::size_t answerSize = 0;

    static RunParameters parse(std::string_view payload, RunParameters const &defaults);

    std::string toPayload() const;

    friend bool operator==(RunParameters const &, RunParameters const &) = default;
};

} // namespace almondwing
