// Tests of reading, checking and writing manifests.

#include "ManifestGenerator.h"

#include <LibManifest/ManifestCheck.h>
#include <LibManifest/ManifestJson.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <fstream>
#include <iterator>

namespace almondwing {

namespace {

std::string readFile(std::string const &path)
{
    std::ifstream file(path);
    CPPUNIT_ASSERT_MESSAGE(path, file.good());
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string joined(InputErrors const &errors)
{
    std::string text;
    for (InputError const &error : errors)
        text.append(error.toString()).append("\n");
    return text;
}

Manifest parsedManifest(std::string const &json)
{
    ManifestResult const result = parseManifest(json);
    if (auto const *const errors = std::get_if<InputErrors>(&result))
        CPPUNIT_FAIL(joined(*errors));
    return std::get<ProposedManifest>(result).manifest;
}

std::vector<std::string> errorPaths(std::string const &json)
{
    ManifestResult const result = parseManifest(json);
    std::vector<std::string> paths;
    if (auto const *const errors = std::get_if<InputErrors>(&result)) {
        for (InputError const &error : *errors) {
            CPPUNIT_ASSERT(!error.value.empty() && !error.allowed.empty());
            paths.push_back(error.path);
        }
    }
    return paths;
}

std::string replaced(std::string text, std::string const &from, std::string const &to)
{
    std::size_t const position = text.find(from);
    CPPUNIT_ASSERT_MESSAGE(from, position != std::string::npos);
    return text.replace(position, from.size(), to);
}

void assertErrorPaths(std::vector<std::string> const &expected, std::string const &json)
{
    CPPUNIT_ASSERT_EQUAL(fmt::format("{}", fmt::join(expected, " ")),
                         fmt::format("{}", fmt::join(errorPaths(json), " ")));
}

std::string example()
{
    return readFile(std::string(EXAMPLES_FOLDER) + "/sk-central.json");
}

} // namespace

class ManifestJsonTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ManifestJsonTest);
    CPPUNIT_TEST(exampleDeploymentsAreValid);
    CPPUNIT_TEST(formattedManifestsParseBack);
    CPPUNIT_TEST(formattedProposalsParseBack);
    CPPUNIT_TEST(allErrorsAreReportedAtOnce);
    CPPUNIT_TEST(eachRuleIsChecked);
    CPPUNIT_TEST(duplicateKeysAreReported);
    CPPUNIT_TEST(hostileTextIsEscapedInMessages);
    CPPUNIT_TEST(hostileSizesAreBounded);
    CPPUNIT_TEST(mutatedTextIsAcceptedOrReported);
    CPPUNIT_TEST_SUITE_END();

    // Guards against files in docs/examples that the parser rejects, or that no longer describe the
    // deployments in docs/design.md.
    void exampleDeploymentsAreValid()
    {
        Manifest const central = parsedManifest(example());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, central.failureDomains.size());
        CPPUNIT_ASSERT_EQUAL(std::string("cab-link"), central.services.front().name);
        Manifest const dar = parsedManifest(readFile(std::string(EXAMPLES_FOLDER) + "/tz-dar.json"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, dar.failureDomains.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, dar.services.size());
        for (TargetPool const &pool : dar.pools) {
            CPPUNIT_ASSERT((pool.limits == TargetLimits{.slots = 2, .connections = 2000}));
            CPPUNIT_ASSERT(pool.loadReporting == LoadReporting::ReportsLoad);
        }
    }

    // Guards against a manifest that changes when it is written to the log or sent to another instance.
    void formattedManifestsParseBack()
    {
        CPPUNIT_ASSERT(rc::check([] {
            Manifest const manifest = arbitraryManifest();
            ManifestResult const result = parseManifest(formatManifest(manifest));
            RC_ASSERT(std::holds_alternative<ProposedManifest>(result));
            RC_ASSERT(std::get<ProposedManifest>(result) == ProposedManifest::withAllStates(manifest));
        }));
    }

    // Guards against a proposal that, after it was written to the log and read back, specifies states that it
    // had left to the operators.
    void formattedProposalsParseBack()
    {
        CPPUNIT_ASSERT(rc::check([] {
            ProposedManifest proposal{.manifest = arbitraryManifest()};
            for (FailureDomain &domain : proposal.manifest.failureDomains) {
                if (*rc::gen::arbitrary<bool>())
                    proposal.domainsWithState.push_back(domain.name);
                else
                    domain.state = FailureDomainState::InService;
            }
            proposal.drainingList = *rc::gen::element(DrainingList::Absent, DrainingList::Present);
            if (proposal.drainingList == DrainingList::Absent)
                proposal.manifest.drainingTargets.clear();
            ManifestResult const result = parseManifest(formatProposedManifest(proposal));
            RC_ASSERT(std::get<ProposedManifest>(result) == proposal);
        }));
    }

    // Guards against reporting only the first error, so that operators need one run for each error.
    void allErrorsAreReportedAtOnce()
    {
        assertErrorPaths({"extra", "failureDomains[1].region", "pools[0].slots", "pools[0].reportsLoad",
                          "services[0].name", "services[1].address", "deployment", "services[1].pool",
                          "services[2].name"},
                         R"({"deployment": "SK", "extra": 1,
                        "failureDomains": [{"name": "a", "region": "sk"}, {"name": "b"}],
                        "pools": [{"name": "p", "slots": 0, "connections": 5, "reportsLoad": "yes"}],
                        "services": [{"name": 7, "address": "127.0.0.1:80", "pool": "p"},
                                     {"name": "s", "address": "localhost:80", "pool": "q"},
                                     {"name": "s", "address": "127.0.0.1:81", "pool": "p"}]})");
    }

    // Guards against a rule that is no longer checked; each case breaks one rule of a valid manifest.
    void eachRuleIsChecked()
    {
        struct Case
        {
            std::string from;
            std::string to;
            std::string path;
        };
        std::string const first = R"({"name": "zvolen", "region": "sk"})";
        for (Case const &rule : std::vector<Case>{
                 {first, "7", "failureDomains[0]"},
                 {first, R"({"name": "banska", "region": "sk"})", "failureDomains[1].name"},
                 {first, R"({"name": "Zvolen", "region": "sk"})", "failureDomains[0].name"},
                 {first, R"({"name": "zvolen", "region": ""})", "failureDomains[0].region"},
                 {first, R"({"name": "zvolen", "region": "sk", "state": "out"})", "failureDomains[0].state"},
                 {first, R"({"name": "zvolen", "region": "sk", "State": "taken-out"})",
                  "failureDomains[0].State"},
                 {R"("slots": 2)", R"("slots": 0)", "pools[0].slots"},
                 {R"("slots": 2)", R"("slots": -1)", "pools[0].slots"},
                 {R"("slots": 2)", R"("slots": 2.5)", "pools[0].slots"},
                 {R"("slots": 2)", R"("slots": 10001)", "pools[0].slots"},
                 {R"("connections": 2000)", R"("connections": 0)", "pools[0].connections"},
                 {R"("connections": 2000)", R"("connections": 4294967297)", "pools[0].connections"},
                 {R"("reportsLoad": true)", R"("reportsLoad": 1)", "pools[0].reportsLoad"},
                 {"127.0.0.1:7102", "127.0.0.1:7101", "services[1].address"},
                 {"127.0.0.1:7102", "127.0.0.1:0", "services[1].address"},
                 {"127.0.0.1:7102", "0.0.0.0:80", "services[1].address"},
                 {R"("pool": "manifest-desk")", R"("pool": "desk")", "services[1].pool"},
                 {R"("deployment": "sk-central",)", "", "deployment"},
                 {R"("deployment": "sk-central",)", R"("deployment": "a", "drainingTargets": 3,)",
                  "drainingTargets"},
                 {R"("deployment": "sk-central",)", R"("deployment": "a", "drainingTargets": ["x", "x"],)",
                  "drainingTargets[1]"}})
            assertErrorPaths({rule.path}, replaced(example(), rule.from, rule.to));
        assertErrorPaths(
            {"pools[1].name", "services[1].pool"},
            replaced(example(), R"({"name": "manifest-desk", "slots")", R"({"name": "cab-link", "slots")"));
        assertErrorPaths({"failureDomains", "pools", "services"},
                         R"({"deployment": "a", "failureDomains": [], "pools": [], "services": []})");
        for (auto const *const text : {"", "{", "[1]", "null", "{}x"})
            CPPUNIT_ASSERT_MESSAGE(text, !errorPaths(text).empty());
    }

    // Guards against a second "services" list that silently replaces the first one.
    void duplicateKeysAreReported()
    {
        assertErrorPaths(
            {"failureDomains[1].region"},
            replaced(example(), R"("banska", "region": "sk")", R"("banska", "region": "x", "region": "sk")"));
        assertErrorPaths({"deployment"}, replaced(example(), "{", R"({"deployment": "other",)"));
    }

    // Guards against input that forges log lines or sends control sequences to an operator's terminal.
    void hostileTextIsEscapedInMessages()
    {
        for (std::string const &name : {std::string("a\\nAW1000"), std::string("\\u001b[2J"),
                                        std::string("\xc2\x9b"), std::string(200, 'a')}) {
            std::string const json =
                replaced(replaced(example(), "zvolen", name), "\"slots\"", "\"" + name + "\"");
            for (std::string const &text : {json, fmt::format("{}\"{}", json, name)}) {
                ManifestResult const result = parseManifest(text);
                for (InputError const &error : std::get<InputErrors>(result)) {
                    std::string const message = error.toString();
                    CPPUNIT_ASSERT(std::ranges::all_of(message, [](char c) { return c >= ' ' && c <= '~'; }));
                    CPPUNIT_ASSERT(message.size() < 400);
                }
            }
        }
    }

    // Guards against an input of a few megabytes that makes an instance use gigabytes.
    void hostileSizesAreBounded()
    {
        constexpr std::size_t count = 200000;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errorPaths(std::string(count, '[')).size());
        std::string manyErrors = R"({"drainingTargets": [0)";
        for (std::size_t index = 0; index < count; ++index)
            manyErrors += ",0";
        CPPUNIT_ASSERT_EQUAL(maxInputErrors + 1, errorPaths(manyErrors + "]}").size());
    }

    // Guards against a crash on damaged input, and against accepting a manifest that breaks a rule.
    void mutatedTextIsAcceptedOrReported()
    {
        std::string const original = formatManifest(makeManifest(2, 2, 2));
        CPPUNIT_ASSERT(rc::check([&original] {
            std::string text = original;
            int const changes = *rc::gen::inRange(1, 4);
            for (int change = 0; change < changes; ++change) {
                std::size_t const position = *rc::gen::inRange<std::size_t>(0, text.size());
                std::size_t const length = *rc::gen::inRange<std::size_t>(0, 4);
                text.replace(position, length,
                             *rc::gen::element<std::string>("", "\"", "}", "0", "-", "\xff", "a", "[{"));
            }
            ManifestResult const result = parseManifest(text);
            if (auto const *const proposal = std::get_if<ProposedManifest>(&result))
                RC_ASSERT(checkManifest(proposal->manifest).empty());
            else
                RC_ASSERT(!std::get<InputErrors>(result).empty());
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManifestJsonTest);

} // namespace almondwing
