#include "fakes.h"

#include <flamingosaddle/cli/changefile.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace flamingosaddle;

namespace
{

const ChangeOrigin origin{ChangeId("c"), "me"};

} // namespace

TEST(ChangeFile, ReadsOneValueOrAnArray)
{
    const auto one = readValues(templateText, "putTemplate", origin);
    ASSERT_TRUE(one.has_value()) << one.error().text();
    EXPECT_EQ(one.value().front().id, ChangeId("c"));
    EXPECT_EQ(one.value().front().author, "me");
    const std::string account(accountText);
    const auto two = readValues("[" + account + "," + account + "]", "putClientAccount", origin);
    ASSERT_TRUE(two.has_value()) << two.error().text();
    EXPECT_EQ(two.value()[0].id, ChangeId("c-1"));
    EXPECT_EQ(two.value()[1].id, ChangeId("c-2"));
}

TEST(ChangeFile, ReadsKindsWithTheirValues)
{
    const auto changes = readKindsAndValues(
        R"([{"kind":"removeRoute","value":{"id":"r"},"expectedRevision":4},{"kind":"withdrawKey","value":{"id":"k"}}])", origin);
    ASSERT_TRUE(changes.has_value()) << changes.error().text();
    EXPECT_EQ(changes.value()[0].body, ConfigChangeBody(RemoveRoute{RouteId("r")}));
    EXPECT_EQ(changes.value()[0].expectedRevision, 4U);
    EXPECT_EQ(changes.value()[1].body, ConfigChangeBody(WithdrawKey{KeyId("k")}));
}

TEST(ChangeFile, NamesTheFaultyObject)
{
    const auto changes = readKindsAndValues(R"([{"kind":"removeRoute","value":{"id":"r"}},{"kind":"nothing"}])", origin);
    ASSERT_TRUE(changes.has_error());
    EXPECT_EQ(changes.error().kind(), ErrorKind::InvalidConfiguration);
    EXPECT_NE(changes.error().message().find("object 2"), std::string::npos);
    for (const char *text : {"", "[]", "5", "[5]", "{", R"({"name": 1})"}) {
        EXPECT_TRUE(readValues(text, "putTemplate", origin).has_error()) << text;
    }
}

TEST(ChangeFile, SurvivesAnyBytes)
{
    EXPECT_TRUE(rc::check("a file is read or refused", [](const std::string &bytes) {
        (void)readValues(bytes, "putRoute", origin);
        (void)readKindsAndValues(bytes, origin);
        (void)readKindsAndValues("[{\"kind\":\"putRoute\",\"value\":\"" + bytes + "\"}]", origin);
    }));
}
