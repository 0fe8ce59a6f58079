#include "checkers.h"
#include "standin.h"

#include <gtest/gtest.h>

#include <csignal>

using namespace flamingosaddle;
using namespace flamingosaddle::process;

namespace
{

constexpr const char *chatPath = "/v1/chat/completions";

ChildCommand engine(std::vector<std::string> flags = {})
{
    std::vector<std::string> arguments{"--kind", "engine", "--model", "m"};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    return {.program = STANDIN_BACKEND, .arguments = arguments, .environment = {}};
}

ChildCommand platform()
{
    return {.program = STANDIN_PLATFORM, .arguments = {}, .environment = {}};
}

HttpRequest chat(const std::string &text, unsigned tokens, bool stream)
{
    const Json message = {{"role", "user"}, {"content", text}};
    return postRequest(
        chatPath, {{"model", "m"}, {"stream", stream}, {"max_tokens", tokens}, {"messages", Json::array({message})}});
}

HttpRequest append(const char *stream, const std::string &body)
{
    HttpRequest request = postRequest(std::string("/log/") + stream, nullptr);
    request.body = body;
    return request;
}

Json get(const Standin &standin, const std::string &target)
{
    return jsonOf(call(standin.address, getRequest(target)));
}

} // namespace

TEST(StandinPlatform, ServesTheLog)
{
    const Standin standin(platform());
    EXPECT_EQ(jsonOf(call(standin.address, append("config", "a"))).at("offset"), 0);
    EXPECT_EQ(jsonOf(call(standin.address, append("config", "b"))).at("offset"), 1);
    const Json batch = get(standin, "/log/config?from=1&waitMs=0");
    EXPECT_EQ(batch, Json::parse(R"({"first":0,"next":2,"head":2,"records":[{"offset":1,"body":"b"}]})"));
    jsonOf(call(standin.address, postRequest("/admin/trim", {{"stream", "config"}, {"first", 1}})));
    const auto trimmed = call(standin.address, getRequest("/log/config?from=0&waitMs=0"));
    EXPECT_EQ(trimmed.value().status, 410);
    EXPECT_EQ(Json::parse(trimmed.value().body).at("first"), 1);
}

TEST(StandinPlatform, WakesAReaderThatWaitsForARecord)
{
    const Standin standin(platform());
    TestConnection reader(standin.address);
    ASSERT_TRUE(reader.send(getRequest("/log/config?from=0&waitMs=8000")).has_value());
    EXPECT_TRUE(reader.readHead(std::chrono::milliseconds(50)).has_error());
    TestConnection second(standin.address);
    ASSERT_TRUE(second.send(getRequest("/log/config?from=0&waitMs=8000")).has_value());
    jsonOf(call(standin.address, append("config", "a")));
    ASSERT_TRUE(second.readHead().has_value());
    const auto rest = second.readRest();
    EXPECT_EQ(Json::parse(rest.value()).at("records").size(), 1U);
}

TEST(StandinPlatform, LosesTheAnswerAfterTheEffectAndGoesDown)
{
    const Standin standin(platform());
    standin.setFaults({{"log", {{"loseAnswers", 1}}}});
    EXPECT_TRUE(call(standin.address, append("config", "a")).has_error());
    EXPECT_EQ(get(standin, "/log/config?from=0").at("head"), 1);
    standin.setFaults({{"log", {{"down", true}}}});
    EXPECT_TRUE(call(standin.address, append("config", "b")).has_error());
    EXPECT_EQ(get(standin, "/instances").at("instances").size(), 0U);
    standin.setFaults({{"log", {{"down", false}}}});
    EXPECT_EQ(get(standin, "/admin/audit").at("appends").size(), 1U);
}

TEST(StandinPlatform, RefusesABodyThatLacksAField)
{
    const Standin standin(platform());
    EXPECT_EQ(call(standin.address, postRequest("/usage-reports", {{"window", 1}})).value().status, 400);
    EXPECT_EQ(call(standin.address, append("config", "\xff")).value().status, 400);
    const auto refused = call(standin.address, postRequest("/usage-reports", nullptr));
    EXPECT_EQ(Json::parse(refused.value().body).at("error").at("kind"), "invalid_request");
}

TEST(StandinBackend, StreamsAndAnswersWhole)
{
    const Standin standin(engine({"--token-interval-us", "200"}));
    const HttpRequest streamed = chat("a", 50, true);
    EXPECT_EQ(checkStreamedAnswer(chatPath, streamed.body, call(standin.address, streamed).value().body), Violations{});
    const HttpRequest plain = chat("b", 50, false);
    EXPECT_EQ(checkPlainAnswer(chatPath, plain.body, call(standin.address, plain).value().body), Violations{});
    const Json runs = get(standin, "/admin/audit").at("runs");
    EXPECT_EQ(runs.at(0).at("tokens"), 50);
    EXPECT_EQ(runs.at(1).at("end"), "whole");
}

TEST(StandinBackend, RunsOnlyAsManyAsItHasSlots)
{
    const Standin standin(engine({"--slots", "1"}));
    TestConnection first(standin.address);
    ASSERT_TRUE(first.send(chat("[[stall]]", 4, true)).has_value());
    ASSERT_TRUE(first.readHead().has_value());
    TestConnection second(standin.address);
    ASSERT_TRUE(second.send(chat("b", 4, true)).has_value());
    EXPECT_TRUE(second.readHead(std::chrono::milliseconds(100)).has_error());
    EXPECT_EQ(get(standin, "/load").at("running"), 1);
}

TEST(StandinBackend, TruncatesBreaksOffAndCrashes)
{
    Standin standin(engine());
    EXPECT_TRUE(call(standin.address, chat("[[truncate]]", 10, true)).has_error());
    standin.setFaults({{"truncateAfter", 2}, {"truncateCleanly", true}});
    const HttpRequest cut = chat("a", 10, true);
    EXPECT_EQ(checkStreamedAnswer(chatPath, cut.body, call(standin.address, cut).value().body).size(), 2U);
    standin.setFaults({{"truncateAfter", nullptr}, {"loseAnswer", 1}});
    EXPECT_TRUE(call(standin.address, cut).has_error());
    EXPECT_EQ(get(standin, "/admin/audit").at("runs").at(2).at("end"), "answerLost");
    EXPECT_TRUE(call(standin.address, chat("[[crash]]", 10, true)).has_error());
    EXPECT_EQ(standin.process.waitForEnd(std::chrono::seconds(5)), 70);
}

TEST(StandinBackend, CountsEveryRunOfAPlainCall)
{
    const Standin standin(ChildCommand{.program = STANDIN_BACKEND, .arguments = {"--kind", "service"}, .environment = {}});
    HttpRequest deposit = postRequest("/deposits/1", {{"amount", 5}});
    deposit.headers.set("Idempotency-Key", "k");
    EXPECT_EQ(jsonOf(call(standin.address, deposit)).at("runsOfIdempotencyKey"), 1);
    EXPECT_EQ(jsonOf(call(standin.address, deposit)).at("runsOfIdempotencyKey"), 2);
    standin.setFaults({{"closeBeforeAnswer", 1}});
    EXPECT_TRUE(call(standin.address, deposit).has_error());
    EXPECT_EQ(checkRunAtMostOnce({get(standin, "/admin/audit")}).size(), 2U);
}

TEST(StandinBackend, EndsOnSigtermAlsoWithARequestInFlight)
{
    Standin standin(engine());
    TestConnection connection(standin.address);
    ASSERT_TRUE(connection.send(chat("[[stall]]", 4, true)).has_value());
    ASSERT_TRUE(connection.readHead().has_value());
    standin.process.signal(SIGTERM);
    EXPECT_EQ(standin.process.waitForEnd(std::chrono::seconds(5)), 0);
}
