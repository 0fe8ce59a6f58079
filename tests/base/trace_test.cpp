#include <flamingosaddle/base/trace.h>

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace flamingosaddle;

namespace
{

constexpr const char *example = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

} // namespace

TEST(Traceparent, ParsesAndFormatsTheExampleOfTheStandard)
{
    const std::optional<TraceContext> context = TraceContext::parse(example);
    ASSERT_TRUE(context.has_value());
    EXPECT_EQ(context->traceId.hex(), "0af7651916cd43dd8448eb211c80319c");
    EXPECT_TRUE(context->sampled);
    EXPECT_EQ(context->format(), example);
}

TEST(Traceparent, RejectsInvalidValues)
{
    const std::string valid = example;
    EXPECT_FALSE(TraceContext::parse(valid + "-00").has_value());
    EXPECT_FALSE(TraceContext::parse("ff" + valid.substr(2)).has_value());
    EXPECT_FALSE(TraceContext::parse("00-00000000000000000000000000000000-b7ad6b7169203331-01").has_value());
    EXPECT_FALSE(TraceContext::parse("00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01").has_value());
    EXPECT_FALSE(TraceContext::parse("00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01").has_value());
    EXPECT_TRUE(TraceContext::parse("cc" + valid.substr(2) + "-later").has_value());
}

RC_GTEST_PROP(Traceparent, RoundTripsAndNeverMisreadsDamagedValues, (const std::string &bytes))
{
    const auto word = rc::gen::inRange<std::uint64_t>(1, UINT64_MAX);
    const TraceContext context{{*word, *word}, SpanId{*word}, *rc::gen::arbitrary<bool>()};
    RC_ASSERT(TraceContext::parse(context.format()) == context);

    std::string damaged = context.format();
    damaged.replace(*rc::gen::inRange<std::size_t>(0, damaged.size()), bytes.size(), bytes);
    const std::optional<TraceContext> read = TraceContext::parse(damaged);
    if (read.has_value() && damaged.substr(0, 2) == "00") {
        // An accepted value is formatted identically, except for unused flags.
        RC_ASSERT(read->format().substr(0, 53) == damaged.substr(0, 53));
    }
}

TEST(Tracer, RecordsSampledSpansUnderTheirParent)
{
    const PausedClock paused;
    std::vector<Span> spans;
    const Tracer tracer(
        [&spans](const Span &span) {
            spans.push_back(span);
        },
        0.0);
    const TraceContext parent = tracer.contextFromHeader(example);
    {
        ActiveSpan span(tracer, parent, "caller");
        span.addAttribute("model", "m");
        RuntimeClock::advance(std::chrono::milliseconds(5));
    }
    const ActiveSpan unsampled(tracer, tracer.contextFromHeader(""), "other");
    EXPECT_FALSE(unsampled.context().sampled);
    ASSERT_EQ(spans.size(), 1U);
    EXPECT_EQ(spans[0].parentId, parent.spanId);
    EXPECT_EQ(spans[0].end - spans[0].start, std::chrono::milliseconds(5));

    const nlohmann::json line = nlohmann::json::parse(otlpJsonLine(spans[0], "flamingosaddle", std::chrono::seconds(1)));
    const nlohmann::json &record = line["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
    EXPECT_EQ(record["traceId"], parent.traceId.hex());
    EXPECT_EQ(record["parentSpanId"], "b7ad6b7169203331");
    EXPECT_EQ(record["attributes"][0]["value"]["stringValue"], "m");
}
