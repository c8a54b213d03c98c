// Tests of the choice of the destination of a target's announcements.

#include <LibStandIns/AnnounceRoute.h>

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

namespace {

constexpr Endpoint first{.address = 0x7f000001, .port = 1};
constexpr Endpoint second{.address = 0x7f000001, .port = 2};
constexpr Endpoint third{.address = 0x7f000001, .port = 3};

AnnounceRoute twoInstances()
{
    AnnounceRoute route;
    route.instances = {first, second};
    return route;
}

} // namespace

class AnnounceRouteTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnnounceRouteTest);
    CPPUNIT_TEST(failureMovesToTheNextInstance);
    CPPUNIT_TEST(redirectIsKeptUntilItFails);
    CPPUNIT_TEST(redirectLoopEnds);
    CPPUNIT_TEST(answersWithoutARedirectEndTheRound);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a target that stays unknown because the first instance of its list is down.
    void failureMovesToTheNextInstance()
    {
        auto const result = applyAnnounceReply(twoInstances(), absl::UnavailableError("refused"));
        CPPUNIT_ASSERT(result.step == AnnounceStep::SendAgain);
        CPPUNIT_ASSERT(result.route.destination() == second);
        // If all instances are down, the round must end, and the next round must send announcements again.
        AnnounceRoute route = twoInstances();
        int sends = 0;
        AnnounceStep step = AnnounceStep::SendAgain;
        while (step == AnnounceStep::SendAgain) {
            auto const next = applyAnnounceReply(route, absl::UnavailableError("refused"));
            route = next.route;
            step = next.step;
            CPPUNIT_ASSERT(++sends < 10);
        }
        auto const newRound = applyAnnounceReply(route.beginRound(), absl::UnavailableError("refused"));
        CPPUNIT_ASSERT(newRound.step == AnnounceStep::SendAgain);
    }

    // Guards against a target that returns to an instance that does not own its record.
    void redirectIsKeptUntilItFails()
    {
        auto const redirected = applyAnnounceReply(twoInstances(), R"({"redirect":"127.0.0.1:3"})");
        CPPUNIT_ASSERT(redirected.step == AnnounceStep::SendAgain);
        CPPUNIT_ASSERT(redirected.route.destination() == third);
        auto const accepted = applyAnnounceReply(redirected.route, "{}");
        CPPUNIT_ASSERT(accepted.step == AnnounceStep::RoundEnded);
        CPPUNIT_ASSERT(accepted.route.destination() == third);
        auto const failed = applyAnnounceReply(accepted.route.beginRound(), absl::UnavailableError("dead"));
        CPPUNIT_ASSERT(failed.step == AnnounceStep::SendAgain);
        CPPUNIT_ASSERT(failed.route.destination() == second);
    }

    // Guards against an endless redirect loop between two instances with different views.
    void redirectLoopEnds()
    {
        AnnounceRoute route = twoInstances();
        int sends = 0;
        for (AnnounceStep step = AnnounceStep::SendAgain; step == AnnounceStep::SendAgain; ++sends) {
            bool const isAtFirst = route.destination() == first;
            auto const *const answer =
                isAtFirst ? R"({"redirect":"127.0.0.1:2"})" : R"({"redirect":"127.0.0.1:1"})";
            auto const result = applyAnnounceReply(route, std::string(answer));
            route = result.route;
            step = result.step;
            CPPUNIT_ASSERT(sends < 10);
        }
    }

    // Guards against a malformed reply that stops the announcements.
    void answersWithoutARedirectEndTheRound()
    {
        for (auto const *const answer : {"", "{}", "[]", "null", R"({"redirect":null})", R"({"redirect":7})",
                                         R"({"redirect":"nowhere"})", R"({"redirect":"127.0.0.1:1"})"}) {
            auto const result = applyAnnounceReply(twoInstances(), std::string(answer));
            CPPUNIT_ASSERT_MESSAGE(answer, result.step == AnnounceStep::RoundEnded);
            CPPUNIT_ASSERT_MESSAGE(answer, result.route.destination() == first);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnnounceRouteTest);

} // namespace almondwing
