#include "fakes.h"

#include <flamingosaddle/base/hash.h>

#include <gtest/gtest.h>

using namespace flamingosaddle;

namespace
{

void publishAccount(CliBench &bench)
{
    ASSERT_EQ(bench.run({"template", "publish", "template"}), ExitCode::Accepted) << bench.err << bench.out;
    ASSERT_EQ(bench.run({"account", "create", "account"}), ExitCode::Accepted) << bench.err << bench.out;
}

} // namespace

TEST(KeyCommands, PrintsTheKeyOnceAndLogsItsDigestOnly)
{
    CliBench bench;
    publishAccount(bench);
    ASSERT_EQ(bench.run({"key", "give", "bakers", "--key-id", "k1"}), ExitCode::Accepted) << bench.err << bench.out;
    const std::string key = bench.result()["key"];
    EXPECT_EQ(key.size(), 64U);
    EXPECT_EQ(bench.result()["keyId"], "k1");
    const auto config = bench.log.config();
    const auto *given = config.findKey(KeyId("k1"));
    ASSERT_NE(given, nullptr);
    EXPECT_EQ(given->value.digest, KeyDigest::of(key, bench.variables["FLAMINGOSADDLE_KEY_SECRET"]));
    for (const std::string &record : bench.log.records) {
        EXPECT_EQ(record.find(key), std::string::npos);
    }
    EXPECT_EQ(bench.run({"show"}), ExitCode::Accepted);
    EXPECT_EQ(bench.out.find(given->value.digest.hex()), std::string::npos);
}

TEST(KeyCommands, ARepetitionNeverPrintsAKeyThatIsNotInForce)
{
    CliBench bench;
    publishAccount(bench);
    ASSERT_EQ(bench.run({"key", "give", "bakers", "--key-id", "k1", "--change-id", "g"}), ExitCode::Accepted);
    EXPECT_EQ(bench.run({"key", "give", "bakers", "--key-id", "k1", "--change-id", "g"}), ExitCode::Conflict);
    EXPECT_EQ(bench.out, "");
    EXPECT_EQ(bench.run({"key", "give", "bakers", "--change-id", "g"}), ExitCode::Conflict);
    EXPECT_EQ(bench.out, "");
}

TEST(KeyCommands, NeedsTheSecretAndAKnownAccount)
{
    CliBench bench;
    EXPECT_EQ(bench.run({"key", "give", "bakers"}), ExitCode::Invalid);
    EXPECT_EQ(bench.out.find("\"key\""), std::string::npos);
    bench.variables["FLAMINGOSADDLE_KEY_SECRET"] = "short";
    EXPECT_EQ(bench.run({"key", "give", "bakers"}), ExitCode::Invalid);
    EXPECT_NE(bench.err.find("FLAMINGOSADDLE_KEY_SECRET"), std::string::npos);
}

TEST(KeyCommands, WithdrawsInTheLogAndOnEachInstance)
{
    CliBench bench;
    publishAccount(bench);
    ASSERT_EQ(bench.run({"key", "give", "bakers", "--key-id", "k1"}), ExitCode::Accepted);
    std::string handed;
    bench.daemons["127.0.0.1:11"] = [&handed](const HttpRequest &request) {
        if (request.method == "POST") {
            handed = request.target + request.body;
            return jsonResponse(200, "{}");
        }
        return jsonResponse(200, R"({"offset":3,"outcome":"accepted","detail":""})");
    };
    EXPECT_EQ(bench.run({"key", "withdraw", "k1", "--admin", "127.0.0.1:11"}), ExitCode::Accepted) << bench.out;
    EXPECT_EQ(handed, R"(/v1/tombstones{"id":"k1"})");
    EXPECT_EQ(bench.result()["log"][0]["outcome"], "accepted");
    EXPECT_EQ(bench.result()["instances"][0]["outcome"], "withdrawn");
    EXPECT_TRUE(bench.log.config().isWithdrawn(KeyId("k1")));
}

TEST(KeyCommands, WithdrawsOnInstancesWhileTheLogIsDown)
{
    CliBench bench;
    bench.log.isDown = true;
    bench.daemons["127.0.0.1:11"] = [](const HttpRequest &) {
        return jsonResponse(200, "{}");
    };
    EXPECT_EQ(
        bench.run({"key", "withdraw", "k1", "--admin", "127.0.0.1:11,127.0.0.1:12", "--timeout", "300"}), ExitCode::Unreachable);
    EXPECT_EQ(bench.result()["instances"][0]["outcome"], "withdrawn");
    EXPECT_EQ(bench.result()["instances"][1]["outcome"], "not-withdrawn");
    EXPECT_EQ(bench.result()["log"][0]["outcome"], "not-appended");
}
