// A configuration that operators send whole, under version numbers of their own: the highest version wins.
// The second kind of configuration beside the manifest with base versions; both are kept by the replicated
// log.

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
    std::string text; // As the operator sent it, already checked.

    friend bool operator==(ReplaceDocument const &, ReplaceDocument const &) = default;
};

struct TakeOutDomain
{
    std::string failureDomain;

    friend bool operator==(TakeOutDomain const &, TakeOutDomain const &) = default;
};

struct BringBackDomain
{
    std::string failureDomain;

    friend bool operator==(BringBackDomain const &, BringBackDomain const &) = default;
};

using DocumentChange = std::variant<ReplaceDocument, TakeOutDomain, BringBackDomain>;

enum class DomainServiceState : std::uint8_t { InService = 0, TakenOut = 1 };

struct DocumentState
{
    std::uint64_t version = 0; // 0: none was accepted yet. Never falls.
    std::shared_ptr<std::string const> text = std::make_shared<std::string const>(); // Never null.
    std::map<std::string, DomainServiceState> domains; // Those that were taken out at some time.

    friend bool operator==(DocumentState const &left, DocumentState const &right)
    {
        return left.version == right.version && *left.text == *right.text && left.domains == right.domains;
    }
};

// A version that is not higher changes nothing, whatever its text.
DocumentState applyDocumentChange(DocumentState state, DocumentChange const &change);

// Whether a change would leave the state as it is, so that it can be acknowledged from a confirmed read.
bool isNoOp(DocumentState const &state, DocumentChange const &change);

} // namespace almondwing
