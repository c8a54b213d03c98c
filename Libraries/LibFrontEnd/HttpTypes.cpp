// Implements the parsing of request targets.

#include <LibFrontEnd/HttpTypes.h>

#include <fmt/format.h>

#include <cctype>
#include <charconv>

namespace almondwing {

namespace {

std::string decodeQueryValue(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        unsigned char byte = 0;
        bool const isEscape = text[index] == '%' && index + 2 < text.size()
            && std::from_chars(text.data() + index + 1, text.data() + index + 3, byte, 16).ptr
                == text.data() + index + 3;
        if (isEscape) {
            decoded.push_back(static_cast<char>(byte));
            index += 2;
        } else {
            decoded.push_back(text[index] == '+' ? ' ' : text[index]);
        }
    }
    return decoded;
}

} // namespace

std::string HttpRequest::queryParameter(std::string const &name) const
{
    auto const found = this->query.find(name);
    return found == this->query.end() ? std::string() : found->second;
}

HttpRequest parseRequestTarget(std::string_view target)
{
    HttpRequest request;
    std::size_t const question = target.find('?');
    request.path = std::string(target.substr(0, question));
    if (question == std::string_view::npos)
        return request;
    std::string_view rest = target.substr(question + 1);
    while (!rest.empty()) {
        std::size_t const ampersand = rest.find('&');
        std::string_view const pair = rest.substr(0, ampersand);
        std::size_t const equals = pair.find('=');
        std::string_view const value = equals == std::string_view::npos ? "" : pair.substr(equals + 1);
        request.query.insert_or_assign(decodeQueryValue(pair.substr(0, equals)), decodeQueryValue(value));
        rest = ampersand == std::string_view::npos ? "" : rest.substr(ampersand + 1);
    }
    return request;
}

std::string encodeQueryValue(std::string_view value)
{
    std::string encoded;
    for (char const character : value) {
        auto const byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '-' || character == '.' || character == '_')
            encoded.push_back(character);
        else
            encoded += fmt::format("%{:02X}", byte);
    }
    return encoded;
}

} // namespace almondwing
