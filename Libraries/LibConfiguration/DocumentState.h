// The state machine of a configuration that operators submit as a complete document with a version number of
// their own. The document with the highest version is in effect. The other kind of configuration is the
// manifest with base versions; both are stored in the replicated log.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace almondwing {

struct ReplaceDocument
{
    std::uint64_t version = 0;
    std::string text; // As the operator sent it; already validated.

    friend bool operator==(ReplaceDocument const &, ReplaceDocument const &) = default;
};

struct TakeOutFailureDomain
{
    std::string failureDomain;

    friend bool operator==(TakeOutFailureDomain const &, TakeOutFailureDomain const &) = default;
};

struct BringBackFailureDomain
{
    std::string failureDomain;

    friend bool operator==(BringBackFailureDomain const &, BringBackFailureDomain const &) = default;
};

using DocumentChange = std::variant<ReplaceDocument, TakeOutFailureDomain, BringBackFailureDomain>;

enum class DomainServiceState : std::uint8_t { InService = 0, TakenOut = 1 };

struct DocumentState
{
    std::uint64_t version = 0; // 0 until a document was accepted; never decreases.
    std::shared_ptr<std::string const> text = std::make_shared<std::string const>(); // Never null.
    std::map<std::string, DomainServiceState> domains; // All domains that were ever taken out.

    friend bool operator==(DocumentState const &left, DocumentState const &right)
    {
        return left.version == right.version && *left.text == *right.text && left.domains == right.domains;
    }
};

// A document whose version is not higher than the current one changes nothing, whatever its text.
DocumentState applyDocumentChange(DocumentState state, DocumentChange const &change);

// Whether a change would leave the state unchanged, so that it can be acknowledged after a confirmed read
// without a log entry.
bool isNoOp(DocumentState const &state, DocumentChange const &change);

} // namespace almondwing
