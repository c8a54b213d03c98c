// Tests of the configuration's state machine.

#include "ChangeGenerator.h"

#include <LibConfiguration/ConfigurationStateMachine.h>
#include <LibManifest/ManifestCheck.h>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <map>
#include <thread>

namespace almondwing {

namespace {

ChangeRequest applyRequest(std::string requestId, std::string operatorName, std::uint64_t baseVersion,
                           std::uint32_t serviceCount = 2)
{
    return {.requestId = std::move(requestId),
            .operatorName = std::move(operatorName),
            .baseVersion = baseVersion,
            .change = ApplyManifest{.proposal = {.manifest = makeManifest(3, 2, serviceCount)}}};
}

ChangeRequest takeOutRequest(std::string requestId, std::string failureDomain)
{
    return {.requestId = std::move(requestId),
            .operatorName = "jana",
            .change = SetFailureDomainState{.failureDomain = std::move(failureDomain),
                                            .state = FailureDomainState::TakenOut}};
}

bool isRejected(ChangeOutcome const &outcome)
{
    return std::holds_alternative<ChangeRejected>(outcome);
}

} // namespace

class ApplyChangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ApplyChangeTest);
    CPPUNIT_TEST(conflictReportsTheAcceptedChange);
    CPPUNIT_TEST(resendGetsTheFirstOutcome);
    CPPUNIT_TEST(reusedIdIsRejected);
    CPPUNIT_TEST(onlySingleSettingChangesMayOmitBaseVersion);
    CPPUNIT_TEST(rejectionsGiveTheReasons);
    CPPUNIT_TEST(oneChangeIsAcceptedPerVersion);
    CPPUNIT_TEST(requestIdIsAppliedOnce);
    CPPUNIT_TEST(snapshotAtAnyPointGivesTheSameState);
    CPPUNIT_TEST(storedRequestsAreBounded);
    CPPUNIT_TEST(storedRejectionsAreBounded);
    CPPUNIT_TEST(readersGetConsistentStates);
    CPPUNIT_TEST(appliedChangeSharesStoredEntries);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a change that silently overwrites another operator's change.
    void conflictReportsTheAcceptedChange()
    {
        ConfigurationStateMachine machine;
        CPPUNIT_ASSERT(machine.apply(1, applyRequest("a", "jana", 0)) == ChangeOutcome(ChangeAccepted{1}));
        CPPUNIT_ASSERT(machine.apply(2, applyRequest("b", "asha", 0, 3))
                       == ChangeOutcome(ChangeConflict{1, "a", "jana"}));
        CPPUNIT_ASSERT(machine.apply(3, takeOutRequest("c", "zone-0")) == ChangeOutcome(ChangeAccepted{2}));
        // The conflict reports the change that was accepted on the same base version, even if others
        // followed.
        CPPUNIT_ASSERT(machine.apply(4, applyRequest("d", "asha", 0, 3))
                       == ChangeOutcome(ChangeConflict{2, "a", "jana"}));
        CPPUNIT_ASSERT(machine.apply(5, applyRequest("e", "asha", 99))
                       == ChangeOutcome(ChangeConflict{2, "c", "jana"}));
    }

    // Guards against a change that is applied twice, or gets another outcome, when its reply was lost.
    void resendGetsTheFirstOutcome()
    {
        ConfigurationStateMachine machine;
        machine.apply(1, applyRequest("a", "jana", 0));
        machine.apply(2, takeOutRequest("b", "zone-0"));
        ChangeRequest resend = applyRequest("a", "jana", 0);
        resend.submittedAt = 77;
        CPPUNIT_ASSERT(machine.apply(3, resend) == ChangeOutcome(ChangeAccepted{1}));
        auto const state = machine.snapshot();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, state->configuration.version);
        CPPUNIT_ASSERT(state->audit.back().kind == AuditKind::Repeated);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, state->audit.back().resultingVersion);
    }

    // Guards against a change that is reported as accepted although the accepted one was another change with
    // the same id.
    void reusedIdIsRejected()
    {
        ConfigurationStateMachine machine;
        machine.apply(1, applyRequest("a", "jana", 0));
        CPPUNIT_ASSERT(isRejected(machine.apply(2, applyRequest("a", "jana", 0, 3))));
        CPPUNIT_ASSERT(isRejected(machine.apply(3, applyRequest("a", "asha", 0))));
        CPPUNIT_ASSERT(isRejected(machine.apply(4, applyRequest("a", "jana", 1))));
        CPPUNIT_ASSERT(machine.apply(5, applyRequest("a", "jana", 0)) == ChangeOutcome(ChangeAccepted{1}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, machine.snapshot()->configuration.version);
    }

    // Guards against a manifest that replaces a version that its author has not seen.
    void onlySingleSettingChangesMayOmitBaseVersion()
    {
        ConfigurationStateMachine machine;
        CPPUNIT_ASSERT(isRejected(machine.apply(1, takeOutRequest("early", "zone-0"))));
        machine.apply(2, applyRequest("a", "jana", 0));
        ChangeRequest withoutBase = applyRequest("b", "jana", 1);
        withoutBase.baseVersion.reset();
        CPPUNIT_ASSERT(isRejected(machine.apply(3, withoutBase)));
        ChangeRequest withOldBase = takeOutRequest("c", "zone-0");
        withOldBase.baseVersion = 0;
        CPPUNIT_ASSERT(std::holds_alternative<ChangeConflict>(machine.apply(4, withOldBase)));
        CPPUNIT_ASSERT(machine.apply(5, takeOutRequest("d", "zone-0")) == ChangeOutcome(ChangeAccepted{2}));
    }

    // Guards against rejections that list only the first error, and against invalid request ids that are
    // stored.
    void rejectionsGiveTheReasons()
    {
        ConfigurationStateMachine machine;
        ChangeRequest invalid = applyRequest("a", "jana", 0);
        auto &manifest = std::get<ApplyManifest>(invalid.change).proposal.manifest;
        manifest.pools[1].limits.slots = 0;
        manifest.services[0].pool = "none";
        auto const outcome = machine.apply(1, invalid);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, std::get<ChangeRejected>(outcome).errors.size());
        CPPUNIT_ASSERT(isRejected(machine.apply(2, applyRequest(std::string(65, 'x'), "jana", 0))));
        CPPUNIT_ASSERT(isRejected(machine.apply(3, applyRequest("b", "", 0))));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, machine.snapshot()->knownRequests.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, machine.snapshot()->audit.size());
    }

    // Guards against versions that repeat, decrease or skip, and against two changes that are accepted on the
    // same base version.
    void oneChangeIsAcceptedPerVersion()
    {
        CPPUNIT_ASSERT(rc::check([] {
            ConfigurationState state;
            std::uint64_t index = 0;
            for (ChangeRequest const &request : arbitraryLog()) {
                Configuration const before = state.configuration;
                bool const isKnown =
                    std::ranges::find(state.knownRequests, request.requestId, &KnownRequest::requestId)
                    != state.knownRequests.end();
                AppliedChange applied = applyChange(std::move(state), ++index, request);
                state = std::move(applied.state);
                auto const *const accepted = std::get_if<ChangeAccepted>(&applied.outcome);
                if (accepted == nullptr || isKnown) {
                    RC_ASSERT(state.configuration == before);
                } else {
                    RC_ASSERT(accepted->version == before.version + 1);
                    RC_ASSERT(state.configuration.version == accepted->version);
                    RC_ASSERT(!request.baseVersion || *request.baseVersion == before.version);
                    RC_ASSERT(checkManifest(state.configuration.manifest).empty());
                }
                if (auto const *const conflict = std::get_if<ChangeConflict>(&applied.outcome);
                    conflict != nullptr && !isKnown) {
                    RC_ASSERT(conflict->currentVersion == before.version);
                    RC_ASSERT(request.baseVersion != before.version);
                    RC_ASSERT(before.version == 0 || !conflict->winningRequestId.empty());
                }
                RC_ASSERT(state.audit.back().index == index);
                RC_ASSERT(state.audit.back().outcome == applied.outcome);
            }
        }));
    }

    // Guards against a request that is applied twice, or whose resends get different outcomes.
    void requestIdIsAppliedOnce()
    {
        CPPUNIT_ASSERT(rc::check([] {
            std::map<std::string, ChangeOutcome> firstOutcomes;
            std::map<std::uint64_t, std::string> acceptedRequestIds;
            for (AuditEntry const &entry : applyLog(arbitraryLog()).audit) {
                bool const isFirst = firstOutcomes.emplace(entry.requestId, entry.outcome).second;
                RC_ASSERT(isFirst == (entry.kind == AuditKind::Decided));
                if (entry.kind == AuditKind::Repeated)
                    RC_ASSERT(entry.outcome == firstOutcomes.at(entry.requestId));
                if (entry.kind == AuditKind::IdReused)
                    RC_ASSERT(isRejected(entry.outcome));
                auto const *const accepted = std::get_if<ChangeAccepted>(&entry.outcome);
                if (accepted != nullptr && isFirst)
                    RC_ASSERT(acceptedRequestIds.emplace(accepted->version, entry.requestId).second);
            }
        }));
    }

    // Guards against a replica that diverges from the others because it started from a snapshot, applied an
    // entry twice, or restored an older snapshot.
    void snapshotAtAnyPointGivesTheSameState()
    {
        CPPUNIT_ASSERT(rc::check([] {
            auto const log = arbitraryLog();
            ConfigurationState const expected = applyLog(log);
            auto const snapshotLength = *rc::gen::inRange<std::size_t>(0, log.size() + 1);
            auto const replayStart = *rc::gen::inRange<std::size_t>(0, snapshotLength + 1);
            ConfigurationState const snapshot =
                applyLog({log.begin(), log.begin() + static_cast<std::ptrdiff_t>(snapshotLength)});
            ConfigurationStateMachine machine;
            RC_ASSERT((machine.restore(snapshot) == RestoreOutcome::Restored) == (snapshotLength > 0));
            for (std::size_t index = replayStart; index < log.size(); ++index)
                machine.apply(index + 1, log[index]);
            RC_ASSERT(*machine.snapshot() == expected);
            RC_ASSERT(machine.restore(snapshot) == RestoreOutcome::NotNewer);
            RC_ASSERT(*machine.snapshot() == expected);
        }));
    }

    // Guards against memory that grows with the total number of changes.
    void storedRequestsAreBounded()
    {
        constexpr std::uint64_t excess = 20;
        ConfigurationState state = applyChange({}, 1, applyRequest("first", "jana", 0)).state;
        for (std::uint64_t index = 2; index <= maxKnownRequests + excess; ++index)
            state = applyChange(std::move(state), index, takeOutRequest(fmt::format("r{}", index), "zone-0"))
                        .state;
        CPPUNIT_ASSERT_EQUAL(maxKnownRequests, state.knownRequests.size());
        CPPUNIT_ASSERT_EQUAL(maxAuditEntries, state.audit.size());
        CPPUNIT_ASSERT_EQUAL(excess + 1, state.audit.front().index);
        // The change that was accepted on a dropped base version is no longer known; the last accepted one is
        // reported instead.
        auto const conflict = std::get<ChangeConflict>(
            applyChange(state, state.lastIndex + 1, applyRequest("late", "asha", 0)).outcome);
        CPPUNIT_ASSERT_EQUAL(state.lastAccepted.requestId, conflict.winningRequestId);
    }

    // Guards against large rejected requests that fill the memory of every control instance.
    void storedRejectionsAreBounded()
    {
        ChangeRequest invalid = applyRequest("a", "jana", 0);
        for (Service &service : std::get<ApplyManifest>(invalid.change).proposal.manifest.services)
            service.pool = service.name = std::string(5000, 'X');
        for (std::uint32_t count = 0; count < 20; ++count)
            std::get<ApplyManifest>(invalid.change).proposal.manifest.drainingTargets.emplace_back(5000, 'X');
        AppliedChange const applied = applyChange({}, 1, invalid);
        auto const &errors = std::get<ChangeRejected>(applied.outcome).errors;
        CPPUNIT_ASSERT_EQUAL(maxStoredErrors + 1, errors.size());
        for (std::string const &error : errors)
            CPPUNIT_ASSERT(error.size() <= maxStoredErrorLength);
        ChangeRequest const withLongNames = takeOutRequest(std::string(5000, 'X'), std::string(5000, 'X'));
        AuditEntry const entry = applyChange(applied.state, 2, withLongNames).state.audit.back();
        CPPUNIT_ASSERT(entry.requestId.size() + entry.description.size() < 300);
    }

    // Guards against a reader of the audit trail on another thread that gets a partially applied state.
    void readersGetConsistentStates()
    {
        ConfigurationStateMachine machine;
        constexpr std::uint64_t changes = 200;
        constexpr int reads = 2000;
        std::atomic<int> inconsistentReads = 0;
        {
            std::jthread const reader([&] {
                for (int count = 0; count < reads; ++count) {
                    auto const state = machine.snapshot();
                    inconsistentReads += state->lastIndex == state->audit.size() ? 0 : 1;
                }
            });
            machine.apply(1, applyRequest("first", "jana", 0));
            for (std::uint64_t index = 2; index <= changes; ++index)
                machine.apply(index, takeOutRequest(fmt::format("r{}", index), "zone-0"));
        }
        CPPUNIT_ASSERT_EQUAL(0, inconsistentReads.load());
    }

    // Guards against a start that copies the audit trail and the known requests for each replayed log entry.
    void appliedChangeSharesStoredEntries()
    {
        ConfigurationStateMachine machine;
        machine.apply(1, applyRequest("first", "jana", 0));
        auto const before = machine.snapshot();
        machine.apply(2, takeOutRequest("second", "zone-0"));
        auto const after = machine.snapshot();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, after->audit.size());
        CPPUNIT_ASSERT(&before->audit.front() == &after->audit.front());
        CPPUNIT_ASSERT(&before->knownRequests.front() == &after->knownRequests.front());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ApplyChangeTest);

} // namespace almondwing
