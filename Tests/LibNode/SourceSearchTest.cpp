// Tests the search for a control instance by an entry without a view.

#include <LibNode/SourceSearch.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

namespace almondwing {

class SourceSearchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SourceSearchTest);
    CPPUNIT_TEST(preferredCandidateIsTriedFirst);
    CPPUNIT_TEST(candidateThatStartsIsFoundSoon);
    CPPUNIT_TEST(oneTryOfACandidateAtATime);
    CPPUNIT_TEST(resultsAfterTheEndHaveNoEffect);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Timestamp start{100s};
    static constexpr Endpoint first{.address = 0x0a030001, .port = 8166};
    static constexpr Endpoint second{.address = 0x0a010001, .port = 8166};
    static constexpr Endpoint third{.address = 0x0a020001, .port = 8166};

    SourceSearch search;

    void preferredCandidateIsTriedFirst()
    {
        this->search.begin({first, second, third}, start);
        CPPUNIT_ASSERT(this->search.takeDue(start) == std::vector{first});
        CPPUNIT_ASSERT(this->search.handleResult(first, true, start + 2ms));
        CPPUNIT_ASSERT(!this->search.isRunning());
        CPPUNIT_ASSERT(this->search.takeDue(start + 1s).empty());
    }

    // Guards against an entry that waits for a machine without power while another control instance has been
    // serving for a long time. Machines without power let each try time out.
    void candidateThatStartsIsFoundSoon()
    {
        constexpr Timestamp servingSince = start + 700ms;
        this->search.begin({first, second, third}, start);
        std::map<Endpoint, Timestamp> tries; // Those under way, with their ends.
        std::optional<Timestamp> foundAt;
        for (Timestamp now = start; !foundAt && now < start + 2s; now += 1ms) {
            for (Endpoint const candidate : this->search.takeDue(now)) {
                bool const isServing = candidate == third && now >= servingSince;
                tries[candidate] = now + (isServing ? Duration(2ms) : this->search.tryTimeout());
            }
            for (auto const &[candidate, endsAt] : std::exchange(tries, {})) {
                if (now < endsAt)
                    tries.emplace(candidate, endsAt);
                else if (this->search.handleResult(candidate, candidate == third && now >= servingSince, now))
                    foundAt = now;
            }
        }
        CPPUNIT_ASSERT(foundAt.has_value());
        SourceSearchSettings const settings;
        CPPUNIT_ASSERT(*foundAt <= servingSince + settings.tryTimeout + settings.maxPause + 3ms);
    }

    void oneTryOfACandidateAtATime()
    {
        this->search.begin({first}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->search.takeDue(start).size());
        CPPUNIT_ASSERT(!this->search.nextDue().has_value());
        CPPUNIT_ASSERT(this->search.takeDue(start + 1s).empty());
        CPPUNIT_ASSERT(!this->search.handleResult(first, false, start + 50ms));
        CPPUNIT_ASSERT(this->search.nextDue() == start + 50ms + SourceSearchSettings{}.pause);
        CPPUNIT_ASSERT(this->search.takeDue(start + 60ms).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->search.takeDue(start + 80ms).size());
    }

    // Guards against an entry that leaves its control instance because another one accepts later.
    void resultsAfterTheEndHaveNoEffect()
    {
        this->search.begin({first, second}, start);
        this->search.takeDue(start + 50ms);
        CPPUNIT_ASSERT(this->search.handleResult(second, true, start + 51ms));
        CPPUNIT_ASSERT(!this->search.handleResult(first, true, start + 52ms));
        CPPUNIT_ASSERT(!this->search.isRunning());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SourceSearchTest);

} // namespace almondwing
