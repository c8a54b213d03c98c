// Tests of the names and numbers of reasons and states.

#include <LibMessages/Reason.h>
#include <LibMessages/StateNames.h>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace almondwing {

namespace {

// In the order of their numbers, which are part of the wire format.
constexpr std::array<std::string_view, 23> reasonNames{
    "none",
    "unknown-service",
    "no-target",
    "target-full",
    "queue-full",
    "deadline-too-short",
    "deadline-passed",
    "target-shed",
    "no-second-copy",
    "failure-domain-unreachable",
    "failure-domain-taken-out",
    "instance-stopping",
    "lease-expired",
    "cancelled",
    "dispatcher-lost",
    "target-lost",
    "target-silent",
    "unknown-flow",
    "answer-incomplete",
    "retry-budget-spent",
    "locate-incomplete",
    "instance-starting",
    "route-unsettled",
};

// Returns the names of the consecutive numbers from 0, up to the first number without a name.
template<typename Enum, typename NameOf>
std::vector<std::string> namedValues(NameOf const &nameOf, std::string_view unknownName)
{
    std::vector<std::string> names;
    for (unsigned number = 0; number <= std::numeric_limits<std::uint8_t>::max(); ++number) {
        std::string_view const name = nameOf(static_cast<Enum>(number));
        if (name == unknownName)
            break;
        names.emplace_back(name);
    }
    return names;
}

} // namespace

class NamesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NamesTest);
    CPPUNIT_TEST(reasonsKeepTheirNumbers);
    CPPUNIT_TEST(reasonsHaveDistinctNames);
    CPPUNIT_TEST(unassignedNumbersAreNamedUnknown);
    CPPUNIT_TEST(statesHaveDistinctNames);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a reason that is renumbered: during a rolling update, instances of two releases would
    // then report different reasons to callers. A new reason fails this test until it is added to the table.
    void reasonsKeepTheirNumbers()
    {
        auto const names = namedValues<Reason>(reasonName, "unknown-reason");
        CPPUNIT_ASSERT_EQUAL(reasonNames.size(), names.size());
        for (std::size_t number = 0; number < names.size(); ++number)
            CPPUNIT_ASSERT_EQUAL(std::string(reasonNames[number]), names[number]);
    }

    // Guards against two reasons with the same name, which could not be distinguished in metrics and logs.
    void reasonsHaveDistinctNames()
    {
        auto const names = namedValues<Reason>(reasonName, "unknown-reason");
        CPPUNIT_ASSERT_EQUAL(names.size(), std::set(names.begin(), names.end()).size());
    }

    // Guards against a number from a later release that is shown with the name of another reason.
    void unassignedNumbersAreNamedUnknown()
    {
        for (std::size_t number = reasonNames.size(); number <= std::numeric_limits<std::uint8_t>::max();
             ++number)
            CPPUNIT_ASSERT_EQUAL(std::string("unknown-reason"),
                                 std::string(reasonName(static_cast<Reason>(number))));
    }

    // Guards against two states with the same name, and against a state without a name.
    void statesHaveDistinctNames()
    {
        auto const members = namedValues<MemberState>(memberStateName, "unknown");
        CPPUNIT_ASSERT_EQUAL(std::size_t{static_cast<std::uint8_t>(MemberState::Dead)} + 1, members.size());
        CPPUNIT_ASSERT_EQUAL(members.size(), std::set(members.begin(), members.end()).size());

        auto const targets = namedValues<TargetState>(targetStateName, "unknown");
        CPPUNIT_ASSERT_EQUAL(std::size_t{static_cast<std::uint8_t>(TargetState::Gone)} + 1, targets.size());
        CPPUNIT_ASSERT_EQUAL(targets.size(), std::set(targets.begin(), targets.end()).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NamesTest);

} // namespace almondwing
