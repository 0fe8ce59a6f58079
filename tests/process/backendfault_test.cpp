#include "standardcluster.h"

#include <algorithm>

using namespace flamingosaddle;
using namespace flamingosaddle::process;

namespace
{

constexpr const char *bothServices[] = {"bookings-b", "bookings-c"};
constexpr const char *bothEngines[] = {"engine-a", "engine-b"};

class BackendFault : public StandardCluster
{
protected:
    template <typename Servers>
    void setFaults(const Servers &servers, const Json &faults)
    {
        for (const char *id : servers) {
            this->cluster.backend(id).standin.setFaults(faults);
        }
    }

    HttpRequest deposit(const std::string &idempotencyKey)
    {
        HttpRequest request = withKey(postRequest("/deposits/" + idempotencyKey, {{"amount", 250}}), this->key.key);
        request.headers.set("Idempotency-Key", idempotencyKey);
        return request;
    }

    /** Runs of the key on all backend servers. */
    unsigned runsOf(const std::string &idempotencyKey)
    {
        unsigned runs = 0;
        for (const Json &audit : this->cluster.backendAudits()) {
            for (const Json &run : audit.at("runs")) {
                runs += run.at("idempotencyKey") == idempotencyKey && run.at("end") != "notRun" ? 1 : 0;
            }
        }
        return runs;
    }
};

std::string runStateOf(const HttpResponse &response)
{
    return std::string(response.headers.find("X-Flamingosaddle-Run-State"));
}

} // namespace

TEST_F(BackendFault, ADepositWhoseAnswerIsLostIsNeverRunAgain)
{
    this->setFaults(bothServices, {{"loseAnswer", 1}});
    for (const std::size_t index : {0U, 0U, 3U}) {
        const auto answer = call(this->daemon(index).caller, this->deposit("lost"));
        ASSERT_TRUE(answer.has_value()) << answer.error().text();
        EXPECT_GE(answer.value().status, 400);
        EXPECT_EQ(runStateOf(answer.value()), "unknown") << answer.value().body;
    }
    EXPECT_EQ(this->runsOf("lost"), 1U);
}

TEST_F(BackendFault, ADepositWithoutAnIdempotencyKeyIsNotRepeated)
{
    this->setFaults(bothServices, {{"loseAnswer", 1}});
    HttpRequest request = this->deposit("");
    request.headers.remove("Idempotency-Key");
    const auto answer = call(this->daemon(0).caller, request);
    ASSERT_TRUE(answer.has_value()) << answer.error().text();
    EXPECT_EQ(runStateOf(answer.value()), "unknown") << answer.value().body;
}

TEST_F(BackendFault, ALostAnswerOfTheLogRunsADepositAtMostOnce)
{
    for (unsigned round = 0; round < 4; ++round) {
        const std::string name = "round-" + std::to_string(round);
        this->cluster.platform().setFaults({{"log", {{"loseAnswers", 2}}}});
        const auto answer = call(this->daemon(round).caller, this->deposit(name));
        ASSERT_TRUE(answer.has_value()) << answer.error().text();
        const bool isRefused = answer.value().status == 503 && runStateOf(answer.value()) == "not-run";
        EXPECT_TRUE(answer.value().status == 200 || isRefused) << answer.value().body;
        EXPECT_EQ(this->runsOf(name), answer.value().status == 200 ? 1U : 0U);
    }
}

TEST_F(BackendFault, ALookupGoesToTheOtherServerWhenOneIsDown)
{
    this->cluster.backend("bookings-b").standin.setFaults({{"down", true}});
    for (DaemonProcess &daemon : this->cluster.daemons()) {
        for (unsigned round = 0; round < 4; ++round) {
            EXPECT_EQ(statusOf(daemon, this->key), 200) << daemon.instanceId;
        }
    }
}

TEST_F(BackendFault, ATruncatedStreamNeverLooksWhole)
{
    for (const bool cleanly : {false, true}) {
        this->setFaults(bothEngines, {{"truncateAfter", 5}, {"truncateCleanly", cleanly}});
        const HttpRequest request = withKey(chatRequest("truncated", 20, true), this->key.key);
        const auto answer = call(this->daemon(0).caller, request);
        if (answer.has_value()) {
            EXPECT_FALSE(parseStream(answer.value().body).done) << answer.value().body;
        }
    }
    this->setFaults(bothEngines, {{"truncateAfter", nullptr}});
    const HttpRequest request = withKey(chatRequest("whole", 20, true), this->key.key);
    const auto answer = call(this->daemon(0).caller, request);
    ASSERT_TRUE(answer.has_value()) << answer.error().text();
    EXPECT_EQ(checkStreamedAnswer(chatPath, request.body, answer.value().body), Violations{});
}

TEST_F(BackendFault, ARequestIsServedWhenAnEngineDiesBeforeTheFirstToken)
{
    this->cluster.backend("engine-a").standin.setFaults({{"closeBeforeAnswer", 1}});
    this->cluster.backend("engine-b").standin.setFaults({{"closeBeforeAnswer", 0}});
    const HttpRequest request = withKey(chatRequest("retried", 20, true), this->key.key);
    for (unsigned round = 0; round < 4; ++round) {
        const auto answer = call(this->daemon(round).caller, request);
        ASSERT_TRUE(answer.has_value()) << answer.error().text();
        EXPECT_EQ(checkStreamedAnswer(chatPath, request.body, answer.value().body), Violations{}) << answer.value().body;
    }
}

TEST_F(BackendFault, ARequestThatCrashesEnginesCostsAtMostTwo)
{
    for (const char *id : {"engine-c", "engine-d"}) {
        this->cluster.publish({"backend", "add"}, this->cluster.addEngine(id, "dc-c").configuration);
    }
    const HttpRequest fatal = withKey(chatRequest("[[crash]]", 20, true), this->key.key);
    for (unsigned round = 0; round < 4; ++round) {
        const auto answer = call(this->daemon(0).caller, fatal);
        EXPECT_TRUE(answer.has_error() || answer.value().status >= 400);
    }
    unsigned alive = 0;
    for (const char *id : {"engine-a", "engine-b", "engine-c", "engine-d"}) {
        alive += call(this->cluster.backend(id).standin.address, getRequest("/load")).has_value() ? 1 : 0;
    }
    EXPECT_GE(alive, 2U);
    const HttpRequest other = withKey(chatRequest("harmless", 20, true), this->key.key);
    const auto answer = call(this->daemon(0).caller, other);
    ASSERT_TRUE(answer.has_value()) << answer.error().text();
    EXPECT_EQ(checkStreamedAnswer(chatPath, other.body, answer.value().body), Violations{}) << answer.value().body;
}

// A daemon that was not connected when engines died would let the request that killed them through again.
TEST_F(BackendFault, ADaemonThatStartsLaterRefusesAQuarantinedRequest)
{
    const std::vector<const char *> engines{"engine-a", "engine-b", "engine-c", "engine-d"};
    for (const char *id : {"engine-c", "engine-d"}) {
        this->cluster.publish({"backend", "add"}, this->cluster.addEngine(id, "dc-c").configuration);
    }
    const auto alive = [&] {
        return std::count_if(engines.begin(), engines.end(), [this](const char *id) {
            return call(this->cluster.backend(id).standin.address, getRequest("/load")).has_value();
        });
    };
    const HttpRequest fatal = withKey(chatRequest("[[crash]]", 20, true), this->key.key);
    const auto isRefused = [&](const DaemonProcess &daemon) {
        const auto answer = call(daemon.caller, fatal);
        return answer.has_value() && answer.value().status == 400;
    };
    ASSERT_TRUE(waitUntil([&] {
        return isRefused(this->daemon(0));
    }));
    const auto before = alive();
    ASSERT_GE(before, 1);
    const DaemonProcess &later = this->cluster.addDaemon("dc-a", "i5");
    ASSERT_TRUE(waitUntil([&] {
        const auto status = call(later.admin, getRequest("/v1/status"));
        return later.isReady() && status.has_value() && Json::parse(status.value().body).at("servingInstances") == 5;
    }));
    EXPECT_TRUE(isRefused(later));
    EXPECT_EQ(alive(), before);
}

TEST_F(BackendFault, ASilentServerIsGivenUp)
{
    DaemonProcess &impatient
        = this->cluster.addDaemon("dc-a", "i5", {"--first-byte-timeout", "300", "--progress-timeout", "300"});
    this->cluster.waitUntilServing(this->key);
    this->cluster.backend("bookings-b").standin.setFaults({{"silent", true}});
    for (unsigned round = 0; round < 4; ++round) {
        EXPECT_EQ(statusOf(impatient, this->key), 200);
    }
    this->setFaults(bothEngines, {{"freezeStreams", true}});
    const auto frozen = call(impatient.caller, withKey(chatRequest("frozen", 20, true), this->key.key));
    EXPECT_TRUE(frozen.has_error() || !parseStream(frozen.value().body).done);
}
