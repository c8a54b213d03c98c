// Tests of the settings of almondwing-node.

#include <LibSettings/NodeSettings.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace almondwing {

namespace {

std::string const entrySettings = R"(instance = "entry-1"
failure_domain = "dar-a"
failure_domains = ["dar-a", "dar-b"]
packets = "10.1.0.10:8172"
readiness = "10.1.0.10:8167"
seeds = ["10.1.0.12:8166", "10.2.0.42:8166"]
first_start = true
heartbeat_ms = 770
stop_s = 6
cold_flows_per_s = 5
repeat_percent = 2.5
)";

std::string const controlSettings = R"(instance = "control-1"
failure_domain = "dar-a"
control = "10.1.0.12:8166"
seeds = ["10.1.0.12:8166"]
data_folder = "/data/control"
stop_s = 1.5
)";

std::vector<std::string> keysWithErrors(std::string const &text)
{
    NodeSettingsResult const result = parseNodeSettings(text, "node.toml");
    std::vector<std::string> keys;
    if (auto const *const errors = std::get_if<SettingsErrors>(&result)) {
        for (SettingsError const &error : *errors)
            keys.push_back(error.key);
    }
    return keys;
}

} // namespace

class NodeSettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NodeSettingsTest);
    CPPUNIT_TEST(entrySettingsAreRead);
    CPPUNIT_TEST(controlSettingsAreRead);
    CPPUNIT_TEST(allErrorsAreReportedAtOnce);
    CPPUNIT_TEST(rolesRequireTheirKeys);
    CPPUNIT_TEST_SUITE_END();

    void entrySettingsAreRead()
    {
        NodeSettingsResult const result = parseNodeSettings(entrySettings, "node.toml");
        CPPUNIT_ASSERT(std::holds_alternative<NodeSettings>(result));
        NodeSettings const expected{.instance = "entry-1",
                                    .failureDomain = "dar-a",
                                    .failureDomains = {"dar-a", "dar-b"},
                                    .packets = Endpoint{.address = 0x0a01000a, .port = 8172},
                                    .readiness = Endpoint{.address = 0x0a01000a, .port = 8167},
                                    .seeds = {Endpoint{.address = 0x0a01000c, .port = 8166},
                                              Endpoint{.address = 0x0a02002a, .port = 8166}},
                                    .isFirstStart = true,
                                    .heartbeatInterval = 770ms,
                                    .stopTimeout = 6s,
                                    .coldFlowsPerSecond = 5,
                                    .repeatPercent = 2.5};
        CPPUNIT_ASSERT(std::get<NodeSettings>(result) == expected);
    }

    void controlSettingsAreRead()
    {
        NodeSettingsResult const result = parseNodeSettings(controlSettings, "node.toml");
        CPPUNIT_ASSERT(std::holds_alternative<NodeSettings>(result));
        CPPUNIT_ASSERT(std::get<NodeSettings>(result).dataFolder == "/data/control");
        CPPUNIT_ASSERT(std::get<NodeSettings>(result).stopTimeout == 1500ms);
    }

    void allErrorsAreReportedAtOnce()
    {
        auto const keys = keysWithErrors(R"(instance = "entry 1!"
failure_domain = 7
packets = "here"
readiness = "10.1.0.10:8167"
seeds = ["10.1.0.12"]
heartbeat_ms = 0
repeat_percent = 101
colour = "red"
)");
        for (char const *key : {"instance", "failure_domain", "packets", "seeds[0]", "heartbeat_ms",
                                "repeat_percent", "colour"})
            CPPUNIT_ASSERT_MESSAGE(key, std::ranges::find(keys, key) != keys.end());
    }

    void rolesRequireTheirKeys()
    {
        std::string const common = "instance = \"a\"\nfailure_domain = \"d\"\nseeds = [\"10.0.0.1:1\"]\n";
        CPPUNIT_ASSERT(keysWithErrors(common) == std::vector<std::string>{"packets"});
        CPPUNIT_ASSERT(keysWithErrors(common + "packets = \"10.0.0.1:2\"\n")
                       == std::vector<std::string>{"readiness"});
        CPPUNIT_ASSERT(keysWithErrors(common + "control = \"10.0.0.1:2\"\n")
                       == std::vector<std::string>{"data_folder"});
        CPPUNIT_ASSERT(keysWithErrors("instance = \"a\"\nfailure_domain = \"d\"\n"
                                      + std::string("packets = \"10.0.0.1:2\"\nreadiness = \"10.0.0.1:3\"\n"))
                       == std::vector<std::string>{"seeds"});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeSettingsTest);

} // namespace almondwing
