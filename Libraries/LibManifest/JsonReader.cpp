// Reads JSON with nlohmann/json.

#include <LibManifest/JsonReader.h>

#include <LibCore/JsonNesting.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace almondwing {

namespace {

using Json = nlohmann::json;

Json const &jsonOf(void const *node)
{
    return *static_cast<Json const *>(node);
}

std::string serialize(Json const &value)
{
    return value.dump(-1, ' ', true, Json::error_handler_t::replace);
}

// Several times the depth of any valid document. The paths of nested values take memory that grows with the
// square of the depth.
constexpr std::size_t maxNestingDepth = 32;

// Finds keys that occur twice in an object. The JSON library silently keeps only the last of them, so that a
// change by an operator could be lost.
class DuplicateKeyFinder
{
public:
    explicit DuplicateKeyFinder(InputErrors &errorList) : errors(errorList) { }

    void handleEvent(Json::parse_event_t event, Json const &parsed)
    {
        switch (event) {
        case Json::parse_event_t::object_start:
        case Json::parse_event_t::array_start:
            this->frames.push_back(Frame{.path = this->nextValuePath()});
            break;
        case Json::parse_event_t::key:
            this->handleKey(parsed.get<std::string>());
            break;
        case Json::parse_event_t::object_end:
        case Json::parse_event_t::array_end:
            this->frames.pop_back();
            this->advanceIndex();
            break;
        case Json::parse_event_t::value:
            this->advanceIndex();
            break;
        }
    }

private:
    struct Frame
    {
        std::string path;
        std::set<std::string> keys = {};
        std::string key = {}; // Of the next value; empty in arrays.
        std::size_t index = 0; // Of the next value; used in arrays.
    };

    std::string nextValuePath() const
    {
        if (this->frames.empty())
            return "";
        Frame const &frame = this->frames.back();
        return frame.keys.empty() ? fmt::format("{}[{}]", frame.path, frame.index)
                                  : memberPath(frame.path, frame.key);
    }

    void handleKey(std::string const &key)
    {
        Frame &frame = this->frames.back();
        frame.key = key;
        if (!frame.keys.insert(key).second)
            addError(
                this->errors,
                {.path = memberPath(frame.path, key), .value = "a second value", .allowed = "each key once"});
    }

    void advanceIndex()
    {
        if (!this->frames.empty())
            ++this->frames.back().index;
    }

    InputErrors &errors;
    std::vector<Frame> frames; // Open objects and arrays, outermost first.
};

} // namespace

void JsonValue::report(std::string allowed) const
{
    addError(*this->errors,
             {.path = this->location,
              .value = this->node == nullptr ? "(absent)" : abbreviated(serialize(jsonOf(this->node))),
              .allowed = std::move(allowed)});
}

void JsonValue::reportNested(InputErrors const &nested) const
{
    for (InputError error : nested) {
        error.path = error.path.empty() ? this->location : fmt::format("{}.{}", this->location, error.path);
        addError(*this->errors, std::move(error));
    }
}

void JsonValue::allowKeys(std::initializer_list<std::string_view> keys) const
{
    if (!this->isPresent())
        return;
    Json const &json = jsonOf(this->node);
    std::string const allowed = fmt::format("an object with the keys {}", fmt::join(keys, ", "));
    if (!this->isObject()) {
        this->report(allowed);
        return;
    }
    for (auto const &[key, value] : json.items()) {
        if (std::ranges::find(keys, std::string_view(key)) == keys.end())
            JsonValue(&value, memberPath(this->location, key), this->errors).report(allowed);
    }
}

JsonValue JsonValue::find(std::string_view key) const
{
    JsonValue absent(nullptr, memberPath(this->location, key), this->errors);
    if (!this->isObject())
        return absent;
    Json const &json = jsonOf(this->node);
    auto const found = json.find(std::string(key));
    return found == json.end() ? absent : JsonValue(&*found, absent.location, this->errors);
}

JsonValue JsonValue::optionalMember(std::string_view key) const
{
    return this->find(key);
}

JsonValue JsonValue::member(std::string_view key) const
{
    JsonValue found = this->find(key);
    // An absent parent, or one of the wrong type, was already reported; errors for its members add nothing.
    if (!found.isPresent() && this->isObject())
        found.report("a value");
    return found;
}

std::vector<JsonValue> JsonValue::elements() const
{
    std::vector<JsonValue> result;
    if (!this->isPresent())
        return result;
    Json const &json = jsonOf(this->node);
    if (!json.is_array()) {
        this->report("a list");
        return result;
    }
    result.reserve(json.size());
    for (Json const &element : json)
        result.push_back(
            JsonValue(&element, fmt::format("{}[{}]", this->location, result.size()), this->errors));
    return result;
}

bool JsonValue::isText() const
{
    return this->isPresent() && jsonOf(this->node).is_string();
}

bool JsonValue::isObject() const
{
    return this->isPresent() && jsonOf(this->node).is_object();
}

std::string JsonValue::text() const
{
    if (!this->isPresent())
        return "";
    if (this->isText())
        return jsonOf(this->node).get<std::string>();
    this->report("a string");
    return "";
}

std::uint64_t JsonValue::number(std::uint64_t minimum, std::uint64_t maximum) const
{
    if (!this->isPresent())
        return minimum;
    Json const &json = jsonOf(this->node);
    if (json.is_number_unsigned()) {
        auto const number = json.get<std::uint64_t>();
        if (number >= minimum && number <= maximum)
            return number;
    }
    this->report(fmt::format("a whole number from {} to {}", minimum, maximum));
    return minimum;
}

std::int64_t JsonValue::signedNumber() const
{
    if (!this->isPresent())
        return 0;
    Json const &json = jsonOf(this->node);
    // Unsigned numbers above the signed range would wrap around.
    if (json.is_number_integer() && (!json.is_number_unsigned() || json.get<std::uint64_t>() <= INT64_MAX))
        return json.get<std::int64_t>();
    this->report("a signed 64-bit whole number");
    return 0;
}

bool JsonValue::boolean() const
{
    if (!this->isPresent())
        return false;
    if (jsonOf(this->node).is_boolean())
        return jsonOf(this->node).get<bool>();
    this->report("true or false");
    return false;
}

std::string JsonValue::document() const
{
    return this->isPresent() ? jsonOf(this->node).dump(-1, ' ', false, Json::error_handler_t::replace) : "";
}

JsonDocument::JsonDocument(std::string const &text) : errorList(std::make_unique<InputErrors>())
{
    if (jsonNestingDepth(text) > maxNestingDepth) {
        addError(
            *this->errorList,
            {.path = "",
             .value = quotedValue(text),
             .allowed = fmt::format("lists and objects nested at most {} levels deep", maxNestingDepth)});
        return;
    }
    DuplicateKeyFinder finder(*this->errorList);
    auto const callback = [&finder](int, Json::parse_event_t event, Json &parsed) {
        finder.handleEvent(event, parsed);
        return true;
    };
    try {
        this->tree = std::make_shared<Json const>(Json::parse(text, callback));
    } catch (Json::exception const &error) {
        // The message of the library contains parts of the input, so it is escaped as well.
        constexpr std::size_t maxMessageLength = 200;
        addError(*this->errorList,
                 {.path = "",
                  .value = quotedValue(text),
                  .allowed = fmt::format("JSON ({})", quotedValue(error.what(), maxMessageLength))});
    }
}

JsonValue JsonDocument::root()
{
    return {this->tree.get(), "", this->errorList.get()};
}

} // namespace almondwing
