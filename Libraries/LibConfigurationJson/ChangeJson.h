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

// Reports all errors at once, those of a manifest included. The operator's name and the submission time may
// be absent, as in requests that come from operators; the instance that has checked the operator's token sets
// both, whatever the text says.
std::variant<ChangeRequest, InputErrors> parseChangeRequest(std::string const &json);

std::string formatChangeOutcome(ChangeOutcome const &outcome);

std::variant<ChangeOutcome, InputErrors> parseChangeOutcome(std::string const &json);

// For codecs of values that contain an outcome.
ChangeOutcome readChangeOutcome(JsonValue const &value);

} // namespace almondwing
