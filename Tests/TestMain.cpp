// Entry point shared by all test programs: runs every registered CppUnit test and reports the result.

#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <cstdlib>
#include <iostream>

int main()
{
    char const *const propertySettings = std::getenv("RC_PARAMS");
    std::cout << "property settings: " << (propertySettings != nullptr ? propertySettings : "random seed")
              << '\n';

    CppUnit::TextUi::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    return runner.run() ? EXIT_SUCCESS : EXIT_FAILURE;
}
