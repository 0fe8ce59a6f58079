#include "fakes.h"

#include <gtest/gtest.h>

using namespace flamingosaddle;

TEST(Queries, ShowTheHeadOfTheLogOrWhatADaemonHasInForce)
{
    CliBench bench;
    ASSERT_EQ(bench.run({"template", "publish", "template"}), ExitCode::Accepted);
    ASSERT_EQ(bench.run({"show", "templates"}), ExitCode::Accepted) << bench.err;
    EXPECT_EQ(bench.result()[0]["name"], "bakery");
    EXPECT_EQ(bench.result()[0]["revision"], 1);
    ASSERT_EQ(bench.run({"history", "--output", "table"}), ExitCode::Accepted);
    EXPECT_NE(bench.out.find("accepted"), std::string::npos);
    bench.daemons["127.0.0.1:11"] = [](const HttpRequest &) {
        return jsonResponse(200, encodeConfigSnapshot(ConfigState()));
    };
    ASSERT_EQ(bench.run({"show", "--admin", "127.0.0.1:10,127.0.0.1:11"}), ExitCode::Accepted) << bench.err;
    EXPECT_EQ(bench.result()["nextOffset"], 0);
    EXPECT_TRUE(bench.result()["templates"].empty());
}

TEST(Queries, StatusListsEveryInstanceAlsoThoseThatDoNotAnswer)
{
    CliBench bench;
    bench.daemons["127.0.0.1:11"] = [](const HttpRequest &) {
        return jsonResponse(200, R"({"instance":"i","configOffset":7})");
    };
    ASSERT_EQ(bench.run({"status", "--admin", "127.0.0.1:11,127.0.0.1:12"}), ExitCode::Accepted);
    EXPECT_EQ(bench.result()[0]["configOffset"], 7);
    EXPECT_TRUE(bench.result()[1].contains("error"));
    EXPECT_EQ(bench.run({"status", "--admin", "127.0.0.1:12"}), ExitCode::Unreachable);
    EXPECT_EQ(bench.run({"status"}), ExitCode::Invalid);
    EXPECT_EQ(bench.run({"leases", "--admin", "127.0.0.1:12"}), ExitCode::Unreachable);
}

TEST(Queries, SurviveAnswersThatAreNoJsonOrNoSnapshot)
{
    CliBench bench;
    std::string body = "<html>";
    bench.daemons["127.0.0.1:11"] = [&body](const HttpRequest &) {
        return jsonResponse(200, body);
    };
    EXPECT_NE(bench.run({"show", "--admin", "127.0.0.1:11"}), ExitCode::Accepted);
    body = "{}";
    EXPECT_NE(bench.run({"show", "--admin", "127.0.0.1:11"}), ExitCode::Accepted);
    body = "[1]";
    EXPECT_EQ(bench.run({"usage", "--admin", "127.0.0.1:11"}), ExitCode::Accepted);
    EXPECT_EQ(bench.run({"show", "everything"}), ExitCode::Invalid);
}
