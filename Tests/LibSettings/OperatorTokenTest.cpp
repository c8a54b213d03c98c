// Tests of the hashes of operator tokens.

#include <LibSettings/OperatorToken.h>

#include <cppunit/extensions/HelperMacros.h>

#include <thread>
#include <vector>

namespace almondwing {

namespace {

std::string const token = "example-token-not-for-use";
std::string const salt = "00112233445566778899aabbccddeeff";

} // namespace

class OperatorTokenTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OperatorTokenTest);
    CPPUNIT_TEST(onlyTheSameTokenIsAccepted);
    CPPUNIT_TEST(hashIsStable);
    CPPUNIT_TEST(invalidTokensAndSaltsAreRefused);
    CPPUNIT_TEST(hashingIsThreadSafe);
    CPPUNIT_TEST_SUITE_END();

    // Guards against access with a different token, a different salt or a damaged hash.
    void onlyTheSameTokenIsAccepted()
    {
        std::string const stored = hashToken(token, salt).value();
        CPPUNIT_ASSERT(isTokenHash(stored));
        CPPUNIT_ASSERT(checkToken(token, stored) == TokenCheck::Accepted);
        std::string otherSalt = stored;
        otherSalt[0] = '1';
        std::string otherHash = stored;
        otherHash.back() = otherHash.back() == '0' ? '1' : '0';
        for (std::string const &damaged : {otherSalt, otherHash, std::string(), stored + "0", salt + "$"})
            CPPUNIT_ASSERT_MESSAGE(damaged, checkToken(token, damaged) == TokenCheck::Refused);
        for (std::string const &other : {token + "x", std::string(token, 1), std::string()})
            CPPUNIT_ASSERT_MESSAGE(other, checkToken(other, stored) == TokenCheck::Refused);
    }

    // Guards against a change of the hash parameters, which would lock out all operators after an upgrade.
    void hashIsStable()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string(
                "00112233445566778899aabbccddeeff$"
                "464f356a554a6b6632563848325948786b6569702f373735384345526363426b634c324e734f6171327230"),
            hashToken(token, salt).value());
    }

    // Guards against a token that is truncated at a zero byte, and against tokens short enough to guess.
    void invalidTokensAndSaltsAreRefused()
    {
        std::string withZero = token;
        withZero[20] = '\0';
        for (std::string const &bad : {withZero, std::string("short"), std::string(501, 'a'), token + " "})
            CPPUNIT_ASSERT(!hashToken(bad, salt).ok());
        for (std::string const &bad :
             {std::string(), salt + "0", std::string(saltLength, 'G'), std::string(saltLength, '$')})
            CPPUNIT_ASSERT(!hashToken(token, bad).ok());
    }

    // Guards against hash functions of the C library that share a static buffer between threads.
    void hashingIsThreadSafe()
    {
        std::string const expected = hashToken(token, salt).value();
        std::vector<int> differences(4, 0);
        {
            std::vector<std::jthread> threads;
            threads.reserve(differences.size());
            for (int &count : differences)
                threads.emplace_back([&count, &expected, isOdd = threads.size() % 2 == 1] {
                    for (int round = 0; round < 10; ++round)
                        count += checkToken(isOdd ? token + "x" : token, expected)
                                == (isOdd ? TokenCheck::Refused : TokenCheck::Accepted)
                            ? 0
                            : 1;
                });
        }
        CPPUNIT_ASSERT(differences == std::vector<int>(4, 0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorTokenTest);

} // namespace almondwing
