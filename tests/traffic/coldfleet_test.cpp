// Simulates instances that share backend servers which turn cold: they restart, come back with their whole data centre, or start
// anew. The instances learn of it from entries that are written at intervals and read with a lag, from failures, or not at all.
// Guards against a server that is toppled by the sum of what the instances send it, each within its own bounds, and against work
// that is held back from servers that are warm.

#include <flamingosaddle/traffic/dispatcher.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

constexpr Duration stepTime = 20ms;
constexpr Duration writeInterval = 1200ms; // of a server's entry; the store passes it on only if it has changed
constexpr Duration readInterval = 800ms;
constexpr Duration coldTime = 3s;
constexpr Duration joinDelay = 600ms; // until the others know a new instance
constexpr Duration outOfContactTime = 30s; // for which an instance that vanished keeps its share
constexpr double bornePerSecond = 5.2;
constexpr double overage = 1.5;
constexpr double tolerance = 5.0;
constexpr double limit = bornePerSecond * overage + tolerance;
constexpr std::size_t maxStartsPerStep = 2; // of one instance: 100 a second

class Fleet
{
public:
    Fleet(std::size_t instances, std::size_t servers, double allowedOverage = overage)
        : allowedOverage(allowedOverage)
    {
        for (std::size_t i = 0; i < servers; ++i) {
            Server server;
            server.id = BackendServerId("s" + std::to_string(i));
            server.dataCentre = i % 3;
            this->servers.push_back(server);
        }
        for (std::size_t i = 0; i < instances; ++i) {
            this->addInstance(std::nullopt);
        }
        this->updateMembers();
        this->run(6s);
    }

    // Commands.

    /** Starts an instance that learns of the others, and they of it, a little later. */
    void startInstance()
    {
        this->addInstance(this->now);
        this->membersChangeAt = this->now + joinDelay;
    }

    /** Kills an instance; the others let it keep its share for a while. */
    void killInstance()
    {
        this->instances.erase(this->instances.begin() + static_cast<std::ptrdiff_t>(this->random() % this->instances.size()));
    }

    /** Stops the reads of entries by the first @p count instances. */
    void cutFromStore(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->instances[i]->readsEntries = false;
        }
    }

    /** Lets the last @p count instances believe that no other runs. */
    void isolate(std::size_t count)
    {
        for (std::size_t i = this->instances.size() - count; i < this->instances.size(); ++i) {
            this->instances[i]->knowsPeers = false;
            this->instances[i]->dispatcher->setInstances(this->instances[i]->id, {}, this->now);
        }
    }

    /**
     * Restarts a server under its id: the requests that run there fail, and it is cold. Instances that are cut off from the store
     * do not notice.
     */
    void restart(std::size_t index)
    {
        Server &server = this->servers[index];
        server.coldUntil = this->now + coldTime;
        server.writesAt = this->now + this->below(writeInterval);
        for (const std::unique_ptr<Instance> &instance : this->instances) {
            // A request that runs there fails, or the next one that is sent finds the connection reset.
            if (instance->readsEntries) {
                this->fail(*instance, server.id);
            }
        }
    }

    /** Replaces all servers of a data centre by new ones that start at once. */
    void returnDataCentre(std::size_t dataCentre)
    {
        for (Server &server : this->servers) {
            if (server.dataCentre == dataCentre) {
                server.id = BackendServerId(server.id.text() + "'");
                server.coldUntil = this->now + coldTime;
                server.writesAt = this->now;
            }
        }
    }

    void run(Duration duration)
    {
        for (const TimePoint end = this->now + duration; this->now < end; this->now += stepTime) {
            if (this->membersChangeAt.has_value() && *this->membersChangeAt <= this->now) {
                this->membersChangeAt.reset();
                this->updateMembers();
            }
            this->writeEntries();
            for (const std::unique_ptr<Instance> &instance : this->instances) {
                this->readEntries(*instance);
                this->serve(*instance);
            }
        }
    }

    // Queries.

    std::size_t size() const
    {
        return this->instances.size();
    }

    /** Returns the most requests that a server got in any second of its cold time. */
    std::size_t mostInASecond() const
    {
        std::size_t most = 0;
        for (const auto &[server, times] : this->coldArrivals) {
            std::size_t first = 0;
            for (std::size_t last = 0; last < times.size(); ++last) {
                while (times[last] - times[first] >= 1s) {
                    ++first;
                }
                most = std::max(most, last + 1 - first);
            }
        }
        return most;
    }

    /** Returns the requests that cold servers got for each second and server. */
    double meanColdRate() const
    {
        std::size_t arrivals = 0;
        for (const auto &[server, times] : this->coldArrivals) {
            arrivals += times.size();
        }
        return static_cast<double>(arrivals) / static_cast<double>(std::max<std::size_t>(this->coldArrivals.size(), 1))
            / std::chrono::duration<double>(coldTime).count();
    }

    /** Returns the requests that the servers of a data centre got in the last second. */
    std::size_t recentArrivals(std::size_t dataCentre) const
    {
        std::size_t count = 0;
        for (const auto &[time, centre] : this->arrivals) {
            count += time > this->now - 1s && centre == dataCentre ? 1 : 0;
        }
        return count;
    }

private:
    struct Server {
        BackendServerId id;
        std::size_t dataCentre = 0;
        TimePoint coldUntil;
        std::optional<TimePoint> writesAt; // if its entry is about to change
    };

    // A changed entry in the store.
    struct Entry {
        std::size_t index = 0;
        BackendServerId id;
        Duration coldFor{0};
    };

    struct Instance {
        InstanceId id;
        std::unique_ptr<Dispatcher> dispatcher;
        std::size_t entriesRead = 0;
        TimePoint nextRead;
        std::vector<BackendServer> view; // as last read
        bool readsEntries = true;
        bool knowsPeers = true;
    };

    void addInstance(std::optional<TimePoint> startedAt)
    {
        auto instance = std::make_unique<Instance>();
        instance->id = InstanceId("i" + std::to_string(++this->added));
        DispatcherOptions options;
        options.seed = this->added;
        options.coldServers = {this->allowedOverage, tolerance, startedAt};
        instance->dispatcher = std::make_unique<Dispatcher>(options);
        for (const Server &server : this->servers) {
            instance->view.push_back(this->viewOf(server, server.coldUntil));
        }
        instance->entriesRead = this->entries.size();
        instance->dispatcher->setServers(instance->view, this->now);
        instance->dispatcher->onServersConfirmed(this->now, this->now);
        this->instances.push_back(std::move(instance));
    }

    BackendServer viewOf(const Server &server, TimePoint coldUntil) const
    {
        BackendServer view;
        view.id = server.id;
        view.dataCentre = DataCentre("z" + std::to_string(server.dataCentre));
        view.models = {ModelName("model")};
        view.slots = 64;
        view.coldRequestsPerSecond = bornePerSecond;
        view.coldUntil = coldUntil;
        return view;
    }

    void writeEntries()
    {
        for (std::size_t index = 0; index < this->servers.size(); ++index) {
            Server &server = this->servers[index];
            if (server.writesAt.has_value() && *server.writesAt <= this->now) {
                server.writesAt.reset();
                this->entries.push_back({index, server.id, std::max(server.coldUntil, this->now) - this->now});
            }
        }
    }

    void readEntries(Instance &instance)
    {
        if (!instance.readsEntries || this->now < instance.nextRead) {
            return;
        }
        instance.nextRead = this->now + readInterval / 2 + this->below(readInterval / 2);
        const bool changed = instance.entriesRead < this->entries.size();
        for (; instance.entriesRead < this->entries.size(); ++instance.entriesRead) {
            const Entry &entry = this->entries[instance.entriesRead];
            BackendServer &view = instance.view[entry.index];
            view.id = entry.id;
            view.coldUntil = this->now + entry.coldFor;
        }
        if (changed) {
            instance.dispatcher->setServers(instance.view, this->now);
        }
        instance.dispatcher->onServersConfirmed(this->now, this->now);
    }

    void serve(Instance &instance)
    {
        while (instance.dispatcher->waitingCount() < maxStartsPerStep
            && std::holds_alternative<Ticket>(instance.dispatcher->submit(this->request(), this->now))) {
        }
        Decisions decisions;
        instance.dispatcher->dispatch(this->now, decisions);
        for (const Assignment &assignment : decisions.assignments) {
            this->recordArrival(assignment.server);
            instance.dispatcher->finish(assignment.ticket, AttemptOutcome::Completed, this->now);
        }
    }

    /** Lets the instance send requests until one reaches the server, which fails. */
    void fail(Instance &instance, const BackendServerId &server)
    {
        for (int tries = 0; tries < 1000; ++tries) {
            static_cast<void>(instance.dispatcher->submit(this->request(), this->now));
            Decisions decisions;
            instance.dispatcher->dispatch(this->now, decisions);
            for (const Assignment &assignment : decisions.assignments) {
                const bool isFailed = assignment.server == server;
                instance.dispatcher->finish(
                    assignment.ticket, isFailed ? AttemptOutcome::NotSent : AttemptOutcome::Completed, this->now);
                if (isFailed) {
                    return;
                }
            }
        }
    }

    RequestProfile request() const
    {
        RequestProfile profile;
        profile.requestClass.name = ClassName("class");
        profile.requestClass.firstTokenTarget = 60s;
        profile.requestClass.deadline = 60s;
        profile.model = ModelName("model");
        profile.arrival = this->now;
        return profile;
    }

    void recordArrival(const BackendServerId &id)
    {
        for (const Server &server : this->servers) {
            if (server.id == id) {
                this->arrivals.emplace_back(this->now, server.dataCentre);
                if (server.coldUntil > this->now) {
                    this->coldArrivals[id].push_back(this->now);
                }
            }
        }
    }

    void updateMembers()
    {
        for (const std::unique_ptr<Instance> &instance : this->instances) {
            // Instances that were killed keep their share, so that the known ones are added to those of before.
            this->known[instance->id] = this->now;
        }
        std::erase_if(this->known, [this](const auto &entry) {
            return this->now - entry.second >= outOfContactTime;
        });
        for (const std::unique_ptr<Instance> &instance : this->instances) {
            std::vector<InstanceId> peers;
            for (const auto &[id, seenAt] : this->known) {
                if (id != instance->id) {
                    peers.push_back(id);
                }
            }
            if (instance->knowsPeers) {
                instance->dispatcher->setInstances(instance->id, peers, this->now);
            }
        }
    }

    Duration below(Duration bound)
    {
        return Duration(static_cast<Duration::rep>(this->random() % static_cast<std::uint64_t>(bound.count())));
    }

    double allowedOverage;
    std::mt19937_64 random{1};
    TimePoint now = TimePoint(1h);
    std::size_t added = 0;
    std::vector<Server> servers;
    std::vector<Entry> entries; // in the store
    std::vector<std::unique_ptr<Instance>> instances;
    std::map<InstanceId, TimePoint> known;
    std::optional<TimePoint> membersChangeAt;
    std::vector<std::pair<TimePoint, std::size_t>> arrivals;
    std::map<BackendServerId, std::vector<TimePoint>> coldArrivals;
};

/** Parameter: number of instances. */
class ColdFleet : public testing::TestWithParam<std::size_t>
{
};

} // namespace

TEST_P(ColdFleet, ADataCentreThatReturnsIsNotToppledAndCarriesItsLoadOnceWarm)
{
    // One instance alone does not have the load for all that 30 servers bear.
    Fleet fleet(GetParam(), GetParam() == 1 ? 9 : 30);
    const std::size_t before = fleet.recentArrivals(2);
    fleet.returnDataCentre(2);
    fleet.run(coldTime);
    EXPECT_LE(static_cast<double>(fleet.mostInASecond()), limit);
    EXPECT_GE(fleet.meanColdRate(), 0.6 * bornePerSecond) << "what the servers bear is wasted";
    fleet.run(2s);
    EXPECT_GE(static_cast<double>(fleet.recentArrivals(2)), 0.7 * static_cast<double>(before)) << "work is held back";
}

// Shows that the load of this test topples servers that are not held back from.
TEST(ColdFleetWithoutShares, ADataCentreThatReturnsIsToppled)
{
    Fleet fleet(25, 30, 1e6);
    fleet.returnDataCentre(2);
    fleet.run(coldTime);
    EXPECT_GT(static_cast<double>(fleet.mostInASecond()), 2 * limit);
}

TEST_P(ColdFleet, AServerThatRestartsUnderItsIdIsNotToppled)
{
    Fleet fleet(GetParam(), 12);
    for (std::size_t server = 0; server < 12; server += 2) {
        fleet.restart(server);
        fleet.run(700ms);
    }
    fleet.run(coldTime);
    EXPECT_LE(static_cast<double>(fleet.mostInASecond()), limit);
}

TEST_P(ColdFleet, InstancesThatStartAndEndKeepTheLimit)
{
    Fleet fleet(GetParam(), 12);
    std::mt19937_64 random(3);
    for (int change = 0; change < 12; ++change) {
        fleet.returnDataCentre(static_cast<std::size_t>(change) % 3);
        if (random() % 2 == 0 && fleet.size() > 1) {
            fleet.killInstance();
        } else {
            fleet.startInstance();
        }
        fleet.run(std::chrono::milliseconds(500 + random() % 1500));
    }
    fleet.run(coldTime);
    EXPECT_LE(static_cast<double>(fleet.mostInASecond()), limit);
}

// All instances were killed at once: none knows how many others there are.
TEST(ColdFleetViews, InstancesThatHaveAllJustStartedKeepTheLimit)
{
    Fleet fleet(1, 12);
    for (int i = 0; i < 24; ++i) {
        fleet.startInstance();
    }
    fleet.returnDataCentre(0);
    fleet.run(coldTime);
    fleet.returnDataCentre(1);
    fleet.run(coldTime);
    EXPECT_LE(static_cast<double>(fleet.mostInASecond()), limit);
}

// Instances that are cut off from the store know a server as warm that restarted since; one that fails for them is cold at once.
TEST(ColdFleetViews, InstancesWithAnOldViewKeepTheLimit)
{
    Fleet fleet(25, 12);
    fleet.cutFromStore(9);
    fleet.run(ColdServers::staleTime + 1s);
    fleet.restart(0);
    fleet.run(1s);
    fleet.restart(1);
    fleet.run(coldTime);
    EXPECT_LE(static_cast<double>(fleet.mostInASecond()), limit);
}

// Two instances know no other and believe themselves alone.
TEST(ColdFleetViews, InstancesThatKnowNoOtherKeepTheLimit)
{
    Fleet fleet(23, 12);
    fleet.startInstance();
    fleet.startInstance();
    fleet.isolate(2);
    fleet.run(10s);
    fleet.returnDataCentre(0);
    fleet.run(coldTime);
    EXPECT_LE(static_cast<double>(fleet.mostInASecond()), limit);
}

INSTANTIATE_TEST_SUITE_P(Sizes, ColdFleet, testing::Values(1, 4, 9, 25, 60));
