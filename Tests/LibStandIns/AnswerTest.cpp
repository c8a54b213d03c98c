// Tests of answers: their bytes, their assembly, work orders and the execution ledger.

#include <LibStandIns/AnswerAssembly.h>
#include <LibStandIns/AnswerBody.h>
#include <LibStandIns/ExecutionLedger.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace almondwing {

namespace {

constexpr RequestKey key{.service = ServiceId{1}, .caller = 2, .number = 3};

std::vector<AnswerPart> allParts(std::size_t size)
{
    std::vector<AnswerPart> parts;
    for (std::uint32_t part = 0; part < answerPartCount(size); ++part)
        parts.push_back(makeAnswerPart(key, 9, size, part));
    return parts;
}

} // namespace

class AnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerTest);
    CPPUNIT_TEST(partsInAnyOrderGiveTheBody);
    CPPUNIT_TEST(missingPartsCompleteTheAnswer);
    CPPUNIT_TEST(contradictingPartsAreNoticed);
    CPPUNIT_TEST(bodiesOfOtherRequestsDiffer);
    CPPUNIT_TEST(workOrdersSurviveThePayload);
    CPPUNIT_TEST(ledgerEntriesSurviveTheFile);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a check of answers that depends on the order of packets.
    void partsInAnyOrderGiveTheBody()
    {
        CPPUNIT_ASSERT(rc::check([] {
            auto const size = *rc::gen::inRange<std::size_t>(0, 5001);
            auto const parts = allParts(size);
            auto const order = *rc::gen::container<std::vector<std::size_t>>(
                parts.size() * 3, rc::gen::inRange<std::size_t>(0, parts.size()));
            AnswerAssembly answer;
            for (std::size_t const index : order)
                answer = answer.with(parts[index]);
            for (auto const &part : parts)
                answer = answer.with(part);
            RC_ASSERT(answer.state() == AssemblyState::Complete);
            RC_ASSERT(answer.body() == answerBytes(key, size, 0, size));
        }));
    }

    // Guards against a caller that waits for ever for a part it does not ask for, or takes half an answer.
    void missingPartsCompleteTheAnswer()
    {
        CPPUNIT_ASSERT(rc::check([] {
            auto const parts = allParts(*rc::gen::inRange<std::size_t>(0, 9000));
            AnswerAssembly answer;
            for (auto const &part : parts) {
                if (*rc::gen::arbitrary<bool>())
                    answer = answer.with(part);
            }
            bool const isComplete = answer.receivedParts() == parts.size();
            RC_ASSERT((answer.state() == AssemblyState::Complete) == isComplete);
            for (int round = 0; round < 10 && answer.state() == AssemblyState::Incomplete; ++round) {
                for (std::uint32_t const part : answer.missingParts(4)) {
                    if (part < parts.size())
                        answer = answer.with(parts[part]);
                }
            }
            RC_ASSERT(answer.state() == AssemblyState::Complete);
        }));
    }

    // Guards against mixed parts of two answers that pass as one.
    void contradictingPartsAreNoticed()
    {
        auto const parts = allParts(2500);
        AnswerPart changed = parts[0];
        changed.payload[0] = static_cast<char>(changed.payload[0] ^ 1);
        AnswerPart earlyLast = parts[1];
        earlyLast.position = PartPosition::Last;
        AnswerPart beyond = parts[2];
        beyond.part = 7;
        AnswerPart huge = parts[2];
        huge.part = ~0U;
        for (AnswerPart const &wrong : {changed, earlyLast, beyond, huge}) {
            AnswerAssembly answer;
            for (auto const &part : parts)
                answer = answer.with(part);
            CPPUNIT_ASSERT(answer.with(wrong).state() == AssemblyState::Contradictory);
        }
    }

    // Guards against bodies that are so alike that a wrong answer looks right.
    void bodiesOfOtherRequestsDiffer()
    {
        RequestKey other = key;
        other.number = 4;
        CPPUNIT_ASSERT(answerBytes(key, 64, 0, 64) != answerBytes(other, 64, 0, 64));
        CPPUNIT_ASSERT(answerBytes(key, 64, 0, 64) != answerBytes(key, 65, 0, 64));
        CPPUNIT_ASSERT(answerBytes(key, 64, 0, 64).substr(10, 5) == answerBytes(key, 64, 10, 5));
        CPPUNIT_ASSERT_EQUAL(1U, answerPartCount(0));
        CPPUNIT_ASSERT_EQUAL(1U, answerPartCount(answerPartBytes));
        CPPUNIT_ASSERT_EQUAL(2U, answerPartCount(answerPartBytes + 1));
    }

    // Guards against a load that differs from what a test asked for, and against payloads that ask for ever.
    void workOrdersSurviveThePayload()
    {
        RunParameters const order{.serviceTime = 1500ms, .answerSize = 70'000};
        CPPUNIT_ASSERT(RunParameters::parse(order.toPayload(), {}) == order);
        for (auto const *const text : {"", "sleep", "sleep=", "sleep=x", "size=-1",
                                       "size=99999999999999999999", "sleep=99999999", "\xff\x01 =", "  "})
            CPPUNIT_ASSERT_MESSAGE(text, RunParameters::parse(text, order) == order);
    }

    // Guards against a ledger that loses runs, or keys that lose digits in JSON.
    void ledgerEntriesSurviveTheFile()
    {
        ExecutionEntry const entry{.key = {.service = ServiceId{~0ULL}, .caller = ~0ULL - 1, .number = 1},
                                   .tryId = ~0ULL - 2,
                                   .idempotency = Idempotency::NonIdempotent,
                                   .target = "a \"b\"",
                                   .unixMicroseconds = 1'700'000'000'000'000};
        CPPUNIT_ASSERT(*ExecutionEntry::parse(entry.toJson()) == entry);
        CPPUNIT_ASSERT(!ExecutionEntry::parse("{}").ok());
        CPPUNIT_ASSERT(!ExecutionEntry::parse("no JSON").ok());
        auto const ledger = ExecutionLedger::open("");
        (*ledger)->append(entry);
        (*ledger)->append(entry);
        CPPUNIT_ASSERT_EQUAL("[" + entry.toJson() + "," + entry.toJson() + "]", (*ledger)->toJson());
        CPPUNIT_ASSERT(!ExecutionLedger::open("/no/such/folder/ledger").ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerTest);

} // namespace almondwing
