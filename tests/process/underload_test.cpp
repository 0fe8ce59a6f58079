#include "loadrun.h"
#include "standardcluster.h"

#include <csignal>

using namespace flamingosaddle;
using namespace flamingosaddle::process;

namespace
{

constexpr unsigned callersPerDaemon = 2;
constexpr unsigned warmUpAnswers = 3; ///< of each kind

class UnderLoad : public StandardCluster
{
protected:
    std::vector<LoadOutcome> of(const std::vector<LoadOutcome> &outcomes, const std::string &instanceId, bool isIt) const
    {
        std::vector<LoadOutcome> result;
        for (const LoadOutcome &outcome : outcomes) {
            if ((outcome.instanceId == instanceId) == isIt) {
                result.push_back(outcome);
            }
        }
        return result;
    }

    const std::vector<std::string> all{"i1", "i2", "i3", "i4"};
    const std::vector<std::string> others{"i2", "i3", "i4"};
};

/** The first sending of a request; the second one of a deposit may be refused with an unknown outcome. */
bool isFirstSending(const std::string &instanceId, const LoadOutcome &outcome)
{
    return outcome.detail.starts_with(instanceId + "-");
}

} // namespace

TEST_F(UnderLoad, TheOtherDaemonsGoOnWhenOneIsKilled)
{
    LoadRun load(this->cluster.daemons(), this->key.key, callersPerDaemon);
    ASSERT_TRUE(load.waitForAnswers(this->all, warmUpAnswers));
    this->daemon(0).process.kill();
    EXPECT_TRUE(load.waitForAnswers(this->others, 4 * warmUpAnswers));
    const std::vector<LoadOutcome> outcomes = load.finish();
    std::vector<LoadOutcome> firstSendings;
    for (const LoadOutcome &outcome : this->of(outcomes, "i1", false)) {
        if (isFirstSending(outcome.instanceId, outcome)) {
            firstSendings.push_back(outcome);
        }
    }
    EXPECT_EQ(unservedRequests(firstSendings), Violations{});
    EXPECT_EQ(checkNotRun(this->cluster.backendAudits(), notRunRequestIds(outcomes)), Violations{});
}

TEST_F(UnderLoad, ADrainCutsNoRequest)
{
    LoadRun load(this->cluster.daemons(), this->key.key, callersPerDaemon);
    ASSERT_TRUE(load.waitForAnswers(this->all, warmUpAnswers));
    this->daemon(0).process.signal(SIGTERM);
    EXPECT_EQ(this->daemon(0).process.waitForEnd(std::chrono::seconds(30)), 0);
    EXPECT_TRUE(load.waitForAnswers(this->others, warmUpAnswers));
    const std::vector<LoadOutcome> outcomes = load.finish();
    EXPECT_EQ(unservedRequests(outcomes), Violations{});
    EXPECT_EQ(checkNotRun(this->cluster.backendAudits(), notRunRequestIds(outcomes)), Violations{});
}

TEST_F(UnderLoad, AFrozenDaemonHarmsNoOtherAndServesAgainWhenItWakes)
{
    LoadRun load(this->cluster.daemons(), this->key.key, callersPerDaemon);
    ASSERT_TRUE(load.waitForAnswers(this->all, warmUpAnswers));
    this->daemon(0).process.freeze();
    EXPECT_TRUE(load.waitForAnswers(this->others, 4 * warmUpAnswers));
    this->daemon(0).process.wake();
    EXPECT_TRUE(load.waitForAnswers(this->all, warmUpAnswers));
    const std::vector<LoadOutcome> outcomes = load.finish();
    EXPECT_EQ(unservedRequests(outcomes), Violations{});
    EXPECT_EQ(checkNotRun(this->cluster.backendAudits(), notRunRequestIds(outcomes)), Violations{});
}

TEST_F(UnderLoad, TheKillOfAnEngineCostsAtMostTheRequestsThatItRan)
{
    LoadRun load(this->cluster.daemons(), this->key.key, callersPerDaemon);
    ASSERT_TRUE(load.waitForAnswers(this->all, warmUpAnswers));
    this->cluster.killBackend("engine-a");
    EXPECT_TRUE(load.waitForAnswers(this->all, 2 * warmUpAnswers));
    const std::vector<LoadOutcome> outcomes = load.finish();
    Violations wrong;
    for (const LoadOutcome &outcome : outcomes) {
        wrong.insert(wrong.end(), outcome.violations.begin(), outcome.violations.end());
    }
    EXPECT_EQ(wrong, Violations{});
    const Violations unserved = unservedRequests(outcomes);
    EXPECT_LE(unserved.size(), this->all.size() * callersPerDaemon) << testing::PrintToString(unserved);
    EXPECT_EQ(checkNotRun(this->cluster.backendAudits(), notRunRequestIds(outcomes)), Violations{});
}
