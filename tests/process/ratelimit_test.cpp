#include "loadrun.h"
#include "standardcluster.h"

using namespace flamingosaddle;
using namespace flamingosaddle::process;

namespace
{

constexpr unsigned callersPerDaemon = 2;
constexpr const char *limitedService = "bookings-b";
constexpr const char *limitedEngine = "engine-a";
constexpr double serviceLimit = 1.0; ///< requests per second
constexpr double engineLimit = 2.5; ///< requests per second
constexpr std::chrono::milliseconds learningTime(3000); ///< until the limit binds all instances
constexpr std::chrono::milliseconds loadTime(12000);

class RateLimit : public StandardCluster
{
protected:
    void setLimit(const char *id, const Json &limit)
    {
        this->cluster.backend(id).standin.setFaults({{"rateLimit", limit}});
    }

    std::size_t runsOf(const char *id) const
    {
        return this->cluster.backend(id).audit().at("runs").size();
    }
};

std::chrono::milliseconds steadyTime()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(RuntimeClock::now().time_since_epoch());
}

} // namespace

// Guards against instances that ignore a server's limit, and against those that each apply it to their own requests only, which
// sends the server a multiple of it.
TEST_F(RateLimit, AllInstancesTogetherKeepTheLimitOfABackendServer)
{
    this->setLimit(limitedService, serviceLimit);
    this->setLimit(limitedEngine, engineLimit);
    const std::chrono::milliseconds start = steadyTime();
    LoadRun load(this->cluster.daemons(), this->key.key, callersPerDaemon);
    waitUntil(
        [&] {
            return steadyTime() > start + loadTime;
        },
        2 * loadTime);
    const std::size_t before = this->runsOf(limitedService);
    this->setLimit(limitedService, nullptr);
    constexpr std::size_t unlimitedRuns = 50;
    EXPECT_TRUE(waitUntil([&] {
        return this->runsOf(limitedService) > before + unlimitedRuns;
    })) << "the limit still holds after the server stopped stating it";
    const std::vector<LoadOutcome> outcomes = load.finish();
    for (const DaemonProcess &daemon : this->cluster.daemons()) {
        EXPECT_NE(daemon.process.output().find("the rate limit of a backend server changed"), std::string::npos)
            << daemon.instanceId << " does not log what it learned";
    }
    EXPECT_EQ(unservedRequests(outcomes), Violations{});
    Json limited = this->cluster.backend(limitedService).audit();
    limited["runs"].erase(limited["runs"].begin() + static_cast<std::ptrdiff_t>(before), limited["runs"].end());
    EXPECT_GT(before, 1U) << "the server takes requests within its limit";
    EXPECT_EQ(checkRateLimit(limited, serviceLimit, start + learningTime), Violations{});
    EXPECT_EQ(checkRateLimit(this->cluster.backend(limitedEngine).audit(), engineLimit, start + learningTime), Violations{});
}
