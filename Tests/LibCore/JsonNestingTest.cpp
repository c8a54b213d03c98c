// Tests the limit of the nesting depth of JSON texts.

#include <LibCore/JsonNesting.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace almondwing {

class JsonNestingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JsonNestingTest);
    CPPUNIT_TEST(depthOfNestedValuesIsCounted);
    CPPUNIT_TEST(bracketsInStringsDontNest);
    CPPUNIT_TEST(deepTextsAreRefused);
    CPPUNIT_TEST_SUITE_END();

    static std::string nestedArrays(std::size_t depth)
    {
        return std::string(depth, '[') + std::string(depth, ']');
    }

    void depthOfNestedValuesIsCounted()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, jsonNestingDepth("7"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, jsonNestingDepth("[1,2,{}]"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, jsonNestingDepth(R"({"a":[{"b":1}],"c":[]})"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, jsonNestingDepth("]]]["));
    }

    void bracketsInStringsDontNest()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, jsonNestingDepth(R"(["[[[{{{"])"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, jsonNestingDepth(R"(["\"[[\\"])"));
    }

    void deepTextsAreRefused()
    {
        CPPUNIT_ASSERT(checkJsonNesting(nestedArrays(maxJsonNesting)).ok());
        CPPUNIT_ASSERT(!checkJsonNesting(nestedArrays(maxJsonNesting + 1)).ok());
        CPPUNIT_ASSERT(checkJsonNesting("\"" + std::string(2 * maxJsonNesting, '[') + "\"").ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonNestingTest);

} // namespace almondwing
