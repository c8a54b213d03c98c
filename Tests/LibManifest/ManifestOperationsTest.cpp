// Tests of the changes that operators make to a manifest.

#include "ManifestGenerator.h"

#include <LibManifest/ManifestCheck.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace almondwing {

namespace {

FailureDomainState stateOf(Manifest const &manifest, std::string const &domain)
{
    return std::ranges::find(manifest.failureDomains, domain, &FailureDomain::name)->state;
}

} // namespace

class ManifestOperationsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ManifestOperationsTest);
    CPPUNIT_TEST(takingOutLastDomainMustBeForced);
    CPPUNIT_TEST(unknownNamesAreRefused);
    CPPUNIT_TEST(drainingTargetsStaySortedAndUnique);
    CPPUNIT_TEST(appliedManifestKeepsOperatorStates);
    CPPUNIT_TEST(explicitStatesReplaceOperatorStates);
    CPPUNIT_TEST(manifestWithoutDomainInServiceIsRefused);
    CPPUNIT_TEST(manifestThatBreaksFlowsIsRefused);
    CPPUNIT_TEST_SUITE_END();

    // Guards against an operator who stops all services by taking out the last failure domain by mistake.
    void takingOutLastDomainMustBeForced()
    {
        auto const one = setFailureDomainState(makeManifest(2, 1, 1), "zone-0", FailureDomainState::TakenOut,
                                               LastDomainPolicy::Refuse);
        CPPUNIT_ASSERT(one.ok());
        auto const refused =
            setFailureDomainState(*one, "zone-1", FailureDomainState::TakenOut, LastDomainPolicy::Refuse);
        CPPUNIT_ASSERT(absl::IsFailedPrecondition(refused.status()));
        auto const forced =
            setFailureDomainState(*one, "zone-1", FailureDomainState::TakenOut, LastDomainPolicy::Force);
        CPPUNIT_ASSERT(stateOf(*forced, "zone-1") == FailureDomainState::TakenOut);
        auto const back =
            setFailureDomainState(*forced, "zone-0", FailureDomainState::InService, LastDomainPolicy::Refuse);
        CPPUNIT_ASSERT(stateOf(*back, "zone-0") == FailureDomainState::InService);
    }

    // Guards against a mistyped name that is reported as a successful change.
    void unknownNamesAreRefused()
    {
        Manifest const manifest = makeManifest(2, 1, 1);
        CPPUNIT_ASSERT(absl::IsNotFound(
            setFailureDomainState(manifest, "zone-9", FailureDomainState::TakenOut, LastDomainPolicy::Force)
                .status()));
        CPPUNIT_ASSERT(!setTargetDraining(manifest, "Target 1", DrainState::Draining).ok());
    }

    // Guards against a target that is listed twice and therefore still draining after it was set to active.
    void drainingTargetsStaySortedAndUnique()
    {
        CPPUNIT_ASSERT(rc::check([] {
            Manifest manifest = makeManifest(1, 1, 1);
            for (int const number : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6))) {
                std::string const target = fmt::format("target-{}", number);
                DrainState const state = *rc::gen::element(DrainState::Draining, DrainState::Active);
                manifest = setTargetDraining(manifest, target, state).value();
                RC_ASSERT(std::ranges::binary_search(manifest.drainingTargets, target)
                          == (state == DrainState::Draining));
                RC_ASSERT(checkManifest(manifest).empty());
            }
        }));
    }

    // Guards against a pipeline run that returns a failure domain to service that operators have taken out.
    void appliedManifestKeepsOperatorStates()
    {
        CPPUNIT_ASSERT(rc::check([] {
            Manifest const current = arbitraryManifest();
            Manifest generated =
                makeManifest(static_cast<std::uint32_t>(current.failureDomains.size()) + 1, 2, 3);
            auto const applied = applyProposal(current, ProposedManifest{.manifest = generated});
            RC_ASSERT(applied.ok());
            RC_ASSERT(applied->drainingTargets == current.drainingTargets);
            for (FailureDomain const &domain : current.failureDomains)
                RC_ASSERT(stateOf(*applied, domain.name) == domain.state);
            RC_ASSERT(applied->failureDomains.back().state == FailureDomainState::InService);
            RC_ASSERT(applied->services == generated.services);
        }));
    }

    // Guards against a manifest whose explicit states are ignored.
    void explicitStatesReplaceOperatorStates()
    {
        Manifest current = makeManifest(2, 1, 1);
        current.failureDomains[0].state = FailureDomainState::TakenOut;
        current.drainingTargets = {"target-1"};
        ProposedManifest const proposal{.manifest = makeManifest(2, 1, 1),
                                        .domainsWithState = {"zone-0"},
                                        .drainingList = DrainingList::Present};
        auto const applied = applyProposal(current, proposal);
        CPPUNIT_ASSERT(stateOf(*applied, "zone-0") == FailureDomainState::InService);
        CPPUNIT_ASSERT(applied->drainingTargets.empty());
    }

    // Guards against a manifest that removes all failure domains in service, and against refusing every
    // manifest after operators have forced the last one out of service.
    void manifestWithoutDomainInServiceIsRefused()
    {
        Manifest current = makeManifest(2, 1, 1);
        current.failureDomains[0].state = FailureDomainState::TakenOut;
        ProposedManifest const onlyFirst{.manifest = makeManifest(1, 1, 1)};
        CPPUNIT_ASSERT(absl::IsFailedPrecondition(applyProposal(current, onlyFirst).status()));
        current.failureDomains[1].state = FailureDomainState::TakenOut;
        CPPUNIT_ASSERT(applyProposal(current, onlyFirst).ok());
        Manifest allOut = makeManifest(1, 1, 1);
        allOut.failureDomains[0].state = FailureDomainState::TakenOut;
        CPPUNIT_ASSERT(!applyProposal(Manifest{}, ProposedManifest::withAllStates(allOut)).ok());
    }

    // Guards against the manifest of another deployment, and against one that removes a failure domain while
    // it still has flows.
    void manifestThatBreaksFlowsIsRefused()
    {
        Manifest const current = makeManifest(3, 1, 1);
        ProposedManifest other{.manifest = makeManifest(3, 1, 1)};
        other.manifest.deployment = "tz-dar";
        CPPUNIT_ASSERT(absl::IsFailedPrecondition(applyProposal(current, other).status()));
        ProposedManifest const shorter{.manifest = makeManifest(2, 1, 1)};
        CPPUNIT_ASSERT(absl::IsFailedPrecondition(applyProposal(current, shorter).status()));
        auto const takenOut =
            setFailureDomainState(current, "zone-2", FailureDomainState::TakenOut, LastDomainPolicy::Refuse);
        CPPUNIT_ASSERT(applyProposal(*takenOut, shorter).ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManifestOperationsTest);

} // namespace almondwing
