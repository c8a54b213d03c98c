// Hashes and checks operator tokens. The settings hold only hashes, so that a settings file gives no access.

#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace almondwing {

// Shorter tokens could be guessed over the network; the hash function does not read longer ones.
constexpr std::size_t minTokenLength = 20;
constexpr std::size_t maxTokenLength = 500;

constexpr std::size_t saltLength = 32; // Lower-case hex digits: 128 random bits.
constexpr std::size_t hashLength = 86; // Lower-case hex digits of the 43 characters of a yescrypt hash.

constexpr std::string_view allowedTokenHashes =
    "salt$hash as printed by almondwingctl: 32 and 86 lower-case hex digits";

// Returns the hash of a token as "salt$hash". The salt must be random. Thread-safe. Takes about 4 ms and 4
// MB, so its callers limit how many tokens they check concurrently.
absl::StatusOr<std::string> hashToken(std::string const &token, std::string const &salt);

enum class TokenCheck : std::uint8_t { Accepted, Refused };

// Compares in constant time.
TokenCheck checkToken(std::string const &token, std::string const &storedHash);

// Returns whether a text has the format of the result of hashToken().
bool isTokenHash(std::string_view text);

} // namespace almondwing
