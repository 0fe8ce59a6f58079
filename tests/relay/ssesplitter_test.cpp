#include <flamingosaddle/relay/ssesplitter.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace flamingosaddle;

namespace
{

std::string token(const std::string &text)
{
    return R"(data: {"choices":[{"index":0,"delta":{"content":")" + text
        + R"("},"finish_reason":null}]})"
          "\n\n";
}

const std::string opening = R"(data: {"choices":[{"delta":{"role": "assistant", "content": ""}, "finish_reason": null}]})"
                            "\n\n";
const std::string finish = R"(data: {"choices":[{"delta":{},"finish_reason": "stop"}]})"
                           "\r\n\r\n";
const std::string usage = R"(data: {"choices":[],"usage":{"completion_tokens":2}})"
                          "\n\n";
const std::string done = "data: [DONE]\n\n";

struct ParseResult {
    std::string events;
    std::uint64_t tokens = 0;
    bool isDone = false;
};

/** Feeds a text in pieces that end at the given positions. */
ParseResult feedInPieces(const std::string &text, std::vector<std::size_t> ends)
{
    SseSplitter splitter;
    ParseResult result;
    ends.push_back(text.size());
    std::sort(ends.begin(), ends.end());
    std::size_t start = 0;
    for (const std::size_t end : ends) {
        const SseSplitter::Batch batch = splitter.feed(std::string_view(text).substr(start, end - start));
        result.events += batch.events;
        result.tokens += batch.tokens;
        start = end;
    }
    result.isDone = splitter.isDone();
    return result;
}

} // namespace

TEST(SseSplitter, CountsTokensAndOmitsTheDoneEvent)
{
    const std::string events = ": comment\n\n" + opening + token("a") + token("b") + finish + usage;
    const ParseResult result = feedInPieces(events + done + "data: late\n\n", {});
    EXPECT_EQ(result.events, events);
    EXPECT_EQ(result.tokens, 2U);
    EXPECT_TRUE(result.isDone);
}

TEST(SseSplitter, KeepsTheUsageReport)
{
    SseSplitter splitter;
    splitter.feed(token("a") + usage + done);
    EXPECT_EQ(splitter.usage(), R"({"choices":[],"usage":{"completion_tokens":2}})");
}

TEST(SseSplitter, JsonNamesInsideATokenTextAreIgnored)
{
    EXPECT_EQ(feedInPieces(token(R"(\"finish_reason\":\"stop\" [DONE])"), {}).tokens, 1U);
}

TEST(SseSplitter, DetectsAnEventThatIsTooLarge)
{
    SseSplitter splitter;
    const std::string part(SseSplitter::maxEventBytes / 2, 'x');
    splitter.feed(part);
    splitter.feed(part);
    EXPECT_FALSE(splitter.isEventTooLarge());
    splitter.feed(part);
    EXPECT_TRUE(splitter.isEventTooLarge());
}

RC_GTEST_PROP(SseSplitter, TheResultDoesNotDependOnPieceBoundaries, ())
{
    const auto parts = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element(token("a"), token("b"), opening, finish, usage, std::string(": ping\n\n"), std::string("\r\n"), done));
    std::string text;
    for (const std::string &part : parts) {
        text += part;
    }
    const auto ends = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, text.size() + 1));
    const ParseResult whole = feedInPieces(text, {});
    const ParseResult cut = feedInPieces(text, ends);
    RC_ASSERT(cut.events == whole.events);
    RC_ASSERT(cut.tokens == whole.tokens);
    RC_ASSERT(cut.isDone == whole.isDone);
}

RC_GTEST_PROP(SseSplitter, ArbitraryBytesAreUnchangedUpToTheLastCompleteEvent, (const std::vector<std::string> &pieces))
{
    SseSplitter splitter;
    std::string in;
    std::string out;
    for (const std::string &piece : pieces) {
        in += piece + "\n";
        out += splitter.feed(piece + "\n").events;
    }
    RC_ASSERT(in.starts_with(out));
    RC_ASSERT(
        out.empty() || out.ends_with("\n\n") || out.ends_with("\n\r\n") || out.starts_with("\n") || out.starts_with("\r\n"));
}
