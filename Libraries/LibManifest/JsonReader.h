// Reads a JSON document field by field and collects all errors with their paths, instead of stopping at the
// first one. Code that uses it does not depend on the JSON library.

#pragma once

#include <LibManifest/InputError.h>

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace almondwing {

// A value in a JsonDocument, which must outlive it. Reading an absent value returns a default and reports
// nothing, because member() has already reported it if it is required.
class JsonValue
{
public:
    bool isPresent() const { return this->node != nullptr; }
    bool isText() const;
    bool isObject() const;
    std::string const &path() const { return this->location; }

    // Reports an error unless the value is an object with no keys other than these.
    void allowKeys(std::initializer_list<std::string_view> keys) const;

    JsonValue member(std::string_view key) const; // Reports an absent member.
    JsonValue optionalMember(std::string_view key) const;

    // Each of these reports a value of the wrong type or out of range.
    std::vector<JsonValue> elements() const;
    std::string text() const;
    std::uint64_t number(std::uint64_t minimum, std::uint64_t maximum) const;
    std::int64_t signedNumber() const;
    bool boolean() const;

    // Returns the choice with this name. If the value is absent or is none of the names, returns the
    // fallback, or the first choice if there is no fallback. A present value that is none of the names is
    // reported.
    template<typename Choice>
    Choice choice(std::initializer_list<std::pair<std::string_view, Choice>> choices,
                  std::optional<Choice> fallback = std::nullopt) const
    {
        std::string const found = this->isPresent() ? this->text() : std::string();
        std::string allowed;
        for (auto const &[name, choice] : choices) {
            if (name == found)
                return choice;
            allowed.append(allowed.empty() ? "\"" : " or \"").append(name).append("\"");
        }
        if (this->isText())
            this->report(allowed);
        return fallback.value_or(choices.begin()->second);
    }

    // Returns this value, serialized as a separate JSON document.
    std::string document() const;

    void report(std::string allowed) const;

    // Reports errors that another parser found in document().
    void reportNested(InputErrors const &nested) const;

private:
    friend class JsonDocument;

    JsonValue(void const *nodeInDocument, std::string pathInDocument, InputErrors *errorList)
        : node(nodeInDocument), location(std::move(pathInDocument)), errors(errorList)
    {
    }

    JsonValue find(std::string_view key) const;

    void const *node; // A value of the JSON library in the document; null if absent.
    std::string location;
    InputErrors *errors; // Of the document; never null.
};

class JsonDocument
{
public:
    // Text that is not JSON and keys that occur twice in an object are reported as errors as well.
    explicit JsonDocument(std::string const &text);

    JsonValue root();
    InputErrors const &errors() const { return *this->errorList; }

private:
    std::shared_ptr<void const> tree; // Null if the text is not JSON.
    std::unique_ptr<InputErrors> errorList; // On the heap, so that values stay valid if the document moves.
};

} // namespace almondwing
