// Hashes tokens with yescrypt from libcrypt.

#include <LibSettings/OperatorToken.h>

#include <fmt/format.h>

#include <crypt.h>

#include <algorithm>
#include <memory>

namespace almondwing {

namespace {

// yescrypt with 4096 blocks of 1 KB. The default of the library takes 16 MB, a quarter of the memory that an
// instance may spend on control.
constexpr std::string_view hashParameters = "$y$j95$";

bool isLowerHex(std::string_view text)
{
    return std::ranges::all_of(text, [](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
    });
}

bool isPrintable(std::string_view text)
{
    return std::ranges::all_of(text, [](char character) { return character > ' ' && character <= '~'; });
}

} // namespace

absl::StatusOr<std::string> hashToken(std::string const &token, std::string const &salt)
{
    // Other characters are refused because a zero byte would cut the token short without notice.
    if (token.size() < minTokenLength || token.size() > maxTokenLength || !isPrintable(token))
        return absl::InvalidArgumentError(fmt::format(
            "a token has {} to {} printable ASCII characters and no spaces", minTokenLength, maxTokenLength));
    if (salt.size() != saltLength || !isLowerHex(salt))
        return absl::InvalidArgumentError(fmt::format("a salt has {} lower-case hex digits", saltLength));
    // The work area of 32 KB is too large for the stack of a thread that serves requests.
    auto const workArea = std::make_unique<crypt_data>();
    std::string const setting = fmt::format("{}{}", hashParameters, salt);
    char const *const output = crypt_r(token.c_str(), setting.c_str(), workArea.get());
    // The library reports failure with a null pointer or with a text that begins with '*'.
    if (output == nullptr || *output == '*')
        return absl::InternalError("the hash function of libcrypt failed; is it built with yescrypt?");
    std::string_view const hashed(output);
    std::string result = salt + "$";
    for (char const character : hashed.substr(hashed.rfind('$') + 1))
        result.append(fmt::format("{:02x}", static_cast<unsigned char>(character)));
    return result;
}

TokenCheck checkToken(std::string const &token, std::string const &storedHash)
{
    if (!isTokenHash(storedHash))
        return TokenCheck::Refused;
    absl::StatusOr<std::string> const hash = hashToken(token, storedHash.substr(0, saltLength));
    if (!hash.ok() || hash->size() != storedHash.size())
        return TokenCheck::Refused;
    // Looks at all characters, so that the time does not tell how many of them match.
    unsigned difference = 0;
    for (std::size_t index = 0; index < hash->size(); ++index)
        difference |= static_cast<unsigned char>((*hash)[index])
            ^ static_cast<unsigned>(static_cast<unsigned char>(storedHash[index]));
    return difference == 0 ? TokenCheck::Accepted : TokenCheck::Refused;
}

bool isTokenHash(std::string_view text)
{
    return text.size() == saltLength + 1 + hashLength && text[saltLength] == '$'
        && isLowerHex(text.substr(0, saltLength)) && isLowerHex(text.substr(saltLength + 1));
}

} // namespace almondwing
