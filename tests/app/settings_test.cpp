#include <flamingosaddle/app/settings.h>

#include <gtest/gtest.h>

#include <fstream>
#include <map>

#include <unistd.h>

using namespace flamingosaddle;

namespace
{

EnvironmentLookup environmentOf(std::map<std::string, std::string> variables)
{
    return [variables = std::move(variables)](const std::string &name) -> std::optional<std::string> {
        const auto found = variables.find(name);
        return found == variables.end() ? std::nullopt : std::optional(found->second);
    };
}

const std::map<std::string, std::string> minimalEnvironment = {
    {"FLAMINGOSADDLE_PLATFORM", "127.0.0.1:7000"},
    {"FLAMINGOSADDLE_DATA_CENTRE", "ke-central-a"},
    {"FLAMINGOSADDLE_KEY_SECRET", "0123456789abcdef"},
};

} // namespace

TEST(Settings, FlagsGoBeforeTheEnvironment)
{
    auto variables = minimalEnvironment;
    variables["FLAMINGOSADDLE_HEADER_TIMEOUT"] = "1000";
    variables["FLAMINGOSADDLE_MAX_WAITING"] = "7";
    const auto loaded = loadSettings({"--header-timeout", "2500"}, environmentOf(variables));
    ASSERT_TRUE(std::holds_alternative<Settings>(loaded));
    EXPECT_EQ(std::get<Settings>(loaded).headerTimeout, std::chrono::milliseconds(2500));
    EXPECT_EQ(std::get<Settings>(loaded).maxWaiting, 7u);
    EXPECT_EQ(std::get<Settings>(loaded).platform.port, 7000);
}

TEST(Settings, ReportsEveryFaultAtOnceWithItsRemedy)
{
    const auto loaded
        = loadSettings({"--listen", "localhost:1", "--traffic-threads", "0", "--trace-sampling", "2"}, environmentOf({}));
    ASSERT_TRUE(std::holds_alternative<std::vector<Error>>(loaded));
    const auto &errors = std::get<std::vector<Error>>(loaded);
    EXPECT_EQ(errors.size(), 6u); // listen, platform, data-centre, key secret, traffic-threads, trace-sampling
    for (const Error &error : errors) {
        EXPECT_EQ(error.kind(), ErrorKind::InvalidSetting);
        EXPECT_FALSE(error.remedy().empty());
    }
}

TEST(Settings, RegionsOfDataCentresAreAListOfPairs)
{
    const auto regionsFrom = [](const std::string &text) {
        const auto loaded = loadSettings({"--data-centre-regions", text}, environmentOf(minimalEnvironment));
        const Settings *settings = std::get_if<Settings>(&loaded);
        return settings == nullptr ? std::nullopt : std::optional(settings->dataCentreRegions);
    };
    EXPECT_EQ(regionsFrom("a:east,b:east,c:west"),
        (DataCentreRegions{{DataCentre("a"), RegionName("east")}, {DataCentre("b"), RegionName("east")},
            {DataCentre("c"), RegionName("west")}}));
    EXPECT_EQ(regionsFrom(""), DataCentreRegions());
    for (const char *text : {"a", "a:", ":east", "a:east,,b:west"}) {
        EXPECT_EQ(regionsFrom(text), std::nullopt) << text;
    }
}

TEST(Settings, UnknownFlagsAreRefused)
{
    EXPECT_TRUE(
        std::holds_alternative<std::vector<Error>>(loadSettings({"--no-such-flag", "1"}, environmentOf(minimalEnvironment))));
}

TEST(Settings, ReferenceNeverShowsASecret)
{
    EXPECT_EQ(settingsReference().find("0123456789abcdef"), std::string::npos);
    EXPECT_NE(settingsReference().find("FLAMINGOSADDLE_KEY_SECRET"), std::string::npos);
}

namespace
{

std::string writtenFile(const std::string &text)
{
    std::string path = testing::TempDir() + "flamingosaddle-settings-" + std::to_string(::getpid()) + ".conf";
    std::ofstream(path) << text;
    return path;
}

} // namespace

// Guards against a daemon that does not start because a deployment's figure is no whole number.
TEST(Settings, NumbersMayHaveAFraction)
{
    const auto loaded = loadSettings(
        {"--freshness-limit", "5000.5", "--resend-extra", "33.1578947368421", "--resend-window", "2.5", "--usage-window", "5.0s",
            "--resend-ratio", "1.5", "--max-waiting", "2e3", "--cold-overage", "1.25", "--cold-tolerance", "4.5"},
        environmentOf(minimalEnvironment));
    ASSERT_TRUE(std::holds_alternative<Settings>(loaded));
    const Settings &settings = std::get<Settings>(loaded);
    EXPECT_EQ(settings.freshnessLimit, std::chrono::milliseconds(5000));
    EXPECT_EQ(settings.resendExtra, 33u);
    EXPECT_EQ(settings.resendWindow, std::chrono::milliseconds(2500));
    EXPECT_EQ(settings.usageWindow, std::chrono::seconds(5));
    EXPECT_EQ(settings.resendRatio, 1.5);
    EXPECT_EQ(settings.maxWaiting, 2000u);
    EXPECT_EQ(settings.coldOverage, 1.25);
    EXPECT_EQ(settings.coldTolerance, 4.5);
}

TEST(Settings, NumbersOutOfRangeAreRefused)
{
    for (const char *number : {"", "s", "1x", "1 s", "-1", "nan", "inf", "1e99", "0x10", "1,5"}) {
        const auto loaded = loadSettings({"--usage-window", number}, environmentOf(minimalEnvironment));
        EXPECT_TRUE(std::holds_alternative<std::vector<Error>>(loaded)) << number;
    }
}

// Guards against a deployed setting whose figure may have no fraction.
TEST(Settings, TheDeployedSettingsTakeFractions)
{
    std::ifstream file(DEPLOYED_SETTINGS);
    ASSERT_TRUE(file.good()) << DEPLOYED_SETTINGS;
    std::string text{std::istreambuf_iterator<char>(file), {}};
    const std::map<std::string, std::string> texts = {
        {"node_name", "edge-a-1"},
        {"zone", "ke-central-a"},
        {"ip", "127.0.0.1"},
        {"listen.frontend", "127.0.0.1:8227"},
        {"listen.ready", "127.0.0.1:8220"},
        {"port_range.0", "7340"},
        {"port_range.1", "7355"},
        {"platform.address", "127.0.0.1:8223"},
        {"cloud.address", "127.0.0.1:8223"},
        {"bounds.retry_ratio", "0.2"},
        {"bounds.cold_overage", "1.1578947368421"},
    };
    std::size_t figures = 0;
    for (std::size_t begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{")) {
        const std::size_t end = text.find("}}", begin);
        const auto known = texts.find(text.substr(begin + 2, end - begin - 2));
        figures += known == texts.end() ? 1 : 0;
        text.replace(begin, end + 2 - begin, known == texts.end() ? "500.1578947368421" : known->second);
    }
    EXPECT_GE(figures, 4u);
    const auto loaded = loadSettings({"--settings-file", writtenFile(text)}, environmentOf({}));
    if (const auto *errors = std::get_if<std::vector<Error>>(&loaded)) {
        for (const Error &error : *errors) {
            ADD_FAILURE() << error.text();
        }
    }
}

// Guards against a daemon that does not start with settings that were filled in line by line: a section that ends on a later line
// leaves a mark in front of another setting's name.
TEST(Settings, EachLineOfTheDeployedSettingsIsWholeByItself)
{
    std::ifstream file(DEPLOYED_SETTINGS);
    ASSERT_TRUE(file.good()) << DEPLOYED_SETTINGS;
    std::string filledIn;
    for (std::string line; std::getline(file, line);) {
        const std::string name = line.substr(0, line.find(' '));
        EXPECT_EQ(name.find_first_of("{}"), std::string::npos) << line;
        // A place without a value is filled in with nothing.
        const bool isOptional
            = line.find("{{bounds.cold") != std::string::npos || line.find("{{heartbeat_ms") != std::string::npos;
        filledIn += isOptional ? name + " = \n" : line + "\n";
    }
    const auto loaded = loadSettings({"--settings-file", writtenFile(filledIn)}, environmentOf(minimalEnvironment));
    if (const auto *errors = std::get_if<std::vector<Error>>(&loaded)) {
        for (const Error &error : *errors) {
            ADD_FAILURE() << error.text();
        }
        return;
    }
    EXPECT_EQ(std::get<Settings>(loaded).coldOverage, Settings().coldOverage);
    EXPECT_EQ(std::get<Settings>(loaded).coldTolerance, Settings().coldTolerance);
    EXPECT_EQ(std::get<Settings>(loaded).serverHeartbeat, Settings().serverHeartbeat);
}

TEST(Settings, TheFileComesAfterFlagsAndEnvironment)
{
    const std::string path = writtenFile("# comment\nmax-waiting = 7\nheader-timeout = 1000\nidle-timeout=50\n");
    auto variables = minimalEnvironment;
    variables["FLAMINGOSADDLE_HEADER_TIMEOUT"] = "2000";
    const auto loaded = loadSettings({"--settings-file", path, "--idle-timeout", "60"}, environmentOf(variables));
    ASSERT_TRUE(std::holds_alternative<Settings>(loaded));
    const Settings &settings = std::get<Settings>(loaded);
    EXPECT_EQ(settings.maxWaiting, 7U);
    EXPECT_EQ(settings.headerTimeout, std::chrono::milliseconds(2000));
    EXPECT_EQ(settings.idleTimeout, std::chrono::milliseconds(60));
}

TEST(Settings, UnknownNamesInTheFileAreKeptForTheLogAndFaultsNameTheirRemedy)
{
    const std::string path = writtenFile("new-field = 1\nmax-waiting = 9\n");
    const auto loaded = loadSettings({"--settings-file", path}, environmentOf(minimalEnvironment));
    EXPECT_EQ(std::get<Settings>(loaded).ignoredNames, std::vector<std::string>{"new-field"});
    const std::string broken = writtenFile("max-waiting = many\n");
    const auto failed = loadSettings({"--settings-file", broken}, environmentOf(minimalEnvironment));
    ASSERT_TRUE(std::holds_alternative<std::vector<Error>>(failed));
    EXPECT_FALSE(std::get<std::vector<Error>>(failed).front().remedy().empty());
    EXPECT_TRUE(std::holds_alternative<std::vector<Error>>(
        loadSettings({"--settings-file", "/no/such/file"}, environmentOf(minimalEnvironment))));
}

// Whoever fills in the deployed settings may not know of a place that is newer: the daemon has to start all the same.
TEST(Settings, APlaceThatWasNotFilledInIsASettingThatIsNotGiven)
{
    const std::string path = writtenFile("memory-mb = {{limits.memory_mb}}\nmax-waiting = 7\n");
    const auto loaded = loadSettings({"--settings-file", path}, environmentOf(minimalEnvironment));
    ASSERT_TRUE(std::holds_alternative<Settings>(loaded));
    EXPECT_EQ(std::get<Settings>(loaded).memoryMegabytes, 0U);
    EXPECT_EQ(std::get<Settings>(loaded).maxWaiting, 7U);
    EXPECT_EQ(std::get<Settings>(loaded).ignoredNames, std::vector<std::string>{"memory-mb"});
}

TEST(Settings, ThePlatformsRequestsNeedItsOperatorsRoutes)
{
    EXPECT_TRUE(std::holds_alternative<std::vector<Error>>(
        loadSettings({"--caller-protocol", "platform"}, environmentOf(minimalEnvironment))));
    auto variables = minimalEnvironment;
    variables.erase("FLAMINGOSADDLE_KEY_SECRET");
    EXPECT_TRUE(std::holds_alternative<Settings>(
        loadSettings({"--caller-protocol", "platform", "--configuration", "operator"}, environmentOf(variables))))
        << "the keys of the operator's record need no secret that operators share";
}
