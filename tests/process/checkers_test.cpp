#include "checkers.h"

#include "completionformat.h"

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace flamingosaddle::process;

namespace
{

constexpr const char *chatPath = "/v1/chat/completions";

Json run(const char *method, const char *requestId, const char *idempotencyKey, const char *end)
{
    return {{"method", method}, {"target", "/deposits"}, {"requestId", requestId}, {"idempotencyKey", idempotencyKey},
        {"headers", {{{"name", "Accept"}, {"value", "*/*"}}}}, {"body", ""}, {"end", end}};
}

Json audit(const std::vector<Json> &runs)
{
    Json result;
    result["runs"] = runs;
    return result;
}

std::string chat(const char *text)
{
    return Json{{"model", "m"}, {"max_tokens", 3}, {"stream", true}, {"messages", {{{"role", "user"}, {"content", text}}}}}
        .dump();
}

/** What an engine streams for the tokens @p indices of a request. */
std::string stream(const std::string &request, const std::vector<std::uint32_t> &indices, bool withEnd)
{
    const auto parsed = standins::parseGenerationRequest(chatPath, request);
    const standins::CompletionFormat format(parsed);
    std::string body;
    for (const std::uint32_t index : indices) {
        body += format.tokenEvent(standins::tokenText(parsed.mark, index));
    }
    return withEnd ? body + format.endEvents() : body;
}

Json order(const char *service, std::uint64_t epoch, const char *holder, const char *outcome = "applied")
{
    return {{"service", service}, {"dataCentre", "dc-a"}, {"count", 3}, {"cheap", false}, {"epoch", epoch}, {"holder", holder},
        {"outcome", outcome}};
}

Json report(
    std::uint64_t window, std::uint64_t requests, std::uint64_t epoch, const char *holder, const char *outcome = "applied")
{
    return {{"window", window}, {"counts", {{"c", requests}}}, {"epoch", epoch}, {"holder", holder}, {"outcome", outcome}};
}

} // namespace

TEST(CheckRunAtMostOnce, AcceptsDistinctAndRepeatableRuns)
{
    const std::vector<Json> runs = {run("POST", "r1", "k1", "whole"), run("POST", "r2", "", "whole"),
        run("GET", "r3", "", "whole"), run("GET", "r3", "", "whole"), run("POST", "r4", "", "notRun")};
    EXPECT_EQ(checkRunAtMostOnce({audit(runs), audit({run("POST", "r4", "", "whole")})}), Violations{});
}

TEST(CheckRunAtMostOnce, FindsASecondRunOnAnotherServer)
{
    const Json first = audit({run("POST", "r1", "", "answerLost")});
    EXPECT_EQ(checkRunAtMostOnce({first, audit({run("POST", "r1", "", "whole")})}).size(), 1U);
}

TEST(CheckRunAtMostOnce, FindsASecondRunOfAnIdempotencyKey)
{
    EXPECT_EQ(checkRunAtMostOnce({audit({run("POST", "r1", "k", "whole"), run("POST", "r2", "k", "running")})}).size(), 1U);
}

TEST(CheckNotRun, FindsARefusedRequestThatRan)
{
    const std::vector<Json> audits = {audit({run("POST", "r1", "", "cancelled"), run("POST", "r2", "", "notRun")})};
    EXPECT_EQ(checkNotRun(audits, {"r2", "r3"}), Violations{});
    EXPECT_EQ(checkNotRun(audits, {"r1"}).size(), 1U);
    EXPECT_EQ(checkNotRun(audits, {""}).size(), 1U);
}

TEST(CheckLost, FindsRunsOfRequestsWhoseConnectionWasClosed)
{
    const auto run = [](const std::string &target, const std::string &body, const std::string &end) {
        return Json{{"target", target}, {"body", body}, {"end", end}};
    };
    const std::vector<Json> audits{audit({run("/deposits/0-1", "{}", "answered"), run("/deposits/0-2", "{}", "notRun")}),
        audit({run("/chat", R"({"content":"0-12"})", "answered")})};
    EXPECT_EQ(checkLost(audits, {"0-1", "0-12"}).size(), 2U);
    EXPECT_EQ(checkLost(audits, {"0-2", "2"}), Violations{});
}

TEST(CheckNoKeySeen, FindsAKeyInHeaderTargetAndBody)
{
    Json inHeader = run("GET", "r1", "", "whole");
    inHeader["headers"].push_back({{"name", "Authorization"}, {"value", "Bearer secret-key"}});
    Json inTarget = run("GET", "r2", "", "whole");
    inTarget["target"] = "/deposits?key=secret-key";
    Json inBody = run("GET", "r3", "", "whole");
    inBody["body"] = "secret-key";
    const std::vector<Json> runs = {inHeader, inTarget, inBody, run("GET", "r4", "", "whole")};
    EXPECT_EQ(checkNoKeySeen({audit(runs)}, {"secret-key", "other-key"}).size(), 3U);
    EXPECT_EQ(checkNoKeySeen({audit(runs)}, {"other-key"}), Violations{});
}

TEST(CheckStreamedAnswer, AcceptsTheWholeAnswer)
{
    EXPECT_EQ(checkStreamedAnswer(chatPath, chat("a"), stream(chat("a"), {0, 1, 2}, true)), Violations{});
}

TEST(CheckStreamedAnswer, FindsATruncatedDoubledCrossedOrUnendedAnswer)
{
    EXPECT_EQ(checkStreamedAnswer(chatPath, chat("a"), stream(chat("a"), {0, 1}, true)).size(), 1U);
    EXPECT_EQ(checkStreamedAnswer(chatPath, chat("a"), stream(chat("a"), {0, 1, 1, 2}, true)).size(), 1U);
    EXPECT_EQ(checkStreamedAnswer(chatPath, chat("a"), stream(chat("b"), {0, 1, 2}, true)).size(), 1U);
    EXPECT_EQ(checkStreamedAnswer(chatPath, chat("a"), stream(chat("a"), {0, 1, 2}, false)).size(), 1U);
}

TEST(CheckPlainAnswer, FindsTheAnswerToAnotherRequest)
{
    const auto parsed = standins::parseGenerationRequest(chatPath, chat("a"));
    const std::string body = standins::CompletionFormat(parsed).whole(standins::answerText(parsed.mark, 0, 3));
    EXPECT_EQ(checkPlainAnswer(chatPath, chat("a"), body), Violations{});
    EXPECT_EQ(checkPlainAnswer(chatPath, chat("b"), body).size(), 1U);
    EXPECT_EQ(checkPlainAnswer(chatPath, chat("a"), "{}").size(), 1U);
}

TEST(CheckOrders, AcceptsHoldersThatFollowEachOther)
{
    const Json orders
        = {order("a", 3, "i1"), order("a", 3, "i1"), order("a", 4, "i2"), order("a", 3, "i1", "refused"), order("b", 3, "i1")};
    EXPECT_EQ(checkOrders(orders), Violations{});
}

TEST(CheckOrders, FindsTwoHoldersAndOldEpochs)
{
    EXPECT_EQ(checkOrders({order("a", 3, "i1"), order("a", 3, "i2")}).size(), 1U);
    EXPECT_EQ(checkOrders({order("a", 4, "i1"), order("a", 3, "i2")}).size(), 1U);
}

TEST(CheckUsageReports, AcceptsTheSameFigureAgain)
{
    EXPECT_EQ(checkUsageReports(
                  {report(60, 9, 1, "i1"), report(60, 9, 2, "i2"), report(120, 5, 2, "i2"), report(120, 4, 1, "i1", "refused")}),
        Violations{});
}

TEST(CheckUsageReports, FindsDifferentFiguresTwoHoldersAndOldEpochs)
{
    EXPECT_EQ(checkUsageReports({report(60, 9, 1, "i1"), report(60, 8, 1, "i1")}).size(), 1U);
    EXPECT_EQ(checkUsageReports({report(60, 9, 1, "i1"), report(120, 9, 1, "i2")}).size(), 1U);
    EXPECT_EQ(checkUsageReports({report(60, 9, 2, "i2"), report(120, 9, 1, "i1")}).size(), 1U);
}

TEST(Checkers, FindAServerThatGotRequestsDuringAPause)
{
    const Json twoRuns = audit({{{"arrivalMs", 100}}, {{"arrivalMs", 200}}});
    EXPECT_EQ(checkArrivals(twoRuns, std::chrono::milliseconds(201), 0), Violations{});
    EXPECT_EQ(checkArrivals(twoRuns, std::chrono::milliseconds(150), 1), Violations{});
    EXPECT_EQ(checkArrivals(twoRuns, std::chrono::milliseconds(150), 0).size(), 1U);
}

TEST(Checkers, FindAStreamThatWentOnAtAnotherSoftwareVersion)
{
    const auto part = [](const std::string &request, int arrival, int tokens, bool resumes) {
        return Json{{"requestId", request}, {"arrivalMs", arrival}, {"tokens", tokens},
            {"body", resumes ? R"({"flamingosaddle_resume_tokens":3})" : "{}"}};
    };
    const Json begun = audit({part("r", 1, 3, false)});
    EXPECT_EQ(checkStreamVersions(begun, audit({part("r", 2, 3, true)})).size(), 1U);
    EXPECT_EQ(checkStreamVersions(begun, audit({part("r", 2, 3, false)})), Violations{}) << "it began anew";
    EXPECT_EQ(checkStreamVersions(begun, audit({part("other", 2, 3, true)})), Violations{});
    EXPECT_EQ(checkStreamVersions(audit({part("r", 1, 3, false), part("r", 2, 3, true)}), audit({})), Violations{});
}

TEST(Checkers, FindAServerThatGotMoreThanItsRateLimitAllows)
{
    const auto arrivals = [](const std::vector<int> &times) {
        std::vector<Json> runs;
        runs.reserve(times.size());
        for (const int time : times) {
            runs.push_back({{"arrivalMs", time}});
        }
        return audit(runs);
    };
    // 1 a second allows 11 in 4 s.
    const std::vector<int> eleven{0, 100, 200, 300, 400, 500, 600, 700, 800, 900, 3999};
    std::vector<int> twelve = eleven;
    twelve.push_back(3900);
    std::vector<int> later = eleven;
    later.push_back(4000);
    EXPECT_EQ(checkRateLimit(arrivals(eleven), 1.0, std::chrono::milliseconds(0)), Violations{});
    EXPECT_EQ(checkRateLimit(arrivals(later), 1.0, std::chrono::milliseconds(0)), Violations{});
    EXPECT_EQ(checkRateLimit(arrivals(twelve), 1.0, std::chrono::milliseconds(0)).size(), 1U);
    EXPECT_EQ(checkRateLimit(arrivals(twelve), 1.0, std::chrono::milliseconds(1)), Violations{}) << "before it binds";
}
