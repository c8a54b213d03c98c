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

// A value inside a TomlDocument, which must outlive it. Reading an absent value gives a default without
// another report. An absent value stands at the line of the table that should hold it.
class TomlValue
{
public:
    bool isPresent() const { return this->node != nullptr; }
    bool isText() const;
    std::uint32_t line() const { return this->sourceLine; }

    // Reports unless the value is a table with no other keys than these.
    void allowKeys(std::initializer_list<std::string_view> keys) const;

    TomlValue member(std::string_view key, std::string_view allowed) const; // Reports an absent member.
    TomlValue optionalMember(std::string_view key) const;

    // The following report a value of another type, or out of range.
    std::vector<TomlValue> tables() const;
    std::string text(std::string_view allowed) const;
    std::uint32_t number(std::uint32_t minimum, std::uint32_t maximum) const;
    double real(double minimum, double maximum) const; // Also takes a whole number.
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
    void const *node; // Null if absent; else a node of the TOML library inside the document.
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
    std::shared_ptr<void const> tree; // Null if the text is no TOML.
    SettingsErrors errorList;
};

} // namespace almondwing
