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

/** An append of one short record. */
HttpRequest append(const std::string &topic, const std::string &record, const std::string &condition = "")
{
    HttpRequest request = postRequest("/-/log-append?topic=" + topic + "&part=0" + condition, nullptr);
    request.body = std::string(3, '\0') + static_cast<char>(record.size()) + record;
    return request;
}

std::string readTarget(unsigned from)
{
    return "/-/log-read?topic=t&part=0&from=" + std::to_string(from);
}

/** The answer to a read that found one short record. */
std::string batch(char end, char first, const std::string &record)
{
    const std::string offsets = std::string(7, '\0') + end + std::string(7, '\0') + first;
    return offsets + std::string(3, '\0') + static_cast<char>(record.size()) + record;
}

Json get(const Standin &standin, const std::string &target)
{
    return jsonOf(call(standin.address, getRequest(target)));
}

} // namespace

TEST(StandinPlatform, ServesTheLog)
{
    const Standin standin(platform());
    EXPECT_EQ(jsonOf(call(standin.address, append("t", "a"))).at("offset"), 0);
    EXPECT_EQ(jsonOf(call(standin.address, append("t", "b"))).at("offset"), 1);
    EXPECT_EQ(call(standin.address, append("t", "c", "&at=1")).value().status, 412);
    EXPECT_EQ(call(standin.address, getRequest(readTarget(1))).value().body, batch(2, 0, "b"));
    jsonOf(call(standin.address, postRequest("/admin/trim", {{"topic", "t"}, {"first", 1}})));
    const auto trimmed = call(standin.address, getRequest(readTarget(0)));
    EXPECT_EQ(trimmed.value().status, 410);
    EXPECT_EQ(Json::parse(trimmed.value().body).at("start_offset"), 1);
}

TEST(StandinPlatform, WakesAReaderThatWaitsForARecord)
{
    const Standin standin(platform());
    TestConnection reader(standin.address);
    ASSERT_TRUE(reader.send(getRequest(readTarget(0) + "&wait_ms=8000")).has_value());
    EXPECT_TRUE(reader.readHead(std::chrono::milliseconds(50)).has_error());
    TestConnection second(standin.address);
    ASSERT_TRUE(second.send(getRequest(readTarget(0) + "&wait_ms=8000")).has_value());
    jsonOf(call(standin.address, append("t", "a")));
    ASSERT_TRUE(second.readHead().has_value());
    EXPECT_EQ(second.readRest().value(), batch(1, 0, "a"));
}

TEST(StandinPlatform, LosesTheAnswerAfterTheEffectAndGoesDown)
{
    const Standin standin(platform());
    standin.setFaults({{"log", {{"loseAnswers", 1}}}});
    EXPECT_TRUE(call(standin.address, append("t", "a")).has_error());
    EXPECT_EQ(call(standin.address, getRequest(readTarget(0))).value().body, batch(1, 0, "a"));
    standin.setFaults({{"log", {{"down", true}}}});
    EXPECT_TRUE(call(standin.address, append("t", "b")).has_error());
    standin.setFaults({{"log", {{"down", false}}}});
    EXPECT_EQ(get(standin, "/admin/audit").at("appends").size(), 1U);
}

TEST(StandinPlatform, RefusesWhatItCannotRead)
{
    const Standin standin(platform());
    EXPECT_EQ(call(standin.address, postRequest("/usage", {{"window_id", 1}})).value().status, 400);
    HttpRequest torn = append("t", "abc");
    torn.body.pop_back();
    EXPECT_EQ(call(standin.address, torn).value().status, 400);
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
