// Implements the generation of answers and the parsing of run parameters.

#include <LibStandIns/AnswerBody.h>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace almondwing {

namespace {

constexpr std::size_t wordBytes = 8;

// Limit the cost of an arbitrary payload to a run of one hour and an answer of 64 MiB.
constexpr std::uint64_t maxServiceMilliseconds = 3'600'000;
constexpr std::uint64_t maxAnswerBytes = 64U << 20U;

std::optional<std::uint64_t> parseNumberAfter(std::string_view word, std::string_view prefix,
                                              std::uint64_t limit)
{
    if (!word.starts_with(prefix))
        return std::nullopt;
    word.remove_prefix(prefix.size());
    std::uint64_t number = 0;
    auto const [end, error] = std::from_chars(word.data(), word.data() + word.size(), number);
    if (error != std::errc{} || end != word.data() + word.size() || number > limit)
        return std::nullopt;
    return number;
}

} // namespace

std::string answerBytes(RequestKey const &key, std::size_t size, std::size_t offset, std::size_t length)
{
    std::uint64_t const seed = combineHashes(std::hash<RequestKey>{}(key), size);
    std::string bytes;
    std::size_t const end = std::min(size, offset + length);
    for (std::size_t position = offset; position < end; ++position) {
        std::uint64_t const word = combineHashes(seed, position / wordBytes);
        bytes.push_back(static_cast<char>((word >> (position % wordBytes * 8)) & 0xffU));
    }
    return bytes;
}

std::uint32_t answerPartCount(std::size_t size)
{
    return static_cast<std::uint32_t>(
        std::max<std::size_t>(1, (size + answerPartBytes - 1) / answerPartBytes));
}

AnswerPart makeAnswerPart(RequestKey const &key, std::uint64_t tryId, std::size_t size, std::uint32_t part)
{
    bool const isLast = part + 1 == answerPartCount(size);
    return {.key = key,
            .tryId = tryId,
            .part = part,
            .position = isLast ? PartPosition::Last : PartPosition::NotLast,
            .payload = answerBytes(key, size, part * answerPartBytes, answerPartBytes)};
}

RunParameters RunParameters::parse(std::string_view payload, RunParameters const &defaults)
{
    RunParameters parameters = defaults;
    while (!payload.empty()) {
        std::string_view const word = payload.substr(0, payload.find(' '));
        payload.remove_prefix(std::min(word.size() + 1, payload.size()));
        if (auto const sleep = parseNumberAfter(word, "sleep=", maxServiceMilliseconds))
            parameters.serviceTime = std::chrono::milliseconds(*sleep);
        if (auto const size = parseNumberAfter(word, "size=", maxAnswerBytes))
            parameters.answerSize = *size;
    }
    return parameters;
}

std::string RunParameters::toPayload() const
{
    auto const milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(this->serviceTime);
    return fmt::format("sleep={} size={}", milliseconds.count(), this->answerSize);
}

} // namespace almondwing
