// Two deployments, each with its own log, one of which has an instance of the other as a peer, as after the reuse of an address.
// Guards against instances that take over the other deployment's configuration, and so know neither their keys nor their log.

#include "cluster.h"
#include "standardcluster.h"

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace flamingosaddle::process;
using namespace std::chrono_literals;

namespace
{

constexpr unsigned moreAccounts = 5; ///< so that the log of the other deployment is longer
constexpr Duration exchangeTime = 3s; ///< several heartbeats, in which peers send their configuration

/** A deployment with one daemon and client accounts beside the standard one. */
struct Deployment {
    Deployment(unsigned accounts, const std::string &instanceId, const std::vector<std::string> &flags)
        : daemon(&this->withBackends().addDaemon("dc-a", instanceId, flags))
    {
        this->cluster.publishStandardConfiguration();
        for (unsigned i = 0; i < accounts; ++i) {
            this->cluster.publish({"account", "create"},
                {{"id", "village-" + std::to_string(i)}, {"templateName", "standard"}, {"templateVersion", 1},
                    {"models", {"baraka-8b"}}});
        }
        this->key = this->cluster.giveKey("bakery");
    }

    Cluster &withBackends()
    {
        this->cluster.addEngine("engine-a", "dc-a");
        this->cluster.addService("bookings-a", "dc-a");
        return this->cluster;
    }

    bool serves() const
    {
        return this->daemon->isReady() && statusOf(*this->daemon, this->key) == 200;
    }

    Cluster cluster;
    DaemonProcess *daemon;
    GivenKey key;
};

} // namespace

TEST(ForeignPeer, TheConfigurationOfAnotherDeploymentIsNotTakenOver)
{
    const Deployment own(0, "i1", {});
    ASSERT_TRUE(waitUntil([&own] {
        return own.serves();
    }));
    const Deployment foreign(moreAccounts, "i2", {"--seed-peers", own.daemon->peer.text()});
    const TimePoint end = RuntimeClock::now() + exchangeTime;
    while (RuntimeClock::now() < end) {
        ASSERT_EQ(statusOf(*own.daemon, own.key), 200);
    }
    EXPECT_TRUE(own.daemon->isReady());
    EXPECT_TRUE(foreign.serves());
}

TEST(ForeignPeer, AnInstanceWhoseStateIsAheadOfItsLogReadsTheLogAnew)
{
    Deployment own(0, "i1", {"--freshness-limit", "3000"});
    ASSERT_TRUE(waitUntil([&own] {
        return own.serves();
    }));
    own.cluster.platform().setFaults({{"log", {{"down", true}}}});
    const Deployment foreign(moreAccounts, "i2", {"--seed-peers", own.daemon->peer.text()});
    const TimePoint end = RuntimeClock::now() + exchangeTime;
    EXPECT_TRUE(waitUntil([end] {
        return RuntimeClock::now() > end;
    }));
    own.cluster.platform().setFaults({{"log", {{"down", false}}}});
    EXPECT_TRUE(waitUntil([&own] {
        return own.serves();
    })) << own.daemon->process.output();
}
