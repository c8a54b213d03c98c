// Tests of the evidence about whole failure domains.

#include <LibEvidence/DomainSilence.h>

#include <cppunit/extensions/HelperMacros.h>

namespace almondwing {

class DomainSilenceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DomainSilenceTest);
    CPPUNIT_TEST(twoSilentTargetsConfirmEachOther);
    CPPUNIT_TEST(oneTargetIsNoEvidence);
    CPPUNIT_TEST(answerOfAnyTargetEndsTheSilence);
    CPPUNIT_TEST(failureDomainsAreIndependent);
    CPPUNIT_TEST(oldChecksAreNoEvidence);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Timestamp start{1h};
    DomainSilenceTable table;

    SilenceVerdict check(std::uint64_t target, Timestamp now, std::string const &domain = "dar-a")
    {
        return recordSilentCheck(this->table, domain, TargetNumber{target}, DomainSilenceSettings{}, now);
    }

    void twoSilentTargetsConfirmEachOther()
    {
        recordDomainAnswer(this->table, "dar-a", start);
        CPPUNIT_ASSERT(this->check(1, start + 320ms) == SilenceVerdict{});
        CPPUNIT_ASSERT((this->check(2, start + 350ms)
                        == SilenceVerdict{.targets = {TargetNumber{1}, TargetNumber{2}}, .isNew = true}));
        CPPUNIT_ASSERT((this->check(3, start + 400ms)
                        == SilenceVerdict{.targets = {TargetNumber{1}, TargetNumber{2}, TargetNumber{3}}}));
    }

    // Guards against resets of the flows of a living target after lost packets on its link.
    void oneTargetIsNoEvidence()
    {
        CPPUNIT_ASSERT(this->check(1, start).targets.empty());
        CPPUNIT_ASSERT(this->check(1, start + 100ms).targets.empty());
        CPPUNIT_ASSERT(this->check(1, start + 500ms).targets.empty());
    }

    // Guards against resets on a link that loses packets in both directions, where checks of several targets
    // go unanswered now and then while others answer.
    void answerOfAnyTargetEndsTheSilence()
    {
        this->check(1, start);
        recordDomainAnswer(this->table, "dar-a", start + 10ms);
        CPPUNIT_ASSERT(this->check(2, start + 20ms).targets.empty());
        CPPUNIT_ASSERT(this->check(1, start + 30ms).isNew);
        recordDomainAnswer(this->table, "dar-a", start + 31ms);
        CPPUNIT_ASSERT(this->check(3, start + 40ms).targets.empty());
    }

    void failureDomainsAreIndependent()
    {
        this->check(1, start, "dar-a");
        CPPUNIT_ASSERT(this->check(2, start, "dar-b").targets.empty());
        recordDomainAnswer(this->table, "dar-b", start);
        CPPUNIT_ASSERT(this->check(3, start, "dar-a").isNew);
    }

    void oldChecksAreNoEvidence()
    {
        this->check(1, start);
        CPPUNIT_ASSERT(this->check(2, start + DomainSilenceSettings{}.window + 1ms).targets.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainSilenceTest);

} // namespace almondwing
