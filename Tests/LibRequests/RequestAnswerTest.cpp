// Tests one controller whose hooks store the sent messages: stored and paced answers.

#include "Harness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace almondwing {

class RequestAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestAnswerTest);
    CPPUNIT_TEST(finalOutcomeIsResent);
    CPPUNIT_TEST(evictedAnswersAreUnknown);
    CPPUNIT_TEST(missingPartsAreRequested);
    CPPUNIT_TEST(urgentPartsOvertakeBulkParts);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a second run or a different outcome when the caller resends a request that has ended.
    void finalOutcomeIsResent()
    {
        Harness harness;
        auto request = harness.sendIdempotent(1);
        harness.answer(harness.runs().at(0), 3);
        request.attempt = 2;
        harness.send(request);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, Harness::messagesOf<AnswerPart>(harness.toCaller).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.runs().size());
        harness.controller->handleResendParts(
            callerEndpoint, {.key = request.key, .tryId = harness.runs()[0].tryId, .parts = {1}}, 0,
            harness.now);
        CPPUNIT_ASSERT_EQUAL(1U, Harness::messagesOf<AnswerPart>(harness.toCaller).back().part);
        harness.answer(harness.runs().at(0), 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, Harness::messagesOf<AnswerPart>(harness.toCaller).size());
    }

    // Guards against unlimited memory for answers, and against a second run after an answer was evicted.
    void evictedAnswersAreUnknown()
    {
        RequestSettings settings;
        settings.maxStoredAnswerBytes = 5'000;
        Harness harness(2, settings);
        for (std::uint64_t number = 1; number <= 10; ++number) {
            harness.send(Harness::request(number, RequestClass::Urgent, Idempotency::NonIdempotent));
            harness.replyToRecord(RecordVerdict::Stored);
            harness.answer(harness.runs().back());
            harness.tickFor(1s);
            CPPUNIT_ASSERT(harness.board.storedAnswers.read()->bytes <= settings.maxStoredAnswerBytes);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, harness.runs().size());
        auto resend = Harness::request(1, RequestClass::Urgent, Idempotency::NonIdempotent);
        resend.attempt = 2;
        harness.send(resend);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.unknowns().size());
        resend.key.number = 10;
        harness.send(resend);
        CPPUNIT_ASSERT_EQUAL(std::size_t{11}, Harness::messagesOf<AnswerPart>(harness.toCaller).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, harness.runs().size());
    }

    // Guards against an answer that never completes because one of its parts was lost.
    void missingPartsAreRequested()
    {
        Harness harness;
        harness.sendIdempotent(1);
        auto const run = harness.runs().at(0);
        harness.controller->handleTargetMessage(
            endpointOf(firstTarget),
            AnswerPart{.key = run.key, .tryId = run.tryId, .part = 2, .payload = "last"}, harness.now);
        harness.tickFor(300ms);
        auto const asked = Harness::messagesOf<ResendParts>(harness.toTarget);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asked.size());
        CPPUNIT_ASSERT(asked[0].parts == (std::vector<std::uint32_t>{0, 1}));
    }

    // Guards against an urgent part that waits behind more than one bulk part.
    void urgentPartsOvertakeBulkParts()
    {
        Harness harness;
        harness.sendIdempotent(1, RequestClass::Bulk);
        harness.answer(harness.runs().at(0), 50);
        CPPUNIT_ASSERT(harness.toCaller.empty());
        auto const next = harness.controller->sendNextBulkPart(harness.now);
        CPPUNIT_ASSERT(next && *next > harness.now);
        CPPUNIT_ASSERT(harness.controller->sendNextBulkPart(harness.now) == next);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.toCaller.size());
        harness.sendIdempotent(2);
        harness.answer(harness.runs().back());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, std::get<AnswerPart>(harness.toCaller.at(1)).key.number);
        CPPUNIT_ASSERT(!harness.controller->isIdle());
        for (auto due = next; due; due = harness.controller->sendNextBulkPart(*due))
            harness.now = *due;
        CPPUNIT_ASSERT_EQUAL(std::size_t{51}, harness.toCaller.size());
        CPPUNIT_ASSERT(harness.controller->isIdle());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestAnswerTest);

} // namespace almondwing
