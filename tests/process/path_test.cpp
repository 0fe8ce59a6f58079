#include "standardcluster.h"

using namespace flamingosaddle;
using namespace flamingosaddle::process;

using ProcessPath = StandardCluster;

TEST_F(ProcessPath, EveryDaemonStreamsAWholeAnswer)
{
    for (DaemonProcess &daemon : this->cluster.daemons()) {
        const HttpRequest request = chatRequest("plan for " + daemon.instanceId, 40, true);
        const auto response = call(daemon.caller, withKey(request, this->key.key));
        ASSERT_TRUE(response.has_value()) << response.error().text();
        EXPECT_EQ(response.value().status, 200) << response.value().body;
        EXPECT_EQ(checkStreamedAnswer(chatPath, request.body, response.value().body), Violations{});
        EXPECT_TRUE(response.value().headers.has("X-Request-Id"));
    }
}

TEST_F(ProcessPath, EveryDaemonAnswersARequestThatIsNotStreamed)
{
    for (DaemonProcess &daemon : this->cluster.daemons()) {
        const HttpRequest request = chatRequest("summary for " + daemon.instanceId, 40, false);
        const auto response = call(daemon.caller, withKey(request, this->key.key));
        ASSERT_TRUE(response.has_value()) << response.error().text();
        EXPECT_EQ(checkPlainAnswer(chatPath, request.body, response.value().body), Violations{});
    }
}

TEST_F(ProcessPath, ADepositRunsOnceAlsoWhenItIsSentAgain)
{
    HttpRequest deposit = withKey(postRequest("/deposits/17", {{"amount", 250}}), this->key.key);
    deposit.headers.set("Idempotency-Key", "deposit-17");
    const Json first = jsonOf(call(this->daemon(0).caller, deposit));
    EXPECT_EQ(first.value("echo", ""), deposit.body);
    const auto second = call(this->daemon(3).caller, deposit);
    ASSERT_TRUE(second.has_value()) << second.error().text();
    unsigned runs = 0;
    for (const Json &audit : this->cluster.backendAudits()) {
        for (const Json &run : audit.at("runs")) {
            runs += run.at("idempotencyKey") == "deposit-17" ? 1 : 0;
        }
    }
    EXPECT_EQ(runs, 1U);
}

TEST_F(ProcessPath, AWithdrawnKeyIsRefusedByEveryDaemon)
{
    ASSERT_EQ(this->cluster.cli({"key", "withdraw", this->key.id}).exitCode, 0);
    for (DaemonProcess &daemon : this->cluster.daemons()) {
        const bool isRefused = waitUntil([&]() {
            const auto response = call(daemon.caller, withKey(getRequest("/catalogue/pies"), this->key.key));
            return response.has_value() && response.value().status == 401;
        });
        EXPECT_TRUE(isRefused) << daemon.instanceId;
    }
}

TEST_F(ProcessPath, RefusalsSayThatNothingRan)
{
    const Endpoint &caller = this->daemon(0).caller;
    const auto withoutKey = call(caller, chatRequest("a", 4, false));
    ASSERT_TRUE(withoutKey.has_value());
    EXPECT_EQ(withoutKey.value().status, 401);
    EXPECT_EQ(withoutKey.value().headers.find("X-Flamingosaddle-Run-State"), "not-run");
    HttpRequest unknownModel = withKey(chatRequest("a", 4, false), this->key.key);
    unknownModel.body.replace(unknownModel.body.find("baraka-8b"), 9, "no-such-m");
    const auto refused = call(caller, unknownModel);
    ASSERT_TRUE(refused.has_value());
    EXPECT_GE(refused.value().status, 400);
    EXPECT_LT(refused.value().status, 500);
    EXPECT_EQ(refused.value().headers.find("X-Flamingosaddle-Run-State"), "not-run");
    EXPECT_TRUE(Json::parse(refused.value().body).contains("error"));
}
