#include "backendfaults.h"
#include "completionformat.h"
#include "generation.h"
#include "runaudit.h"

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace flamingosaddle::standins;

namespace
{

std::string chatBody(const std::string &text)
{
    return Json{{"model", "m"}, {"max_tokens", 3}, {"stream", true}, {"messages", {{{"role", "user"}, {"content", text}}}}}
        .dump();
}

} // namespace

TEST(Generation, TextFollowsFromThePromptAlone)
{
    const GenerationRequest first = parseGenerationRequest("/v1/chat/completions", chatBody("a"));
    const GenerationRequest second = parseGenerationRequest("/v1/chat/completions", chatBody("b"));
    EXPECT_NE(first.mark, second.mark);
    EXPECT_EQ(first, parseGenerationRequest("/v1/chat/completions", chatBody("a")));
    EXPECT_EQ(answerText("ab", 1, 3), "ab-1 ab-2 ");
    EXPECT_EQ(answerText("ab", 0, 1) + answerText("ab", 1, 3), answerText("ab", 0, 3));
}

TEST(Generation, FindsTheFaultThatIsMarked)
{
    EXPECT_EQ(parseGenerationRequest("/v1/chat/completions", chatBody("x [[crash]]")).fault, RequestFault::Crash);
    EXPECT_EQ(parseGenerationRequest("/v1/chat/completions", chatBody("x")).fault, RequestFault::None);
}

TEST(CompletionFormat, EveryEventIsJson)
{
    const CompletionFormat format(parseGenerationRequest("/v1/chat/completions", chatBody("a")));
    const std::string event = format.tokenEvent("t-0 ");
    ASSERT_TRUE(event.starts_with("data: ") && event.ends_with("\n\n"));
    const Json json = Json::parse(event.substr(6));
    EXPECT_EQ(json.at("choices")[0].at("delta").at("content"), "t-0 ");
    EXPECT_TRUE(format.endEvents().ends_with("data: [DONE]\n\n"));
    EXPECT_EQ(Json::parse(format.whole("t")).at("choices")[0].at("message").at("content"), "t");
}

TEST(BackendFaults, SetsOnlyWhatIsNamed)
{
    BackendFaults faults;
    faults.set({{"truncateAfter", 4}, {"loseAnswer", 1}, {"rateLimit", 1.5}});
    faults.set({{"truncateAfter", nullptr}, {"slowFactor", 2.0}});
    EXPECT_EQ(faults.rateLimit, 1.5);
    EXPECT_EQ(faults.truncateAfter, std::nullopt);
    EXPECT_TRUE(takeOne(faults.loseAnswer));
    EXPECT_FALSE(takeOne(faults.loseAnswer));
    EXPECT_EQ(faults.slowFactor, 2.0);
}

TEST(RunAudit, KeepsWhatWasReceivedAndHowItEnded)
{
    RunAudit audit;
    HttpRequest request;
    request.headers.add("X-Request-Id", "r1");
    const RunAudit::Run run = audit.begin(request);
    audit.countToken(run);
    audit.end(run, RunEnd::Cancelled);
    const Json json = audit.json();
    EXPECT_EQ(json[0].at("requestId"), "r1");
    EXPECT_EQ(json[0].at("tokens"), 1);
    EXPECT_EQ(json[0].at("end"), "cancelled");
}
