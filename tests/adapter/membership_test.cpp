#include "fakestore.h"

#include <platform/membership.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace flamingosaddle;
using namespace flamingosaddle::platform;
using namespace flamingosaddle::test;

TEST(InstanceGroup, ListsTheOtherMembers)
{
    FakeStore store;
    ContextThread thread;
    const auto client = std::make_shared<const StoreClient>(StoreClientOptions{[&store] {
        return store.endpoint();
    }});
    InstanceGroup first(client);
    InstanceGroup second(client);
    EXPECT_TRUE(thread.await(first.list({InstanceId("a"), {"127.0.0.1", 7001}, 5})).value().empty());
    const std::vector<InstanceEntry> others = thread.await(second.list({InstanceId("b"), {"127.0.0.1", 7002}, 6})).value();
    EXPECT_EQ(others, (std::vector<InstanceEntry>{{InstanceId("a"), "127.0.0.1:7001", {}, false}}));
}

TEST(InstanceGroup, AsksForTheMembersOnlyWhenTheGroupChanged)
{
    FakeStore store;
    ContextThread thread;
    const auto client = std::make_shared<const StoreClient>(StoreClientOptions{[&store] {
        return store.endpoint();
    }});
    InstanceGroup first(client);
    InstanceGroup second(client);
    const Member a{InstanceId("a"), {"127.0.0.1", 7001}, 5};
    for (int i = 0; i < 5; ++i) {
        EXPECT_TRUE(thread.await(first.list(a)).value().empty());
    }
    EXPECT_EQ(store.calls("/-/log-owners"), 1U);
    ASSERT_TRUE(thread.await(second.list({InstanceId("b"), {"127.0.0.1", 7002}, 6})).has_value());
    EXPECT_EQ(thread.await(first.list(a)).value().size(), 1U);
    EXPECT_EQ(thread.await(first.list(a)).value().size(), 1U);
    EXPECT_EQ(store.calls("/-/log-owners"), 3U);
}

TEST(InstanceGroup, AMemberNamesItsAddressAndStart)
{
    const Member member{InstanceId("edge-1"), {"127.0.0.1", 7001}, 1700000000000};
    EXPECT_EQ(decodeMember(encodeMember(member)).value(), member);
    EXPECT_TRUE(decodeMember("edge-1").has_error());
    EXPECT_TRUE(decodeMember("edge-1|somewhere|4").has_error());
}

RC_GTEST_PROP(InstanceGroup, AnyMemberIdIsReadWithoutThrowing, (const std::string &bytes))
{
    (void)decodeMember(bytes);
}
