// Tokens of operators. The settings hold only their hashes, so that a settings file gives nobody access.

#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace almondwing {

// Short tokens could be guessed over the network; longer ones are not read by the hash function.
constexpr std::size_t minTokenLength = 20;
constexpr std::size_t maxTokenLength = 500;

constexpr std::size_t saltLength = 32; // Lower-case hex digits: 128 random bits.
constexpr std::size_t hashLength = 86; // Lower-case hex digits of the 43 characters of a yescrypt hash.

constexpr std::string_view allowedTokenHashes =
    "salt$hash as printed by almondwingctl: 32 and 86 lower-case hex digits";

// The hash of a token, in the form "salt$hash". The salt is chosen at random by the caller. Takes about 4 ms
// and 4 MB, so a front end limits how many tokens it checks at a time. Safe to call from several threads.
absl::StatusOr<std::string> hashToken(std::string const &token, std::string const &salt);

enum class TokenCheck : std::uint8_t { Accepted, Refused };

// Compares in constant time.
TokenCheck checkToken(std::string const &token, std::string const &storedHash);

// Whether a text has the form that hashToken() returns.
bool isTokenHash(std::string_view text);

} // namespace almondwing
