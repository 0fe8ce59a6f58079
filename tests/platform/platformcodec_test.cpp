#include <flamingosaddle/platform/platformcodec.h>

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace flamingosaddle;

TEST(PlatformCodec, ReadsABatch)
{
    const auto batch = platformcodec::decodeLogBatch(
        R"({"first":3,"next":9,"head":12,"records":[{"offset":7,"body":"a"},{"offset":8,"body":"b"}]})");
    ASSERT_TRUE(batch.has_value());
    EXPECT_EQ(batch.value(), (LogBatch{3, 9, 12, {{7, "a"}, {8, "b"}}}));
}

TEST(PlatformCodec, RefusesBatchesThatMiscountOrMistype)
{
    for (const char *body : {
             R"({"first":0,"next":9,"head":12,"records":[{"offset":8,"body":"a"},{"offset":8,"body":"b"}]})",
             R"({"first":0,"next":8,"head":12,"records":[{"offset":8,"body":"a"}]})",
             R"({"first":9,"next":10,"head":12,"records":[{"offset":8,"body":"a"}]})",
             R"({"first":-1,"next":9,"head":12,"records":[]})",
             R"({"first":0,"next":9,"head":12,"records":[{"offset":8,"body":7}]})",
             R"({"first":0,"next":9,"head":12,"records":[5]})",
             R"({"first":0,"next":9,"head":12})",
             "[]",
             "",
         }) {
        const auto batch = platformcodec::decodeLogBatch(body);
        ASSERT_TRUE(batch.has_error()) << body;
        EXPECT_EQ(batch.error().kind(), ErrorKind::Protocol) << body;
    }
}

TEST(PlatformCodec, ReadsInstancesAndMachines)
{
    const auto instances = platformcodec::decodeInstances(
        R"({"instances":[{"id":"i1","peerAddress":"127.0.0.1:9","dataCentre":"a","leaving":true}]})");
    ASSERT_TRUE(instances.has_value());
    EXPECT_EQ(instances.value().front(), (InstanceEntry{InstanceId("i1"), "127.0.0.1:9", DataCentre("a"), true}));
    const auto machines = platformcodec::decodeMachines(
        R"({"machines":[{"id":"m","address":"127.0.0.1:9","dataCentre":"a","model":"x","cheap":true,"reclaimNotice":false,)"
        R"("orderId":"o"}]})");
    ASSERT_TRUE(machines.has_value());
    EXPECT_EQ(machines.value().front(), (BackendMachine{"m", "127.0.0.1:9", DataCentre("a"), "x", true, false, "o"}));
}

TEST(PlatformCodec, ToldErrorsSayWhetherTheActionMayHaveTakenEffect)
{
    EXPECT_EQ(platformcodec::errorOf(409, R"({"error":{"kind":"fenced","message":"old"}})").kind(), ErrorKind::Refused);
    EXPECT_EQ(platformcodec::errorOf(503, "").kind(), ErrorKind::Unavailable);
    EXPECT_EQ(platformcodec::errorOf(302, "").kind(), ErrorKind::Protocol);
    const Error trimmed = platformcodec::errorOf(410, R"({"first":17,"error":{}})");
    EXPECT_EQ(trimmed.kind(), ErrorKind::Trimmed);
    EXPECT_NE(trimmed.message().find("17"), std::string::npos);
    EXPECT_EQ(platformcodec::errorOf(410, "{}").kind(), ErrorKind::Protocol);
}

TEST(PlatformCodec, WritesOrdersAndReportsThatReadBackAsJson)
{
    PlatformOrder order;
    order.id = "o\xff";
    order.kind = OrderKind::LoadModel;
    order.fencing = 7;
    const auto json = nlohmann::json::parse(platformcodec::encodeOrder(order));
    EXPECT_EQ(json["kind"], "loadModel");
    EXPECT_EQ(json["fencing"], 7);
    UsageReport report;
    report.clientAccount = "bakers";
    report.completionTokens = 12;
    EXPECT_EQ(nlohmann::json::parse(platformcodec::encodeUsageReport(report))["completionTokens"], 12);
}

TEST(PlatformCodec, SurvivesAnyBytes)
{
    EXPECT_TRUE(rc::check("decoders answer a value or an error", [](const std::string &bytes, int status) {
        (void)platformcodec::decodeAppended(bytes);
        (void)platformcodec::decodeLogBatch(bytes);
        (void)platformcodec::decodeInstances(bytes);
        (void)platformcodec::decodeMachines(bytes);
        (void)platformcodec::errorOf(status, bytes);
    }));
}
