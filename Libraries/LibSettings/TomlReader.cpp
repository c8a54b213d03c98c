// Reads TOML with toml++.

#include <LibSettings/TomlReader.h>

#include <LibManifest/InputError.h>

#include <fmt/format.h>

#include <toml++/toml.h>

#include <algorithm>
#include <sstream>

namespace almondwing {

namespace {

toml::node const &nodeOf(void const *node)
{
    return *static_cast<toml::node const *>(node);
}

std::string formatValue(toml::node const &node)
{
    if (auto const *const text = node.as_string())
        return quotedValue(text->get());
    if (node.is_table())
        return "a table";
    if (node.is_array())
        return "a list";
    std::ostringstream stream;
    node.visit([&stream](auto const &value) {
        if constexpr (toml::is_value<decltype(value)>)
            stream << value;
    });
    return abbreviated(stream.str());
}

} // namespace

void TomlValue::report(std::string_view allowed) const
{
    this->document->report({.file = this->document->file,
                            .line = this->sourceLine,
                            .key = this->key,
                            .value = this->node == nullptr ? "(absent)" : formatValue(nodeOf(this->node)),
                            .allowed = std::string(allowed)});
}

void TomlValue::allowKeys(std::initializer_list<std::string_view> keys) const
{
    if (!this->isPresent())
        return;
    std::string const allowed = fmt::format("a table with the keys {}", fmt::join(keys, ", "));
    toml::table const *const table = nodeOf(this->node).as_table();
    if (table == nullptr) {
        this->report(allowed);
        return;
    }
    for (auto const &[name, value] : *table) {
        if (std::ranges::find(keys, name.str()) == keys.end())
            TomlValue(*this->document, &value, memberPath(this->key, name.str()), name.source().begin.line)
                .report(allowed);
    }
}

TomlValue TomlValue::optionalMember(std::string_view name) const
{
    TomlValue absent(*this->document, nullptr, memberPath(this->key, name), this->sourceLine);
    toml::table const *const table = this->isPresent() ? nodeOf(this->node).as_table() : nullptr;
    toml::node const *const found = table == nullptr ? nullptr : table->get(name);
    if (found == nullptr)
        return absent;
    return {*this->document, found, absent.key, found->source().begin.line};
}

TomlValue TomlValue::member(std::string_view name, std::string_view allowed) const
{
    TomlValue found = this->optionalMember(name);
    // An absent table, or one of the wrong type, was already reported; errors for its members add nothing.
    if (!found.isPresent() && this->isPresent() && nodeOf(this->node).is_table())
        found.report(allowed);
    return found;
}

std::vector<TomlValue> TomlValue::elements() const
{
    std::vector<TomlValue> result;
    if (!this->isPresent())
        return result;
    toml::array const *const array = nodeOf(this->node).as_array();
    if (array == nullptr) {
        this->report("a list");
        return result;
    }
    for (toml::node const &element : *array)
        result.push_back(TomlValue(*this->document, &element, fmt::format("{}[{}]", this->key, result.size()),
                                   element.source().begin.line));
    return result;
}

bool TomlValue::isText() const
{
    return this->isPresent() && nodeOf(this->node).is_string();
}

std::string TomlValue::text(std::string_view allowed) const
{
    if (!this->isPresent())
        return "";
    if (auto const *const text = nodeOf(this->node).as_string())
        return text->get();
    this->report(allowed);
    return "";
}

std::uint32_t TomlValue::number(std::uint32_t minimum, std::uint32_t maximum) const
{
    if (!this->isPresent())
        return minimum;
    auto const *const number = nodeOf(this->node).as_integer();
    if (number != nullptr && number->get() >= minimum && number->get() <= maximum)
        return static_cast<std::uint32_t>(number->get());
    this->report(fmt::format("a whole number from {} to {}", minimum, maximum));
    return minimum;
}

double TomlValue::real(double minimum, double maximum) const
{
    if (!this->isPresent())
        return minimum;
    auto const number = nodeOf(this->node).value<double>();
    if (number && *number >= minimum && *number <= maximum)
        return *number;
    this->report(fmt::format("a number from {} to {}", minimum, maximum));
    return minimum;
}

bool TomlValue::boolean() const
{
    if (!this->isPresent())
        return false;
    if (auto const *const found = nodeOf(this->node).as_boolean())
        return found->get();
    this->report("true or false");
    return false;
}

TomlDocument::TomlDocument(std::string const &text, std::string fileName) : file(std::move(fileName))
{
    // The library reports syntax errors with exceptions, which are not passed on.
    try {
        this->tree = std::make_shared<toml::table const>(toml::parse(std::string_view(text)));
    } catch (toml::parse_error const &error) {
        constexpr std::size_t maxDescriptionLength = 200;
        this->report(
            {.file = this->file,
             .line = std::max<std::uint32_t>(error.source().begin.line, 1),
             .key = "",
             .value = "text that is not TOML",
             .allowed = fmt::format("TOML ({})", quotedValue(error.description(), maxDescriptionLength))});
    }
}

TomlValue TomlDocument::root()
{
    // `tree` points to a toml::table, so it is cast to that type first and then to its base class.
    auto const *const table = static_cast<toml::table const *>(this->tree.get());
    return {*this, static_cast<toml::node const *>(table), "", 1};
}

void TomlDocument::report(SettingsError error)
{
    this->errorList.push_back(std::move(error));
}

} // namespace almondwing
