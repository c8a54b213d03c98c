// The JSON form of change requests and their outcomes, for operators and for the replicated log.

#pragma once

#include <LibConfiguration/ChangeOutcome.h>
#include <LibConfiguration/ChangeRequest.h>
#include <LibManifest/InputError.h>
#include <LibManifest/JsonReader.h>

#include <string>
#include <variant>

namespace almondwing {

std::string formatChangeRequest(ChangeRequest const &request);

// Reports all errors at once, including those of a manifest. The operator's name and the submission time may
// be absent, as in requests from operators; the instance that verifies the operator's token sets both and
// overrides values in the text.
std::variant<ChangeRequest, InputErrors> parseChangeRequest(std::string const &json);

std::string formatChangeOutcome(ChangeOutcome const &outcome);

std::variant<ChangeOutcome, InputErrors> parseChangeOutcome(std::string const &json);

// Reads an outcome that is part of a larger value.
ChangeOutcome readChangeOutcome(JsonValue const &value);

} // namespace almondwing
