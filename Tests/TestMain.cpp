// Entry point of the test programs of the libraries: runs every registered CppUnit test except those listed
// in KNOWN-RED.txt, or only those that the first argument selects as Suite or Suite::test.

#include <cppunit/TestSuite.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <string>

namespace {

// The second word of each entry of KNOWN-RED.txt, such as FlowMovesTest::flowsSurvivePlannedChanges.
std::set<std::string> readKnownRedTests()
{
    std::set<std::string> names;
    std::ifstream file(KNOWN_RED_FILE);
    for (std::string line; std::getline(file, line);) {
        std::size_t const space = line.find(' ');
        if (space != 0 && space != std::string::npos)
            names.insert(line.substr(space + 1, line.find(' ', space + 1) - space - 1));
    }
    return names;
}

std::string shortName(CppUnit::Test const &test)
{
    std::string const name = test.getName();
    std::string const prefix = "almondwing::";
    return name.starts_with(prefix) ? name.substr(prefix.size()) : name;
}

// Returns the number of tests added to the runner.
int addTests(CppUnit::Test *test, CppUnit::TextUi::TestRunner &runner, std::string const &selection,
             std::set<std::string> const &knownRedTests)
{
    int added = 0;
    if (test->getChildTestCount() > 0) {
        for (int index = 0; index < test->getChildTestCount(); ++index)
            added += addTests(test->getChildTestAt(index), runner, selection, knownRedTests);
        return added;
    }
    std::string const name = shortName(*test);
    if (selection.empty() && knownRedTests.contains(name)) {
        std::cout << "skipped, because KNOWN-RED.txt lists it: " << name << '\n';
        return 0;
    }
    if (!selection.empty() && selection != name && !name.starts_with(selection + "::"))
        return 0;
    runner.addTest(test);
    return 1;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    char const *const propertySettings = std::getenv("RC_PARAMS");
    std::cout << "RC_PARAMS (RapidCheck): "
              << (propertySettings != nullptr ? propertySettings : "not set, random seed") << '\n';

    // Both the runner and the suites would delete the tests, so neither is deleted before the process ends.
    static CppUnit::Test *const allTests = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    static auto *const runner = new CppUnit::TextUi::TestRunner;
    std::string const selection = argumentCount > 1 ? arguments[1] : "";
    // A misspelled name selects no test, which must not count as a pass.
    if (addTests(allTests, *runner, selection, readKnownRedTests()) == 0) {
        std::cerr << "no such test: " << selection << '\n';
        return EXIT_FAILURE;
    }
    return runner->run() ? EXIT_SUCCESS : EXIT_FAILURE;
}
