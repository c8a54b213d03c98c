// The state machine of almondwing-node's configuration, which operators submit as a complete document with a
// version number of their own. The document with the highest version is in effect. The configuration of
// almondwingd is the manifest with base versions; see ApplyChange.h. The replicated log of each program holds
// changes of its own kind of configuration.

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

// The state of a failure domain; FailureDomainState of LibManifest is that of the manifest.
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

// A state with the index of the last log entry that changed it, or of a snapshot after that entry. Of two
// such values of one log, the one with the higher revision is at least as new; equal revisions have equal
// states. This also holds for changes that cancel out.
struct RevisedDocument
{
    DocumentState state;
    std::uint64_t revision = 0;

    friend bool operator==(RevisedDocument const &, RevisedDocument const &) = default;
};

// An entry that changes nothing leaves the revision as it is.
RevisedDocument applyDocumentEntry(RevisedDocument document, std::uint64_t index,
                                   DocumentChange const &change);

// Whether a change would leave the state unchanged. It then needs no log entry and can be acknowledged once a
// majority has confirmed that this state is current.
bool isNoOp(DocumentState const &state, DocumentChange const &change);

} // namespace almondwing
