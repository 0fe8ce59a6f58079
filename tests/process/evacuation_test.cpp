// Guards against daemons that send requests to an evacuated data centre because the store dies halfway: some have read the
// record, some cannot read it, some start while the store is down. Guards also against a data centre that gets no requests after
// its return.

#include "cluster.h"
#include "loopbackproxy.h"
#include "operatorstore.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

using namespace flamingosaddle;
using namespace flamingosaddle::process;

namespace
{

constexpr Duration evacuationLimit
    = std::chrono::seconds(5); ///< from the acknowledgement until no request arrives there any more
constexpr Duration checkTime = std::chrono::seconds(3); ///< for which no request may arrive

/** Callers, one for each daemon, that send lookups until the end. */
class Lookups
{
public:
    explicit Lookups(const std::deque<DaemonProcess> &daemons)
    {
        unsigned index = 0;
        for (const DaemonProcess &daemon : daemons) {
            this->threads.emplace_back([this, caller = daemon.caller, index] {
                this->run(caller, std::to_string(index));
            });
            ++index;
        }
    }

    ~Lookups()
    {
        this->stopping = true;
        for (std::thread &thread : this->threads) {
            thread.join();
        }
    }

    unsigned servedCount() const
    {
        return this->served;
    }

private:
    void run(const Endpoint &caller, const std::string &name)
    {
        for (unsigned i = 0; !this->stopping; ++i) {
            const auto response = call(caller, OperatorStore::lookup(name + "-" + std::to_string(i)));
            this->served += response.has_value() && response.value().status == 200 ? 1 : 0;
        }
    }

    std::atomic<bool> stopping = false;
    std::atomic<unsigned> served = 0;
    std::vector<std::thread> threads;
};

class Evacuation : public testing::Test
{
protected:
    void SetUp() override
    {
        this->store.registerServer("server-a", this->serverA.endpoint(), "a");
        this->store.registerServer("server-b", this->serverB.endpoint(), "b");
        this->store.publishConfiguration(1);
        const Endpoint platform = this->cluster.platform().address;
        this->cluster.addDaemonAt(platform, "a", "i1", flags());
        this->cluster.addDaemonAt(platform, "a", "i2", flags());
        this->cluster.addDaemonAt(platform, "b", "i3", flags());
        this->cluster.addDaemonAt(this->ownPath.address(), "b", "i4", flags());
        for (const DaemonProcess &daemon : this->cluster.daemons()) {
            ASSERT_TRUE(waitUntil([&] {
                return statusOf(daemon) == 200;
            })) << daemon.process.output();
        }
    }

    void TearDown() override
    {
        if (HasFailure()) {
            for (const DaemonProcess &daemon : this->cluster.daemons()) {
                const std::string output = daemon.process.output();
                constexpr std::size_t shownBytes = 3000;
                std::cerr << "--- " << daemon.instanceId << '\n'
                          << output.substr(output.size() - std::min(output.size(), shownBytes)) << '\n';
            }
        }
    }

    static std::vector<std::string> flags()
    {
        return {"--configuration", "operator", "--caller-protocol", "platform", "--heartbeat-interval", "250"};
    }

    static int statusOf(const DaemonProcess &daemon)
    {
        const auto response = call(daemon.caller, OperatorStore::lookup("ready"));
        return response.has_value() ? response.value().status : 0;
    }

    /** The data centres that `flamingosaddle status` shows as evacuated at the daemon. */
    std::vector<std::string> evacuatedAt(const DaemonProcess &daemon)
    {
        const Json shown = this->cluster.cli({"--admin", daemon.admin.text(), "status", "--output", "json"}).json();
        std::vector<std::string> names;
        for (const Json &entry :
            shown.is_array() && !shown.empty() ? shown[0].value("evacuated", Json::array()) : Json::array()) {
            names.push_back(entry.value("dataCentre", ""));
        }
        return names;
    }

    bool knowsOfEvacuation(std::size_t daemon)
    {
        return waitUntil([&] {
            return this->evacuatedAt(this->cluster.daemons()[daemon]) == std::vector<std::string>{"a"};
        });
    }

    void setStoreDown(bool down)
    {
        this->cluster.platform().setFaults({{"log", {{"down", down}}}, {"instances", {{"down", down}}}});
    }

    /** Waits until @p end and expects that no request arrives in the evacuated data centre after @p from. */
    void expectNoArrivals(TimePoint from, TimePoint end)
    {
        waitUntil(
            [&] {
                return RuntimeClock::now() > end;
            },
            2 * (evacuationLimit + checkTime));
        EXPECT_EQ(this->serverA.arrivalsSince(from), 0U);
    }

    bool arrive(const SignedServer &server, std::size_t count)
    {
        const std::size_t before = server.arrivalCount();
        return waitUntil([&] {
            return server.arrivalCount() >= before + count;
        });
    }

    SignedServer serverA;
    SignedServer serverB;

    Cluster cluster;
    LoopbackProxy ownPath{cluster.platform().address}; // of the last daemon to the store
    OperatorStore store{cluster.platform().address};
};

} // namespace

TEST_F(Evacuation, NothingIsSentThereUntilTheReturnThoughTheStoreDiesHalfway)
{
    const Lookups load(this->cluster.daemons());
    ASSERT_TRUE(this->arrive(this->serverA, 20));
    this->ownPath.setFault(LinkFault::Silent);
    this->store.evacuate("a");
    const TimePoint limit = RuntimeClock::now() + evacuationLimit;
    for (const std::size_t daemon : {0U, 1U, 2U}) {
        ASSERT_TRUE(this->knowsOfEvacuation(daemon));
    }
    this->setStoreDown(true);
    const DaemonProcess &started = this->cluster.addDaemon("b", "i5", flags());
    const auto refused = call(started.caller, OperatorStore::openLookup("before-a-configuration"));
    ASSERT_TRUE(refused.has_value()) << refused.error().text();
    EXPECT_EQ(refused.value().status, 503);
    this->expectNoArrivals(limit, limit + checkTime);

    this->ownPath.setFault(LinkFault::None);
    this->setStoreDown(false);
    ASSERT_TRUE(this->knowsOfEvacuation(3));
    ASSERT_TRUE(this->knowsOfEvacuation(4));
    const unsigned served = load.servedCount();
    EXPECT_TRUE(this->arrive(this->serverB, 100));
    EXPECT_GT(load.servedCount(), served);
    EXPECT_EQ(this->serverA.arrivalsSince(limit), 0U);

    this->store.takeBack("a");
    EXPECT_TRUE(this->arrive(this->serverA, 20));
    EXPECT_TRUE(waitUntil([&] {
        return this->evacuatedAt(this->cluster.daemons()[0]).empty();
    }));
}

TEST_F(Evacuation, RequestsAreRefusedAsNotRunWhileNoOtherDataCentreHasServers)
{
    this->store.evacuate("a");
    this->store.evacuate("b");
    const DaemonProcess &daemon = this->cluster.daemons().front();
    ASSERT_TRUE(waitUntil([&] {
        return statusOf(daemon) == 503;
    }));
    const auto refused = call(daemon.caller, OperatorStore::lookup("refused"));
    ASSERT_TRUE(refused.has_value()) << refused.error().text();
    EXPECT_EQ(refused.value().status, 503);
    EXPECT_EQ(refused.value().headers.find("Retry-After"), "5");
    EXPECT_TRUE(waitUntil([&] {
        return daemon.process.output().find(R"("refusal":"data_centre_evacuated")") != std::string::npos;
    }));
    this->store.takeBack("b");
    EXPECT_TRUE(waitUntil([&] {
        return statusOf(daemon) == 200;
    }));
}
