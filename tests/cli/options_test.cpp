#include "fakes.h"

#include <gtest/gtest.h>

using namespace flamingosaddle;

namespace
{

std::optional<std::string> noVariable(const std::string &)
{
    return std::nullopt;
}

} // namespace

TEST(Options, ReadsFlagsAndWordsInAnyOrder)
{
    const auto parsed = parseInvocation({"--platform", "127.0.0.1:7", "account", "--admin=127.0.0.1:8,127.0.0.1:9", "set", "f",
                                            "--expect-revision", "3", "--no-wait", "--output", "table", "--timeout", "50"},
        noVariable);
    ASSERT_TRUE(parsed.has_value()) << parsed.error().text();
    EXPECT_EQ(parsed.value().words, (std::vector<std::string>{"account", "set", "f"}));
    const CliOptions &options = parsed.value().options;
    EXPECT_EQ(options.platform, (Endpoint{"127.0.0.1", 7}));
    EXPECT_EQ(options.admins.size(), 2U);
    EXPECT_EQ(options.expectedRevision, 3U);
    EXPECT_FALSE(options.wait);
    EXPECT_EQ(options.output, OutputFormat::Table);
    EXPECT_EQ(options.timeout, std::chrono::milliseconds(50));
}

TEST(Options, FlagsGoBeforeTheEnvironment)
{
    const auto environment = [](const std::string &name) -> std::optional<std::string> {
        return name == "FLAMINGOSADDLE_PLATFORM" ? std::optional<std::string>("127.0.0.1:5") : std::nullopt;
    };
    EXPECT_EQ(parseInvocation({"show"}, environment).value().options.platform->port, 5);
    EXPECT_EQ(parseInvocation({"show", "--platform", "127.0.0.1:6"}, environment).value().options.platform->port, 6);
}

TEST(Options, RefusesWhatItCannotRead)
{
    const std::vector<std::vector<std::string>> faulty = {
        {"--platform", "localhost:1"},
        {"--admin", "127.0.0.1:1,x"},
        {"--output", "xml"},
        {"--timeout", "0"},
        {"--timeout", "soon"},
        {"--expect-revision", "-x"},
        {"--change-id", "a/b"},
        {"--change-id", ""},
        {"--no-such-flag"},
    };
    for (const auto &arguments : faulty) {
        const auto parsed = parseInvocation(arguments, noVariable);
        ASSERT_TRUE(parsed.has_error()) << arguments[0] << ' ' << arguments.back();
        EXPECT_FALSE(parsed.error().remedy().empty());
    }
}

TEST(Cli, NamesTheRemedyForWrongUsage)
{
    CliBench bench;
    EXPECT_EQ(bench.run({}), ExitCode::Invalid);
    EXPECT_EQ(bench.run({"account", "destroy"}), ExitCode::Invalid);
    EXPECT_EQ(bench.run({"account", "create"}), ExitCode::Invalid);
    EXPECT_NE(bench.err.find("flamingosaddle account create FILE"), std::string::npos);
    EXPECT_EQ(bench.run({"account", "create", "missing"}), ExitCode::Invalid);
    bench.variables.erase("FLAMINGOSADDLE_PLATFORM");
    EXPECT_EQ(bench.run({"template", "publish", "template"}), ExitCode::Invalid);
    EXPECT_NE(bench.err.find("--platform"), std::string::npos);
}

TEST(Cli, DescribesItselfAndEachCommand)
{
    CliBench bench;
    EXPECT_EQ(bench.run({"--help"}), ExitCode::Accepted);
    EXPECT_NE(bench.out.find("key withdraw KEY_ID"), std::string::npos);
    EXPECT_EQ(bench.run({"key", "withdraw", "--help"}), ExitCode::Accepted);
    EXPECT_NE(bench.out.find("Withdraws a key for good"), std::string::npos);
    EXPECT_NE(bench.out.find("Exit codes"), std::string::npos);
}
