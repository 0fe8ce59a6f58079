#include "standardcluster.h"

namespace flamingosaddle::process
{

void StandardCluster::SetUp()
{
    const std::vector<std::string> pace{"--token-interval-us", "2000"};
    this->cluster.addEngine("engine-a", "dc-a", pace);
    this->cluster.addEngine("engine-b", "dc-b", pace);
    this->cluster.addService("bookings-b", "dc-b");
    this->cluster.addService("bookings-c", "dc-c");
    const std::vector<std::string> flags = this->daemonFlags();
    this->cluster.addDaemon("dc-a", "i1", flags);
    this->cluster.addDaemon("dc-a", "i2", flags);
    this->cluster.addDaemon("dc-b", "i3", flags);
    this->cluster.addDaemon("dc-c", "i4", flags);
    this->cluster.publishStandardConfiguration();
    this->key = this->cluster.giveKey("bakery");
    ASSERT_FALSE(this->key.key.empty());
    this->cluster.waitUntilServing(this->key);
}

void StandardCluster::TearDown()
{
    EXPECT_EQ(this->cluster.check(), Violations{});
    if (!HasFailure()) {
        return;
    }
    for (const DaemonProcess &daemon : this->cluster.daemons()) {
        const std::string output = daemon.process.output();
        constexpr std::size_t shownBytes = 3000;
        const std::size_t begin = output.size() > shownBytes ? output.size() - shownBytes : 0;
        std::cerr << "--- " << daemon.instanceId << '\n' << output.substr(begin) << '\n';
    }
}

std::vector<std::string> StandardCluster::daemonFlags() const
{
    return {};
}

DaemonProcess &StandardCluster::daemon(std::size_t index)
{
    return this->cluster.daemons()[index];
}

int statusOf(const DaemonProcess &daemon, const GivenKey &key)
{
    const auto response = call(daemon.caller, withKey(getRequest("/catalogue/pies"), key.key));
    return response.has_value() ? response.value().status : 0;
}

} // namespace flamingosaddle::process
