// Entry point of the deployment tests. An argument selects one suite or test by name, for example
// "RestartTest" or "RestartTest::killedInstanceBreaksNoFlow", so that CTest can run and report each
// separately.

#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <cstdlib>
#include <iostream>
#include <stdexcept>
#include <string>

int main(int argumentCount, char **arguments)
{
    CppUnit::TextUi::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    std::string const name = argumentCount > 1 ? "almondwing::" + std::string(arguments[1]) : "";
    try {
        return runner.run(name) ? EXIT_SUCCESS : EXIT_FAILURE;
    } catch (std::invalid_argument const &error) {
        std::cerr << "no such test: " << name << '\n';
        return EXIT_FAILURE;
    }
}
