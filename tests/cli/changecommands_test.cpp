#include "fakes.h"

#include <gtest/gtest.h>

using namespace flamingosaddle;

namespace
{

HttpResponse changeAnswer(const HttpRequest &request, const char *outcome)
{
    const std::string id = request.target.substr(std::string("/v1/changes/").size());
    return jsonResponse(200, R"({"id":")" + id + R"(","offset":5,"outcome":")" + outcome + R"(","detail":""})");
}

} // namespace

TEST(ChangeCommands, PublishesCreatesAndChangesUntilInForce)
{
    CliBench bench;
    EXPECT_EQ(bench.run({"template", "publish", "template"}), ExitCode::Accepted) << bench.err << bench.out;
    EXPECT_EQ(bench.result()[0]["outcome"], "accepted");
    EXPECT_EQ(bench.result()[0]["object"], "bakery");
    EXPECT_EQ(bench.run({"account", "create", "account"}), ExitCode::Accepted) << bench.err << bench.out;
    EXPECT_EQ(bench.run({"account", "create", "account"}), ExitCode::Conflict);
    EXPECT_EQ(bench.run({"account", "set", "account"}), ExitCode::Accepted) << bench.err << bench.out;
    EXPECT_EQ(bench.run({"account", "remove", "bakers"}), ExitCode::Accepted) << bench.err << bench.out;
    EXPECT_EQ(bench.log.config().clientAccounts().size(), 0U);
}

TEST(ChangeCommands, ADryRunAppendsNothing)
{
    CliBench bench;
    EXPECT_EQ(bench.run({"template", "publish", "template", "--dry-run"}), ExitCode::Accepted);
    EXPECT_EQ(bench.result()[0]["outcome"], "valid");
    EXPECT_EQ(bench.run({"account", "create", "account", "--dry-run"}), ExitCode::Invalid);
    EXPECT_TRUE(bench.log.records.empty());
}

TEST(ChangeCommands, ARepetitionUnderTheSameIdChangesNothing)
{
    CliBench bench;
    EXPECT_EQ(bench.run({"template", "publish", "template", "--change-id", "one"}), ExitCode::Accepted);
    EXPECT_EQ(bench.run({"template", "publish", "template", "--change-id", "one"}), ExitCode::Accepted);
    EXPECT_EQ(bench.log.records.size(), 1U);
}

TEST(ChangeCommands, ALostAppendAnswerIsRepeatedUnderTheSameId)
{
    CliBench bench;
    bench.log.failuresLeft = 2;
    bench.log.isFailureAfterEffect = true;
    EXPECT_EQ(bench.run({"template", "publish", "template"}), ExitCode::Accepted) << bench.out;
    EXPECT_EQ(bench.log.records.size(), 3U);
    EXPECT_EQ(bench.log.config().templates().size(), 1U);
    EXPECT_EQ(bench.log.config().history().size(), 1U);
}

TEST(ChangeCommands, TellsAnUnknownOutcomeFromAChangeThatWasNotMade)
{
    CliBench bench;
    bench.log.failuresLeft = 1000;
    EXPECT_EQ(bench.run({"template", "publish", "template", "--timeout", "200"}), ExitCode::Unknown);
    EXPECT_NE(bench.out.find("--change-id"), std::string::npos);
    bench.log.failure = ErrorKind::Unreachable;
    EXPECT_EQ(bench.run({"template", "publish", "template", "--timeout", "200"}), ExitCode::Unreachable);
    bench.log.failure = ErrorKind::Refused;
    EXPECT_EQ(bench.run({"template", "publish", "template"}), ExitCode::Unreachable);
    bench.log.isDown = true;
    EXPECT_EQ(bench.run({"template", "publish", "template"}), ExitCode::Unreachable);
    EXPECT_FALSE(bench.err.empty());
}

TEST(ChangeCommands, WaitsForEveryInstanceThatIsNamed)
{
    CliBench bench;
    int asked = 0;
    bench.daemons["127.0.0.1:11"] = [](const HttpRequest &request) {
        return changeAnswer(request, "accepted");
    };
    bench.daemons["127.0.0.1:12"] = [&asked](const HttpRequest &request) {
        return ++asked < 3 ? jsonResponse(404, "{}") : changeAnswer(request, "accepted");
    };
    EXPECT_EQ(bench.run({"template", "publish", "template", "--admin", "127.0.0.1:11,127.0.0.1:12"}), ExitCode::Accepted);
    EXPECT_EQ(asked, 3);
    EXPECT_EQ(bench.run({"account", "create", "account", "--admin", "127.0.0.1:11,127.0.0.1:13", "--timeout", "200"}),
        ExitCode::Unknown);
    EXPECT_NE(bench.out.find("127.0.0.1:13"), std::string::npos);
}

TEST(ChangeCommands, ReturnsOnceTheLogHasTheChange)
{
    CliBench bench;
    EXPECT_EQ(bench.run({"template", "publish", "template", "--no-wait"}), ExitCode::Accepted);
    EXPECT_EQ(bench.result()[0]["outcome"], "appended");
    EXPECT_EQ(bench.result()[0]["offset"], 0);
}

TEST(ChangeCommands, AddsDrainsAndRemovesRoutesAndBackendServers)
{
    CliBench bench;
    bench.files["route"] = R"({"id": "r", "pathPrefix": "/bookings", "service": "booking"})";
    bench.files["backend"]
        = R"([{"id": "b", "endpoint": "127.0.0.1:9", "dataCentre": "a", "kind": "service", "service": "booking"}])";
    EXPECT_EQ(bench.run({"route", "add", "route"}), ExitCode::Accepted) << bench.err << bench.out;
    EXPECT_EQ(bench.run({"backend", "add", "backend"}), ExitCode::Accepted) << bench.err << bench.out;
    EXPECT_EQ(bench.run({"backend", "drain", "b"}), ExitCode::Accepted) << bench.err << bench.out;
    EXPECT_TRUE(bench.log.config().findBackendServer(BackendServerId("b"))->value.leaving);
    EXPECT_EQ(bench.run({"backend", "drain", "x"}), ExitCode::Invalid);
    EXPECT_EQ(bench.run({"backend", "remove", "b"}), ExitCode::Accepted) << bench.err << bench.out;
    EXPECT_EQ(bench.run({"route", "remove", "r"}), ExitCode::Accepted) << bench.err << bench.out;
    EXPECT_EQ(bench.run({"route", "remove", "r"}), ExitCode::Invalid);
}

TEST(ChangeCommands, AppliesAFileInOrderOrNotAtAll)
{
    CliBench bench;
    const std::string publish = std::string(R"({"kind":"putTemplate","value":)") + templateText + "}";
    const std::string create = std::string(R"({"kind":"putClientAccount","value":)") + accountText + "}";
    bench.files["good"] = "[" + publish + "," + create + "]";
    bench.files["bad"] = "[" + create + "," + publish + "]";
    EXPECT_EQ(bench.run({"apply", "bad"}), ExitCode::Invalid);
    EXPECT_TRUE(bench.log.records.empty());
    EXPECT_EQ(bench.run({"apply", "good", "--expect-revision", "0"}), ExitCode::Invalid);
    EXPECT_EQ(bench.run({"apply", "good"}), ExitCode::Accepted) << bench.err << bench.out;
    EXPECT_EQ(bench.log.config().clientAccounts().size(), 1U);
}
