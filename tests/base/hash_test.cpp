#include <flamingosaddle/base/hash.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace flamingosaddle;

TEST(KeyDigest, DependsOnTheKeyAndOnTheSecret)
{
    const KeyDigest digest = KeyDigest::of("key", "secret");
    EXPECT_EQ(digest, KeyDigest::of("key", "secret"));
    EXPECT_NE(digest, KeyDigest::of("key", "other"));
    EXPECT_NE(digest, KeyDigest::of("kex", "secret"));
}

TEST(KeyDigest, ParsesItsOwnHexText)
{
    EXPECT_TRUE(rc::check("parse inverts hex", [](const std::string &key) {
        const KeyDigest digest = KeyDigest::of(key, "secret");
        KeyDigest parsed;
        RC_ASSERT(KeyDigest::parse(digest.hex(), parsed));
        RC_ASSERT(parsed == digest);
    }));
}

TEST(KeyDigest, RejectsTextThatIsNotADigest)
{
    KeyDigest digest;
    EXPECT_FALSE(KeyDigest::parse("12", digest));
    EXPECT_FALSE(KeyDigest::parse(std::string(64, 'g'), digest));
    EXPECT_EQ(digest, KeyDigest());
}
