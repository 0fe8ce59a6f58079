#include <flamingosaddle/app/settingswatch.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include <unistd.h>

using namespace flamingosaddle;

namespace
{

/** A settings file that the test writes, and a watch that reads it. */
struct SettingsWatchTest : testing::Test {
    std::string path = testing::TempDir() + "flamingosaddle-watch-" + std::to_string(::getpid()) + ".conf";
    PausedClock paused;
    boost::asio::io_context context{1};
    std::vector<Settings> changes;
    std::unique_ptr<SettingsWatch> watch;

    void SetUp() override
    {
        this->write("max-waiting = 10\n");
        const auto load = [this] {
            return loadSettings(
                {"--settings-file", this->path, "--platform", "127.0.0.1:1", "--data-centre", "a", "--configuration", "operator"},
                [](const std::string &) {
                    return std::nullopt;
                });
        };
        this->watch = std::make_unique<SettingsWatch>(std::get<Settings>(load()), load, [this](const Settings &after) {
            this->changes.push_back(after);
        });
        boost::asio::co_spawn(this->context, this->watch->run(), boost::asio::detached);
    }

    void TearDown() override
    {
        this->watch->stop();
        this->look();
        std::filesystem::remove(this->path);
    }

    void write(const std::string &text) const
    {
        std::ofstream(this->path) << text;
    }

    void look()
    {
        RuntimeClock::advance(SettingsWatch::lookInterval);
        this->context.restart();
        this->context.run_for(std::chrono::milliseconds(10));
    }
};

} // namespace

TEST_F(SettingsWatchTest, TakesAChangeOfTheFileWithoutASignal)
{
    this->look();
    EXPECT_TRUE(this->changes.empty());
    this->write("max-waiting = 20\n");
    this->look();
    ASSERT_EQ(this->changes.size(), 1U);
    EXPECT_EQ(this->changes.front().maxWaiting, 20U);
}

TEST_F(SettingsWatchTest, AFileWithAFaultChangesNothing)
{
    this->write("max-waiting = many\n");
    this->watch->reload();
    EXPECT_TRUE(this->changes.empty());
    this->write("max-waiting = 30\n");
    this->watch->reload();
    ASSERT_EQ(this->changes.size(), 1U);
}

TEST_F(SettingsWatchTest, ASignalWithoutAChangeChangesNothing)
{
    this->watch->reload();
    EXPECT_TRUE(this->changes.empty());
}
