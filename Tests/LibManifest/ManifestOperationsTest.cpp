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
    CPPUNIT_TEST(lastDomainInServiceIsTakenOutOnlyByForce);
    CPPUNIT_TEST(unknownNamesAreRefused);
    CPPUNIT_TEST(drainingTargetsStaySortedAndUnique);
    CPPUNIT_TEST(operatorStatesSurviveAnAppliedManifest);
    CPPUNIT_TEST(namedStatesReplaceOperatorStates);
    CPPUNIT_TEST(manifestWithoutDomainInServiceIsRefused);
    CPPUNIT_TEST(manifestThatBreaksFlowsIsRefused);
    CPPUNIT_TEST_SUITE_END();

    // Guards against an operator who stops all services by taking out one failure domain too many.
    void lastDomainInServiceIsTakenOutOnlyByForce()
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

    // Guards against a mistyped name that is answered as if it had taken effect.
    void unknownNamesAreRefused()
    {
        Manifest const manifest = makeManifest(2, 1, 1);
        CPPUNIT_ASSERT(absl::IsNotFound(
            setFailureDomainState(manifest, "zone-9", FailureDomainState::TakenOut, LastDomainPolicy::Force)
                .status()));
        CPPUNIT_ASSERT(!setTargetDraining(manifest, "Target 1", DrainState::Draining).ok());
    }

    // Guards against a target that stays draining after it was brought back, because it was listed twice.
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

    // Guards against a nightly pipeline run that brings back a failure domain that operators took out.
    void operatorStatesSurviveAnAppliedManifest()
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
    void namedStatesReplaceOperatorStates()
    {
        Manifest current = makeManifest(2, 1, 1);
        current.failureDomains[0].state = FailureDomainState::TakenOut;
        current.drainingTargets = {"target-1"};
        ProposedManifest const named{.manifest = makeManifest(2, 1, 1),
                                     .domainsWithState = {"zone-0"},
                                     .drainingList = DrainingList::Named};
        auto const applied = applyProposal(current, named);
        CPPUNIT_ASSERT(stateOf(*applied, "zone-0") == FailureDomainState::InService);
        CPPUNIT_ASSERT(applied->drainingTargets.empty());
    }

    // Guards against a manifest that drops all failure domains still in service, and against refusing every
    // manifest after operators forced the last one out.
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

    // Guards against the manifest of another deployment, and against one that drops a failure domain whose
    // flows are still up.
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
