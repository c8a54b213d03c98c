// Implements the state machine of configuration documents.

#include <LibConfiguration/DocumentState.h>

#include <utility>

namespace almondwing {

namespace {

void apply(DocumentState &state, ReplaceDocument const &change)
{
    if (change.version <= state.version)
        return;
    state.version = change.version;
    state.text = std::make_shared<std::string const>(change.text);
}

void apply(DocumentState &state, TakeOutFailureDomain const &change)
{
    state.domains[change.failureDomain] = DomainServiceState::TakenOut;
}

void apply(DocumentState &state, BringBackFailureDomain const &change)
{
    auto const domain = state.domains.find(change.failureDomain);
    if (domain != state.domains.end())
        domain->second = DomainServiceState::InService;
}

} // namespace

DocumentState applyDocumentChange(DocumentState state, DocumentChange const &change)
{
    std::visit([&state](auto const &alternative) { apply(state, alternative); }, change);
    return state;
}

RevisedDocument applyDocumentEntry(RevisedDocument document, std::uint64_t index,
                                   DocumentChange const &change)
{
    if (isNoOp(document.state, change))
        return document;
    return RevisedDocument{.state = applyDocumentChange(std::move(document.state), change),
                           .revision = index};
}

bool isNoOp(DocumentState const &state, DocumentChange const &change)
{
    if (auto const *const replace = std::get_if<ReplaceDocument>(&change))
        return replace->version <= state.version;
    return applyDocumentChange(state, change) == state;
}

} // namespace almondwing
