#include "standardcluster.h"

using namespace flamingosaddle;
using namespace flamingosaddle::process;

using LogOutage = StandardCluster;

TEST_F(LogOutage, ADaemonThatStartsWhileTheLogIsDownServesWhatIsInForce)
{
    this->cluster.platform().setFaults({{"log", {{"down", true}}}});
    this->daemon(1).process.kill();
    DaemonProcess &started = this->cluster.addDaemon("dc-a", "i5", {"--seed-peers", this->daemon(0).peer.text()});
    EXPECT_TRUE(waitUntil([&]() {
        return statusOf(started, this->key) == 200;
    })) << started.process.output();
    const HttpRequest chat = withKey(chatRequest("during the outage", 20, true), this->key.key);
    for (const std::size_t index : {0U, 2U, 3U, 4U}) {
        const auto answer = call(this->daemon(index).caller, chat);
        ASSERT_TRUE(answer.has_value()) << answer.error().text();
        EXPECT_EQ(checkStreamedAnswer(chatPath, chat.body, answer.value().body), Violations{}) << answer.value().body;
    }
    HttpRequest deposit = withKey(postRequest("/deposits/1", {{"amount", 1}}), this->key.key);
    deposit.headers.set("Idempotency-Key", "deposit-1");
    const auto refused = call(started.caller, deposit);
    ASSERT_TRUE(refused.has_value()) << refused.error().text();
    EXPECT_EQ(refused.value().status, 503) << refused.value().body;
    EXPECT_EQ(refused.value().headers.find("X-Flamingosaddle-Run-State"), "not-run");
    EXPECT_TRUE(refused.value().headers.has("Retry-After"));

    this->cluster.platform().setFaults({{"log", {{"down", false}}}});
    EXPECT_TRUE(waitUntil([&]() {
        const auto answer = call(started.caller, deposit);
        return answer.has_value() && answer.value().status == 200;
    }));
    const CliResult withdrawal = this->cluster.cli({"key", "withdraw", this->key.id});
    ASSERT_EQ(withdrawal.exitCode, 0) << withdrawal.output;
    EXPECT_TRUE(waitUntil([&]() {
        return statusOf(started, this->key) == 401;
    }));
}
