// Tests of the choice between servers of the instance's own data centre and others. Guards against requests that cross to other
// data centres although the own servers have room, against own servers that are full while others are idle, and against all
// instances of a data centre leaving it and coming back at once because they decide by the same old reports.

#include <flamingosaddle/traffic/datacentreshares.h>
#include <flamingosaddle/traffic/dispatcher.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

constexpr DistanceCost defaultDistance{2ms, 20ms};

// DataCentreShares by itself.

double stayingShare(const DataCentreLoad &own, const DataCentreLoad &others)
{
    DataCentreShares shares;
    shares.update(own, others, TimePoint());
    return shares.stayingShare();
}

constexpr double most = 1.0 - DataCentreShares::probeShare;

TEST(DataCentreShares, NearlyAllStayWhileTheOwnServersHaveRoom)
{
    EXPECT_DOUBLE_EQ(stayingShare({6, 2, 0}, {12, 0, 0}), most);
    EXPECT_DOUBLE_EQ(stayingShare({64, 45, 0}, {12, 0, 0}), most);
}

TEST(DataCentreShares, MoreMayLeaveTheFullerTheOwnServersAre)
{
    EXPECT_LT(stayingShare({6, 4, 0}, {12, 0, 0}), most);
    EXPECT_GT(stayingShare({6, 4, 0}, {12, 0, 0}), stayingShare({6, 5, 0}, {12, 0, 0}));
    EXPECT_DOUBLE_EQ(stayingShare({6, 6, 0}, {12, 0, 0}), 0.0);
}

TEST(DataCentreShares, NoneStayWithoutOwnServersAndAllWithoutOthers)
{
    EXPECT_DOUBLE_EQ(stayingShare({0, 0, 0}, {6, 6, 0}), 0.0);
    EXPECT_DOUBLE_EQ(stayingShare({6, 6, 0}, {0, 0, 0}), 1.0);
}

TEST(DataCentreShares, FewStayIfTheOwnServersAreSlow)
{
    EXPECT_DOUBLE_EQ(stayingShare({6, 1, 0.1}, {12, 2, 0.05}), DataCentreShares::probeShare);
    EXPECT_DOUBLE_EQ(stayingShare({6, 1, 0.06}, {12, 2, 0.05}), most);
    EXPECT_DOUBLE_EQ(stayingShare({6, 1, 0.3}, {12, 2, 0}), most) << "nothing to compare with";
}

TEST(DataCentreShares, ALoadThatLastsCountsMoreThanOneReport)
{
    DataCentreShares shares;
    TimePoint now;
    shares.update({6, 1, 0}, {6, 1, 0}, now);
    now += 100ms;
    EXPECT_TRUE(shares.isDue(now));
    shares.update({6, 6, 0}, {6, 1, 0}, now);
    EXPECT_FALSE(shares.isDue(now));
    EXPECT_DOUBLE_EQ(shares.stayingShare(), most);
    for (int i = 0; i < 100; ++i) {
        now += 100ms;
        shares.update({6, 6, 0}, {6, 1, 0}, now);
    }
    EXPECT_LT(shares.stayingShare(), 0.1);
}

// Runs a demand of 9 against own servers with 6 slots and others with room, where the load shows after a delay. Returns the range
// of the share that leaves, once it has settled.
template <typename Policy>
std::pair<double, double> settledRange(Policy &&leavingShare)
{
    constexpr double demand = 9;
    constexpr int delay = 4; // updates: a heartbeat and the duration of a request
    std::deque<double> inFlight(delay, demand);
    std::pair<double, double> range{1.0, 0.0};
    for (int i = 0; i < 600; ++i) {
        const double leaving = leavingShare(inFlight.front(), TimePoint(i * DataCentreShares::updateInterval));
        inFlight.pop_front();
        inFlight.push_back(std::min(6.0, demand * (1.0 - leaving)));
        if (i >= 200) {
            range = {std::min(range.first, leaving), std::max(range.second, leaving)};
        }
    }
    return range;
}

TEST(DataCentreShares, TheShareSettlesAlthoughReportsLag)
{
    DataCentreShares shares;
    const auto [low, high] = settledRange([&shares](double inFlight, TimePoint now) {
        shares.update({6, inFlight, 0}, {64, 10, 0}, now);
        return 1.0 - shares.stayingShare();
    });
    EXPECT_GT(low, 0.4);
    EXPECT_LT(high, 0.65);
    EXPECT_LT(high - low, 0.02);
    const auto [lowest, highest] = settledRange([](double inFlight, TimePoint) {
        return inFlight > DataCentreShares::comfortableLoad(6) ? 1.0 : 0.0;
    });
    EXPECT_EQ(highest - lowest, 1.0) << "a threshold alone swings between all and nothing";
}

TEST(DistanceCost, GrowsWithTheBytes)
{
    EXPECT_EQ(defaultDistance.of(0, 0), 2ms);
    EXPECT_EQ(defaultDistance.of(250000, 0), 22ms);
    EXPECT_GT(defaultDistance.of(1000, 100), defaultDistance.of(1000, 0));
    EXPECT_EQ(DistanceCost().of(1000, 100), 0ms);
}

// A fleet: instances in several data centres in front of a plain service, whose servers run a request in each slot and let the
// others wait. Reports of peers are a heartbeat old.

constexpr Duration heartbeat = 250ms;
constexpr Duration serviceTime = 30ms;
constexpr Duration way = 1ms; ///< there and back, between data centres
constexpr int instancesPerDataCentre = 8;
const ServiceName plainService("plain");

struct FleetLoad {
    std::vector<double> perSecond; ///< requests at each data centre
    std::vector<int> serversOf; ///< servers in each data centre
    bool isDistanceKnown = true;
    Duration duration = 30s;
};

class PlainFleet
{
public:
    explicit PlainFleet(FleetLoad load)
        : load(std::move(load))
    {
        std::vector<BackendServer> configured;
        for (std::size_t place = 0; place < this->load.serversOf.size(); ++place) {
            for (int i = 0; i < this->load.serversOf[place]; ++i) {
                BackendServer server;
                server.id = BackendServerId(std::string(1, static_cast<char>('a' + place)) + std::to_string(i));
                server.dataCentre = DataCentre(std::string(1, static_cast<char>('a' + place)));
                server.kind = BackendKind::Service;
                server.service = plainService;
                server.slots = slots;
                configured.push_back(server);
                this->servers[server.id].place = place;
            }
        }
        for (std::size_t place = 0; place < this->load.perSecond.size(); ++place) {
            for (int i = 0; i < instancesPerDataCentre; ++i) {
                DispatcherOptions options;
                options.seed = this->instances.size() + 1;
                if (this->load.isDistanceKnown) {
                    options.dataCentre = DataCentre(std::string(1, static_cast<char>('a' + place)));
                    options.distanceCost = defaultDistance;
                }
                this->instances.push_back(std::make_unique<Instance>(Instance{Dispatcher(options), place, {}}));
                this->instances.back()->dispatcher.setServers(configured, this->now);
            }
        }
        for (const std::unique_ptr<Instance> &instance : this->instances) {
            instance->dispatcher.setInstanceCount(static_cast<std::uint32_t>(this->instances.size()));
        }
        const auto seconds
            = static_cast<std::size_t>(std::chrono::duration_cast<std::chrono::seconds>(this->load.duration).count());
        const std::size_t places = this->load.perSecond.size();
        this->started.assign(places, std::vector<std::vector<int>>(places, std::vector<int>(seconds, 0)));
        this->run();
    }

    /** Returns the share of the requests of @p from that ran in @p to in the seconds from @p begin on. */
    double share(std::size_t from, std::size_t to, std::size_t begin = 5) const
    {
        double all = 0;
        double there = 0;
        for (std::size_t place = 0; place < this->started[from].size(); ++place) {
            for (std::size_t second = begin; second < this->started[from][place].size(); ++second) {
                all += this->started[from][place][second];
                there += place == to ? this->started[from][place][second] : 0;
            }
        }
        return there / all;
    }

    double leaving(std::size_t from) const
    {
        return 1.0 - this->share(from, from);
    }

    /** Returns the standard deviation of the share that stays, over the seconds. */
    double swing(std::size_t from, std::size_t begin = 5) const
    {
        double sum = 0;
        double squares = 0;
        int count = 0;
        for (std::size_t second = begin; second < this->started[from][from].size(); ++second) {
            double all = 0;
            for (const std::vector<int> &perSecond : this->started[from]) {
                all += perSecond[second];
            }
            const double stays = all > 0 ? this->started[from][from][second] / all : 1.0;
            sum += stays;
            squares += stays * stays;
            ++count;
        }
        const double mean = sum / count;
        return std::sqrt(std::max(0.0, squares / count - mean * mean));
    }

    /** Returns the time to the first byte that @p quantile of the requests of @p from stayed below, in ms. */
    double milliseconds(std::size_t from, double quantile) const
    {
        std::vector<double> sorted = this->times.at(from);
        std::sort(sorted.begin(), sorted.end());
        return sorted[static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1))];
    }

private:
    static constexpr unsigned slots = 6;

    struct Instance {
        Dispatcher dispatcher;
        std::size_t place = 0;
        std::map<BackendServerId, std::uint32_t> reported; // in flight as of the last heartbeat
        std::map<BackendServerId, std::uint32_t> inFlight{};
        std::map<Ticket, TimePoint> arrivals{};
    };

    struct Running {
        std::size_t instance = 0;
        Ticket ticket{};
    };

    struct Server {
        std::size_t place = 0;
        unsigned busy = 0;
        std::deque<Running> waiting;
    };

    struct Event {
        TimePoint at;
        std::size_t instance = 0; // of an arrival or heartbeat
        int kind = 0; // 0 arrival, 1 heartbeat, 2 end of a request
        Running request{};
        BackendServerId server{};

        friend bool operator>(const Event &left, const Event &right)
        {
            return left.at > right.at;
        }
    };

    void run()
    {
        for (std::size_t i = 0; i < this->instances.size(); ++i) {
            this->scheduleArrival(i);
            this->events.push({this->now + heartbeat * static_cast<int>(i) / static_cast<int>(this->instances.size()), i, 1});
        }
        while (!this->events.empty() && this->events.top().at < TimePoint() + this->load.duration) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            if (event.kind == 0) {
                this->arrive(event.instance);
            } else if (event.kind == 1) {
                this->beat(event.instance);
            } else {
                this->end(event);
            }
        }
    }

    void scheduleArrival(std::size_t index)
    {
        const double rate = this->load.perSecond[this->instances[index]->place] / instancesPerDataCentre;
        const double wait = std::exponential_distribution<double>(rate)(this->random);
        this->events.push({this->now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)), index, 0});
    }

    void arrive(std::size_t index)
    {
        RequestProfile profile;
        profile.service = plainService;
        profile.requestClass.name = ClassName("lookup");
        profile.requestClass.firstTokenTarget = 1500ms;
        profile.requestClass.deadline = 2500ms;
        profile.arrival = this->now;
        Instance &instance = *this->instances[index];
        const std::variant<Ticket, Refusal> result = instance.dispatcher.submit(profile, this->now);
        if (const Ticket *ticket = std::get_if<Ticket>(&result)) {
            instance.arrivals[*ticket] = this->now;
        }
        this->dispatch(index);
        this->scheduleArrival(index);
    }

    void dispatch(std::size_t index)
    {
        Instance &instance = *this->instances[index];
        instance.dispatcher.dispatch(this->now, this->decisions);
        for (const Assignment &assignment : this->decisions.assignments) {
            Server &server = this->servers.at(assignment.server);
            ++instance.inFlight[assignment.server];
            ++this->started[instance.place][server.place][static_cast<std::size_t>(
                std::chrono::duration_cast<std::chrono::seconds>(this->now.time_since_epoch()).count())];
            server.waiting.push_back({index, assignment.ticket});
            this->startAt(assignment.server);
        }
    }

    void startAt(const BackendServerId &id)
    {
        Server &server = this->servers.at(id);
        while (server.busy < slots && !server.waiting.empty()) {
            const Running next = server.waiting.front();
            server.waiting.pop_front();
            ++server.busy;
            const double factor = std::uniform_real_distribution<double>(0.5, 1.5)(this->random);
            const Duration distance = server.place == this->instances[next.instance]->place ? Duration(0) : Duration(way);
            const TimePoint at = this->now + distance + std::chrono::duration_cast<Duration>(serviceTime * factor);
            this->events.push({at, next.instance, 2, next, id});
        }
    }

    void end(const Event &event)
    {
        Server &server = this->servers.at(event.server);
        Instance &instance = *this->instances[event.instance];
        --server.busy;
        --instance.inFlight[event.server];
        this->times[instance.place].push_back(
            std::chrono::duration<double, std::milli>(this->now - instance.arrivals.at(event.request.ticket)).count());
        instance.arrivals.erase(event.request.ticket);
        instance.dispatcher.onFirstToken(event.request.ticket, this->now);
        instance.dispatcher.finish(event.request.ticket, AttemptOutcome::Completed, this->now);
        this->startAt(event.server);
        this->dispatch(event.instance);
    }

    // Tells the others what runs on the servers of this instance.
    void beat(std::size_t index)
    {
        this->instances[index]->reported = this->instances[index]->inFlight;
        for (std::size_t i = 0; i < this->instances.size(); ++i) {
            for (const auto &[id, server] : this->servers) {
                ServerLoadReport report;
                report.server = id;
                report.measuredAt = this->now;
                for (std::size_t other = 0; other < this->instances.size(); ++other) {
                    const auto found = this->instances[other]->reported.find(id);
                    report.peersInFlight += other != i && found != this->instances[other]->reported.end() ? found->second : 0;
                }
                this->instances[i]->dispatcher.applyLoadReport(report);
            }
            this->dispatch(i);
        }
        this->events.push({this->now + heartbeat, index, 1});
    }

    FleetLoad load;
    std::mt19937_64 random{1};
    TimePoint now;
    std::vector<std::unique_ptr<Instance>> instances;
    std::map<BackendServerId, Server> servers;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::vector<std::vector<std::vector<int>>> started; // by data centre of the instance, of the server, and second
    std::map<std::size_t, std::vector<double>> times; // by data centre of the instance
    Decisions decisions;
};

/** Requests in flight at a rate, without waiting. */
double perSecondOf(double inFlight)
{
    return inFlight / std::chrono::duration<double>(serviceTime).count();
}

TEST(PlainFleet, NearlyNothingLeavesWhileTheOwnServersAreEnough)
{
    const double rate = perSecondOf(1.2);
    const PlainFleet fleet({{rate, rate, rate}, {1, 1, 1}});
    const PlainFleet unaware({{rate, rate, rate}, {1, 1, 1}, false});
    for (std::size_t place = 0; place < 3; ++place) {
        EXPECT_LT(fleet.leaving(place), 0.08);
        EXPECT_GT(unaware.leaving(place), 0.5);
        EXPECT_LT(fleet.milliseconds(place, 0.5), unaware.milliseconds(place, 0.5));
        EXPECT_LT(fleet.milliseconds(place, 0.99), unaware.milliseconds(place, 0.99));
    }
}

TEST(PlainFleet, OnlyTheExcessLeavesIfTheOwnServersAreTooFew)
{
    // The first data centre needs 9 slots and has 6; the second has twice as many servers as the third.
    const FleetLoad load{{perSecondOf(9), perSecondOf(1), perSecondOf(1)}, {1, 2, 1}};
    const PlainFleet fleet(load);
    FleetLoad unawareLoad = load;
    unawareLoad.isDistanceKnown = false;
    const PlainFleet unaware(unawareLoad);
    EXPECT_GT(fleet.leaving(0), 0.4) << "the own server is not filled to the last slot";
    EXPECT_LT(fleet.leaving(0), unaware.leaving(0));
    EXPECT_GT(fleet.share(0, 1), 1.4 * fleet.share(0, 2)) << "the excess goes where there is room";
    EXPECT_LT(fleet.swing(0), 0.12);
    EXPECT_LT(fleet.leaving(1), 0.12);
    EXPECT_LT(fleet.milliseconds(0, 0.5), unaware.milliseconds(0, 0.5) + 2.0);
    EXPECT_LT(fleet.milliseconds(0, 0.99), unaware.milliseconds(0, 0.99) * 1.25);
    EXPECT_LT(fleet.milliseconds(1, 0.99), unaware.milliseconds(1, 0.99)) << "the callers there do not pay for it";
    EXPECT_LT(fleet.milliseconds(2, 0.99), unaware.milliseconds(2, 0.99)) << "the callers there do not pay for it";
}

TEST(PlainFleet, HalfFullServersServeNoWorseThanRegardlessOfTheDataCentre)
{
    // With one server in each data centre, chance makes one full while others are idle.
    const double rate = perSecondOf(3);
    const PlainFleet fleet({{rate, rate, rate}, {1, 1, 1}});
    const PlainFleet unaware({{rate, rate, rate}, {1, 1, 1}, false});
    for (std::size_t place = 0; place < 3; ++place) {
        EXPECT_LT(fleet.leaving(place), 0.45);
        EXPECT_LT(fleet.swing(place), 0.2);
        EXPECT_LT(fleet.milliseconds(place, 0.5), unaware.milliseconds(place, 0.5));
        EXPECT_LT(fleet.milliseconds(place, 0.99), unaware.milliseconds(place, 0.99) * 1.1);
    }
}

TEST(PlainFleet, AllLeavesADataCentreWithoutServers)
{
    const PlainFleet fleet({{perSecondOf(1), perSecondOf(1), perSecondOf(1)}, {0, 1, 1}});
    EXPECT_DOUBLE_EQ(fleet.leaving(0), 1.0);
    EXPECT_NEAR(fleet.share(0, 1), 0.5, 0.15);
    EXPECT_LT(fleet.milliseconds(0, 0.99), 80.0);
}

// Prompts: one instance, four servers in each of two data centres.

constexpr std::uint32_t promptTokens = 17000;
constexpr std::uint32_t sharedTokens = 13000;
const ServiceName engines("engines");

struct PromptFleet : testing::Test {
    TimePoint now{std::chrono::seconds(1)};
    Decisions decisions;
    std::map<BackendServerId, std::string> places;

    Dispatcher dispatcherWith(const DistanceCost &cost)
    {
        DispatcherOptions options;
        options.dataCentre = DataCentre("a");
        options.distanceCost = cost;
        Dispatcher dispatcher(options);
        std::vector<BackendServer> servers;
        for (const char *place : {"a", "b"}) {
            for (int i = 0; i < 4; ++i) {
                BackendServer server;
                server.id = BackendServerId(std::string(place) + std::to_string(i));
                server.dataCentre = DataCentre(place);
                server.kind = BackendKind::Service;
                server.service = engines;
                server.slots = 64;
                servers.push_back(server);
                this->places[server.id] = place;
            }
        }
        dispatcher.setServers(servers, this->now);
        return dispatcher;
    }

    /** Submits a prompt and returns the server that it starts on. */
    Assignment start(Dispatcher &dispatcher, std::uint64_t prefix)
    {
        RequestProfile profile;
        profile.requestClass.name = ClassName("plan");
        profile.requestClass.firstTokenTarget = 2500ms;
        profile.requestClass.deadline = 12s;
        profile.service = engines;
        profile.promptTokens = promptTokens;
        profile.outputTokens = 100;
        profile.prefixHash = prefix;
        profile.sharedTokens = prefix == 0 ? 0 : sharedTokens;
        profile.arrival = this->now;
        dispatcher.submit(profile, this->now);
        dispatcher.dispatch(this->now, this->decisions);
        EXPECT_EQ(this->decisions.assignments.size(), 1U);
        return this->decisions.assignments.empty() ? Assignment() : this->decisions.assignments.front();
    }

    void finish(Dispatcher &dispatcher, Ticket ticket) const
    {
        dispatcher.onFirstToken(ticket, this->now);
        dispatcher.finish(ticket, AttemptOutcome::Completed, this->now);
    }
};

TEST_F(PromptFleet, EqualServersOfTheOwnDataCentreGoFirst)
{
    Dispatcher dispatcher = this->dispatcherWith(defaultDistance);
    for (int i = 0; i < 4; ++i) {
        EXPECT_EQ(this->places[this->start(dispatcher, 0).server], "a");
    }
    EXPECT_EQ(this->places[this->start(dispatcher, 0).server], "b") << "work of a whole prompt ahead outweighs the way";
}

TEST_F(PromptFleet, WithoutACostAllDataCentresAreEqual)
{
    Dispatcher dispatcher = this->dispatcherWith(DistanceCost());
    std::map<std::string, int> counts;
    for (int i = 0; i < 4; ++i) {
        ++counts[this->places[this->start(dispatcher, 0).server]];
    }
    EXPECT_GT(counts["b"], 0);
}

TEST_F(PromptFleet, APrefixIsNotReadAgainForTheWay)
{
    Dispatcher dispatcher = this->dispatcherWith(defaultDistance);
    int remote = 0;
    for (std::uint64_t prefix = 1; prefix <= 16; ++prefix) {
        const Assignment first = this->start(dispatcher, prefix);
        this->finish(dispatcher, first.ticket);
        const Assignment second = this->start(dispatcher, prefix);
        this->finish(dispatcher, second.ticket);
        EXPECT_EQ(first.server, second.server);
        remote += this->places[first.server] == "b" ? 1 : 0;
    }
    EXPECT_GT(remote, 0) << "homes are all over the deployment";
    EXPECT_LT(remote, 16);
}

TEST_F(PromptFleet, AnExpensiveWayIsTakenOnlyIfTheOwnServersAreFull)
{
    Dispatcher dispatcher = this->dispatcherWith({60s, 0ms});
    for (std::uint64_t prefix = 1; prefix <= 16; ++prefix) {
        const Assignment started = this->start(dispatcher, prefix);
        EXPECT_EQ(this->places[started.server], "a");
        this->finish(dispatcher, started.ticket);
    }
}

} // namespace
