#include "fakestore.h"

#include <platform/membership.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace flamingosaddle;
using namespace flamingosaddle::platform;
using namespace flamingosaddle::test;

namespace
{

/** Two instances that join the same group of one store. */
struct InstanceGroupTest : testing::Test {
    FakeStore store;
    ContextThread thread;
    InstanceGroup first{store.client()};
    InstanceGroup second{store.client()};
};

} // namespace

TEST_F(InstanceGroupTest, ListsTheOtherMembers)
{
    EXPECT_TRUE(this->thread.await(this->first.joinAndList({InstanceId("a"), {"127.0.0.1", 7001}, 5})).value().empty());
    const std::vector<InstanceEntry> others
        = this->thread.await(this->second.joinAndList({InstanceId("b"), {"127.0.0.1", 7002}, 6})).value();
    EXPECT_EQ(others, (std::vector<InstanceEntry>{{InstanceId("a"), "127.0.0.1:7001", {}, false}}));
}

TEST_F(InstanceGroupTest, RequestsTheMembersOnlyWhenTheGroupChanged)
{
    const Member a{InstanceId("a"), {"127.0.0.1", 7001}, 5};
    for (int i = 0; i < 5; ++i) {
        EXPECT_TRUE(this->thread.await(this->first.joinAndList(a)).value().empty());
    }
    EXPECT_EQ(this->store.callCount("/-/log-owners"), 1U);
    ASSERT_TRUE(this->thread.await(this->second.joinAndList({InstanceId("b"), {"127.0.0.1", 7002}, 6})).has_value());
    EXPECT_EQ(this->thread.await(this->first.joinAndList(a)).value().size(), 1U);
    EXPECT_EQ(this->thread.await(this->first.joinAndList(a)).value().size(), 1U);
    EXPECT_EQ(this->store.callCount("/-/log-owners"), 3U);
}

TEST(InstanceGroup, RoundTripsAMemberIdAndRejectsInvalidOnes)
{
    const Member member{InstanceId("edge-1"), {"127.0.0.1", 7001}, 1700000000000};
    EXPECT_EQ(decodeMember(encodeMember(member)).value(), member);
    EXPECT_TRUE(decodeMember("edge-1").has_error());
    EXPECT_TRUE(decodeMember("edge-1|somewhere|4").has_error());
}

RC_GTEST_PROP(InstanceGroup, DecodesAnyMemberIdWithoutThrowing, (const std::string &bytes))
{
    (void)decodeMember(bytes);
}
