// Tests of the JSON codec of changes, outcomes, audit entries and states of almondwingd.

#include "../LibConfiguration/ChangeGenerator.h"

#include <LibConfigurationJson/ChangeJson.h>
#include <LibConfigurationJson/StateJson.h>

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

namespace {

// Returns the paths of all errors, separated by spaces.
template<typename Value>
std::string errorPaths(std::variant<Value, InputErrors> const &result)
{
    std::string paths;
    if (auto const *const errors = std::get_if<InputErrors>(&result)) {
        for (InputError const &error : *errors)
            paths.append(paths.empty() ? "" : " ").append(error.path);
    }
    return paths;
}

} // namespace

class ConfigurationJsonTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationJsonTest);
    CPPUNIT_TEST(requestsRoundTrip);
    CPPUNIT_TEST(statesRoundTrip);
    CPPUNIT_TEST(allErrorsOfARequestAreReported);
    CPPUNIT_TEST(malformedStatesAreRejected);
    CPPUNIT_TEST(brokenInvariantsAreRejected);
    CPPUNIT_TEST(mutatedStatesAreAcceptedOrReported);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a change that replicas decode from the log differently from what the operator sent.
    void requestsRoundTrip()
    {
        CPPUNIT_ASSERT(rc::check([] {
            ChangeRequest request = arbitraryRequest();
            if (auto *const apply = std::get_if<ApplyManifest>(&request.change))
                apply->proposal = *rc::gen::arbitrary<bool>()
                    ? ProposedManifest::withAllStates(arbitraryManifest())
                    : ProposedManifest{.manifest = makeManifest(2, 2, 3)};
            auto const parsed = parseChangeRequest(formatChangeRequest(request));
            RC_ASSERT(std::holds_alternative<ChangeRequest>(parsed));
            RC_ASSERT(std::get<ChangeRequest>(parsed) == request);
        }));
    }

    // Guards against a snapshot, an audit response or a fetched configuration that differs from its source.
    void statesRoundTrip()
    {
        CPPUNIT_ASSERT(rc::check([] {
            ConfigurationState const state = applyLog(arbitraryLog());
            RC_ASSERT(std::get<ConfigurationState>(parseConfigurationState(formatConfigurationState(state)))
                      == state);
            RC_ASSERT(std::get<Configuration>(parseConfiguration(formatConfiguration(state.configuration)))
                      == state.configuration);
            for (AuditEntry const &entry : state.audit) {
                RC_ASSERT(std::get<AuditEntry>(parseAuditEntry(formatAuditEntry(entry))) == entry);
                RC_ASSERT(std::get<ChangeOutcome>(parseChangeOutcome(formatChangeOutcome(entry.outcome)))
                          == entry.outcome);
            }
        }));
        ConfigurationState const empty;
        CPPUNIT_ASSERT(std::get<ConfigurationState>(parseConfigurationState(formatConfigurationState(empty)))
                       == empty);
    }

    // Guards against operators who have to correct a request one error at a time.
    void allErrorsOfARequestAreReported()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("extra submittedAt change.target change.state requestId baseVersion"),
            errorPaths(
                parseChangeRequest(R"({"requestId": "a b", "extra": 1, "submittedAt": 1.5, "baseVersion": -1,
                "change": {"kind": "set-target-draining", "state": "gone", "target": 7}})")));
        CPPUNIT_ASSERT_EQUAL(std::string("change.manifest.pools change.manifest.services[0].address"),
                             errorPaths(parseChangeRequest(
                                 R"({"requestId": "a", "change": {"kind": "apply-manifest", "manifest":
                {"deployment": "a", "failureDomains": [{"name": "z", "region": "r"}], "pools": 1,
                 "services": [{"name": "s", "address": "x", "pool": "p"}]}}})")));
        CPPUNIT_ASSERT_EQUAL(
            std::string("change.kind"),
            errorPaths(parseChangeRequest(R"({"requestId": "a", "change": {"kind": "reboot"}})")));
        for (auto const *const json :
             {"", "[]", "{}", R"({"requestId": "a"})", R"({"requestId": "a", "change": {"kind": "reboot"}})",
              R"({"requestId": "a", "change": 5})"})
            CPPUNIT_ASSERT_MESSAGE(json, std::holds_alternative<InputErrors>(parseChangeRequest(json)));
    }

    // Guards against a damaged snapshot that is partly restored.
    void malformedStatesAreRejected()
    {
        for (auto const *const json : {"", "{}", R"({"version": 1})", R"({"version": 0, "manifest": {}})",
                                       R"({"version": -1})", R"({"version": 1, "manifest": {}})"}) {
            CPPUNIT_ASSERT_MESSAGE(json, std::holds_alternative<InputErrors>(parseConfiguration(json)));
            CPPUNIT_ASSERT_MESSAGE(json, std::holds_alternative<InputErrors>(parseConfigurationState(json)));
            CPPUNIT_ASSERT_MESSAGE(json, std::holds_alternative<InputErrors>(parseAuditEntry(json)));
            CPPUNIT_ASSERT_MESSAGE(json, std::holds_alternative<InputErrors>(parseChangeOutcome(json)));
        }
    }

    // Guards against accepting a snapshot that is truncated or inconsistent.
    void brokenInvariantsAreRejected()
    {
        CPPUNIT_ASSERT(rc::check([] {
            ConfigurationState const state = applyLog(arbitraryLog());
            std::string const text = formatConfigurationState(state);
            auto const length = *rc::gen::inRange<std::size_t>(0, text.size());
            RC_ASSERT(std::holds_alternative<InputErrors>(parseConfigurationState(text.substr(0, length))));
            RC_ASSERT(std::holds_alternative<InputErrors>(parseConfigurationState(text + "{}\n")));
            ConfigurationState repeatedId = state;
            repeatedId.knownRequests.pushBack(state.knownRequests.front());
            ConfigurationState repeatedIndex = state;
            repeatedIndex.audit.pushBack(state.audit.back());
            ConfigurationState oldIndex = state;
            oldIndex.lastIndex = 0;
            for (ConfigurationState const &broken : {repeatedId, repeatedIndex, oldIndex})
                RC_ASSERT(std::holds_alternative<InputErrors>(
                    parseConfigurationState(formatConfigurationState(broken))));
        }));
    }

    // Guards against a crash caused by corrupted data from a peer or a disk.
    void mutatedStatesAreAcceptedOrReported()
    {
        CPPUNIT_ASSERT(rc::check([] {
            auto const log = arbitraryLog();
            std::string state = formatConfigurationState(applyLog(log));
            std::string request = formatChangeRequest(log.back());
            for (std::string *const text : {&state, &request})
                text->replace(*rc::gen::inRange<std::size_t>(0, text->size()),
                              *rc::gen::inRange<std::size_t>(0, 3),
                              *rc::gen::element<std::string>("", "\"", "}", "0", "-", "\xff", "[", "null"));
            auto const parsedState = parseConfigurationState(state);
            if (auto const *const errors = std::get_if<InputErrors>(&parsedState))
                RC_ASSERT(!errors->empty());
            auto const parsedRequest = parseChangeRequest(request);
            if (auto const *const errors = std::get_if<InputErrors>(&parsedRequest))
                RC_ASSERT(!errors->empty());
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationJsonTest);

} // namespace almondwing
