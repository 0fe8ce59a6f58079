#include <flamingosaddle/app/peertraffic.h>

#include <gtest/gtest.h>

#include <vector>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

const BackendServerId server("s");

} // namespace

TEST(ServerDeathMessage, StatesTheTimeOfADeathThatWasInDispute)
{
    const ServerDeath late{server, 7, {1, 2}, 40ms, 3s};
    const std::vector<DeathNotice> notices = toMessage(late);
    EXPECT_EQ(fromMessage(notices), std::vector<ServerDeath>{late});
    EXPECT_EQ(notices.back(), (DeathNotice{7, server, {1, 2}, 3040ms})) << "a build that ignores the time knows the start";
    const ServerDeath prompt{server, 7, {1, 2}, 40ms};
    EXPECT_EQ(toMessage(prompt), (std::vector<DeathNotice>{{7, server, {1, 2}, 40ms}})) << "as earlier builds expect it";
    EXPECT_EQ(fromMessage(toMessage(prompt)), std::vector<ServerDeath>{prompt});
}

TEST(ServerDeathMessage, TakesOnlyAPlausibleTimeOfDeath)
{
    const DeathNotice alone{0, server, {}, 3s};
    EXPECT_EQ(fromMessage({alone}), (std::vector<ServerDeath>{{server, 0, {}, 3s}}));
    const DeathNotice other{7, BackendServerId("t"), {}, 5s};
    EXPECT_EQ(fromMessage({alone, other}).size(), 2U);
    EXPECT_EQ(fromMessage({alone, {7, server, {}, 1s}}), (std::vector<ServerDeath>{{server, 7, {}, 0ms, 3s}}));
    EXPECT_EQ(fromMessage({{0, server, {}, 10h}, {7, server, {}, 20h}}), (std::vector<ServerDeath>{{server, 7, {}, 0ms, 1h}}));
}
