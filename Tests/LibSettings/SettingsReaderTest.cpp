// Tests of reading the settings of the daemon.

#include <LibSettings/SettingsReader.h>

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <fstream>
#include <iterator>

namespace almondwing {

namespace {

std::string const examplePath = std::string(EXAMPLES_FOLDER) + "/almondwingd.toml";

std::string example()
{
    std::ifstream file(examplePath);
    CPPUNIT_ASSERT(file.good());
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string replaced(std::string text, std::string const &from, std::string const &to)
{
    std::size_t const position = text.find(from);
    CPPUNIT_ASSERT_MESSAGE(from, position != std::string::npos);
    return text.replace(position, from.size(), to);
}

// Returns each error as "line key".
std::vector<std::string> errorLocations(std::string const &text)
{
    SettingsResult const result = parseSettings(text, "test.toml");
    std::vector<std::string> locations;
    if (auto const *const errors = std::get_if<SettingsErrors>(&result)) {
        for (SettingsError const &error : *errors) {
            CPPUNIT_ASSERT(error.file == "test.toml" && !error.value.empty() && !error.allowed.empty());
            locations.push_back(fmt::format("{} {}", error.line, error.key));
        }
    }
    return locations;
}

void assertErrorLocations(std::vector<std::string> const &expected, std::string const &text)
{
    CPPUNIT_ASSERT_EQUAL(fmt::format("{}", fmt::join(expected, "; ")),
                         fmt::format("{}", fmt::join(errorLocations(text), "; ")));
}

std::ptrdiff_t lineAt(std::string const &text, std::size_t position)
{
    return std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(position), '\n') + 1;
}

} // namespace

class SettingsReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsReaderTest);
    CPPUNIT_TEST(exampleIsValid);
    CPPUNIT_TEST(allErrorsAreReportedAtOnce);
    CPPUNIT_TEST(eachRuleIsChecked);
    CPPUNIT_TEST(defaultsApply);
    CPPUNIT_TEST(unreadableFilesAndSyntaxErrorsAreReported);
    CPPUNIT_TEST(mutatedTextIsAcceptedOrReported);
    CPPUNIT_TEST_SUITE_END();

    // Guards against an example that no longer starts a daemon.
    void exampleIsValid()
    {
        SettingsResult const result = loadSettings(examplePath);
        if (auto const *const errors = std::get_if<SettingsErrors>(&result))
            CPPUNIT_FAIL(errors->front().toString());
        auto const &settings = std::get<DaemonSettings>(result);
        CPPUNIT_ASSERT_EQUAL(std::string("zvolen-1"), settings.instance);
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:7004"), settings.listen.http.toString());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, settings.peers.size());
        CPPUNIT_ASSERT(settings.peers[0].role == ControlRole::Control);
        CPPUNIT_ASSERT(settings.peers[2].role == ControlRole::None);
        CPPUNIT_ASSERT_EQUAL(std::string("/var/lib/almondwing"), settings.dataFolder.value());
    }

    // Guards against reporting only the first error, so that operators need one start for each error.
    void allErrorsAreReportedAtOnce()
    {
        assertErrorLocations({"1 failure_domain", "1 log", "1 peers", "2 instance", "3 threads", "4 colour",
                              "5 listen.peer", "6 listen.entry", "7 listen.target", "8 listen.http",
                              "9 operators[0].token_hash", "10 operators[0].name"},
                             "cluster = 'sk'\ninstance = 'A'\nthreads = 65\ncolour = 'red'\n"
                             "[listen]\nentry = '127.0.0.1:0'\ntarget = 7002\nhttp = '0.0.0.0:80'\n"
                             "[[operators]]\nname = 1\n");
    }

    // Guards against a rule that is no longer checked; each case breaks one rule of the example.
    void eachRuleIsChecked()
    {
        struct Case
        {
            std::string from;
            std::string to;
            std::string key;
        };
        for (Case const &rule :
             std::vector<Case>{{"cluster = \"sk-central\"", "cluster = \"SK\"", "cluster"},
                               {"threads = 4", "threads = 0", "threads"},
                               {"threads = 4", "threads = \"4\"", "threads"},
                               {"\"/var/lib/almondwing\"", "\"data\"", "data_folder"},
                               {"peer = \"127.0.0.1:7003\"", "peer = \"127.0.0.1:7001\"", "listen.peer"},
                               {"peer = \"127.0.0.1:7013\"", "peer = \"127.0.0.1:7003\"", "peers[0].peer"},
                               {"http = \"127.0.0.1:7014\"", "http = \"127.0.0.1:7004\"", "peers[0].http"},
                               {"name = \"banska-1\"", "name = \"zvolen-1\"", "peers[0].name"},
                               {"name = \"brezno-1\"", "name = \"banska-1\"", "peers[1].name"},
                               {"control = true", "control = 1", "peers[0].control"},
                               {"control = true", "control = true\nweight = 2", "peers[0].weight"},
                               {"token_hash = \"", "token_hash = \"x", "operators[0].token_hash"},
                               {"folder = \"/var/log", "folder = \"log", "log.folder"},
                               {"level = \"information\"", "level = \"debug\"", "log.level"}}) {
            std::string const text = replaced(example(), rule.from, rule.to);
            // The invalid value is at the end of the replacement.
            std::size_t const end = example().find(rule.from) + rule.to.size();
            assertErrorLocations({fmt::format("{} {}", lineAt(text, end), rule.key)}, text);
        }
        std::string eightControl = example();
        for (int index = 0; index < 5; ++index)
            eightControl +=
                fmt::format("[[peers]]\nname = \"p{0}\"\nfailure_domain = \"a\"\npeer = \"127.0.0.1:{1}\"\n"
                            "http = \"127.0.0.1:{1}\"\ncontrol = true\n",
                            index, 8000 + index);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errorLocations(eightControl).size());
    }

    // Guards against an optional key that has become required.
    void defaultsApply()
    {
        std::string text = replaced(example(), "threads = 4", "");
        text = replaced(text, "data_folder = \"/var/lib/almondwing\"", "");
        SettingsResult const result =
            parseSettings(replaced(text, "level = \"information\"", ""), "test.toml");
        auto const &settings = std::get<DaemonSettings>(result);
        CPPUNIT_ASSERT_EQUAL(defaultThreads, settings.threads);
        CPPUNIT_ASSERT(!settings.dataFolder);
        CPPUNIT_ASSERT(settings.log.level == Severity::Information);
    }

    // Guards against a daemon that starts with empty settings when its file is missing or is not valid TOML.
    void unreadableFilesAndSyntaxErrorsAreReported()
    {
        for (std::string const &path :
             {std::string(EXAMPLES_FOLDER) + "/missing.toml", std::string(EXAMPLES_FOLDER)}) {
            SettingsResult const result = loadSettings(path);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, std::get<SettingsErrors>(result).size());
        }
        assertErrorLocations({"2 "}, "cluster = 'sk'\ninstance = \n");
        assertErrorLocations({"2 "}, "cluster = 'sk'\ncluster = 'other'\n");
    }

    // Guards against a crash on a damaged file, and against an error without a line.
    void mutatedTextIsAcceptedOrReported()
    {
        std::string const original = example();
        auto const lineCount = static_cast<std::size_t>(std::ranges::count(original, '\n'));
        CPPUNIT_ASSERT(rc::check([&] {
            std::string text = original;
            int const changes = *rc::gen::inRange(1, 4);
            for (int change = 0; change < changes; ++change) {
                std::size_t const position = *rc::gen::inRange<std::size_t>(0, text.size());
                std::size_t const length = *rc::gen::inRange<std::size_t>(0, 40);
                text.replace(position, length,
                             *rc::gen::element<std::string>("", "\"", "]", "0", "=", "\n", "\xff", "[[", "{",
                                                            "\\u00"));
            }
            SettingsResult const result = parseSettings(text, "test.toml");
            if (auto const *const errors = std::get_if<SettingsErrors>(&result)) {
                RC_ASSERT(!errors->empty());
                for (SettingsError const &error : *errors)
                    RC_ASSERT(error.line >= 1 && error.line <= lineCount + 4);
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsReaderTest);

} // namespace almondwing
