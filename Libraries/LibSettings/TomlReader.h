// Reads a TOML document key by key and collects all errors with their lines. Hides the TOML library.

#pragma once

#include <LibSettings/SettingsError.h>

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace almondwing {

class TomlDocument;

// A value in a TomlDocument, which must outlive it. Reading an absent value returns a default and reports
// nothing more. An absent value has the line of the table that should hold it.
class TomlValue
{
public:
    bool isPresent() const { return this->node != nullptr; }
    bool isText() const;
    std::uint32_t line() const { return this->sourceLine; }

    // Reports an error unless the value is a table with no keys other than these.
    void allowKeys(std::initializer_list<std::string_view> keys) const;

    TomlValue member(std::string_view key, std::string_view allowed) const; // Reports an absent member.
    TomlValue optionalMember(std::string_view key) const;

    // Each of these reports a value of the wrong type or out of range.
    std::vector<TomlValue> elements() const;
    std::string text(std::string_view allowed) const;
    std::uint32_t number(std::uint32_t minimum, std::uint32_t maximum) const;
    double real(double minimum, double maximum) const; // Also accepts a whole number.
    bool boolean() const;

    void report(std::string_view allowed) const;

private:
    friend class TomlDocument;

    TomlValue(TomlDocument &owner, void const *nodeInDocument, std::string keyInDocument,
              std::uint32_t lineInFile)
        : document(&owner), node(nodeInDocument), key(std::move(keyInDocument)), sourceLine(lineInFile)
    {
    }

    TomlDocument *document; // Never null.
    void const *node; // A node of the TOML library in the document; null if absent.
    std::string key;
    std::uint32_t sourceLine;
};

class TomlDocument
{
public:
    TomlDocument(std::string const &text, std::string fileName);

    TomlValue root();
    SettingsErrors const &errors() const { return this->errorList; }
    void report(SettingsError error);

private:
    friend class TomlValue;

    std::string file;
    std::shared_ptr<void const> tree; // Null if the text is not TOML.
    SettingsErrors errorList;
};

} // namespace almondwing
