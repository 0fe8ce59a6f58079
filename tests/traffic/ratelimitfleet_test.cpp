// Simulates instances that share a backend server with a rate limit and learn of it and of each other with delays. Guards against
// instances that keep the limit each by itself, and against bursts when many instances pause or their number changes.

#include <flamingosaddle/traffic/dispatcher.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <tuple>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

constexpr Duration stepTime = 20ms;
constexpr Duration heartbeatInterval = 500ms;
constexpr Duration heartbeatTimeout = 3s;
constexpr Duration learningTime = 3s; ///< from the first statement of the limit until it binds
constexpr Duration tellingTime = 500ms; ///< from an instance's first response with the limit until it binds that instance
constexpr Duration window = 4s;
constexpr std::size_t maxWaitingEach = 2; ///< per instance
const BackendServerId limited("limited");

BackendServer limitedServer()
{
    BackendServer server;
    server.id = limited;
    server.dataCentre = DataCentre("a");
    server.models = {ModelName("model")};
    server.slots = 64;
    return server;
}

RequestProfile requestAt(TimePoint arrival)
{
    RequestProfile profile;
    profile.requestClass.name = ClassName("class");
    profile.requestClass.firstTokenTarget = 60s;
    profile.requestClass.deadline = 60s;
    profile.model = ModelName("model");
    profile.arrival = arrival;
    return profile;
}

class Fleet
{
public:
    Fleet(std::size_t instances, double limit)
        : limit(limit)
        , random(1)
    {
        for (std::size_t i = 0; i < instances; ++i) {
            this->add();
        }
        this->updateMembers();
    }

    // Commands.

    void add()
    {
        auto instance = std::make_unique<Instance>();
        instance->id = InstanceId("i" + std::to_string(++this->added));
        instance->nextHeartbeat = this->now + this->below(heartbeatInterval);
        instance->dispatcher.setServers({limitedServer()}, this->now);
        this->instances.push_back(std::move(instance));
        this->after(this->below(heartbeatInterval), [this]() {
            this->updateMembers();
        });
    }

    void killOne()
    {
        this->instances.erase(this->instances.begin() + static_cast<std::ptrdiff_t>(this->random() % this->instances.size()));
        this->after(heartbeatTimeout, [this]() {
            this->updateMembers();
        });
    }

    void run(Duration duration)
    {
        for (const TimePoint end = this->now + duration; this->now < end; this->now += stepTime) {
            while (!this->events.empty() && this->events.front().first <= this->now) {
                const std::function<void()> event = std::move(this->events.front().second);
                this->events.pop_front();
                event();
            }
            for (const std::unique_ptr<Instance> &instance : this->instances) {
                this->serve(*instance);
                this->sendHeartbeat(*instance);
            }
        }
    }

    // Queries.

    std::size_t size() const
    {
        return this->instances.size();
    }

    /** Returns the most requests in any window from instances that had been told of the limit. */
    std::size_t mostInAWindow() const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < this->toldArrivals.size(); ++last) {
            while (this->toldArrivals[last] - this->toldArrivals[first] >= window) {
                ++first;
            }
            most = std::max(most, last + 1 - first);
        }
        return most;
    }

    std::size_t arrivalsIn(Duration last) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->arrivals.begin(), this->arrivals.end(), [this, last](TimePoint arrival) {
                return arrival >= this->now - last;
            }));
    }

private:
    struct Instance {
        InstanceId id;
        Dispatcher dispatcher{DispatcherOptions()};
        std::optional<TimePoint> toldAt;
        TimePoint nextHeartbeat;
    };

    void serve(Instance &instance)
    {
        while (instance.dispatcher.waitingCount() < maxWaitingEach
            && std::holds_alternative<Ticket>(instance.dispatcher.submit(requestAt(this->now), this->now))) {
        }
        Decisions decisions;
        instance.dispatcher.dispatch(this->now, decisions);
        for (const Assignment &assignment : decisions.assignments) {
            this->arrivals.push_back(this->now);
            const bool binds = this->arrivals.front() + learningTime <= this->now;
            if (binds && instance.toldAt.has_value() && *instance.toldAt + tellingTime <= this->now) {
                this->toldArrivals.push_back(this->now);
            }
            instance.toldAt = instance.toldAt.value_or(this->now);
            instance.dispatcher.onResponseHead(assignment.ticket, this->limit, this->now);
            instance.dispatcher.finish(assignment.ticket, AttemptOutcome::Completed, this->now);
        }
    }

    void sendHeartbeat(Instance &sender)
    {
        if (this->now < sender.nextHeartbeat) {
            return;
        }
        sender.nextHeartbeat = this->now + heartbeatInterval;
        std::vector<ServerRateLimit> reports;
        sender.dispatcher.rateLimitReports(reports, this->now);
        for (const std::unique_ptr<Instance> &receiver : this->instances) {
            if (receiver.get() == &sender) {
                continue;
            }
            for (const ServerRateLimit &report : reports) {
                receiver->dispatcher.applyPeerRateLimit(report, this->now);
            }
        }
    }

    void updateMembers()
    {
        for (const std::unique_ptr<Instance> &instance : this->instances) {
            std::vector<InstanceId> peers;
            for (const std::unique_ptr<Instance> &other : this->instances) {
                if (other != instance) {
                    peers.push_back(other->id);
                }
            }
            instance->dispatcher.setInstances(instance->id, peers, this->now);
        }
    }

    void after(Duration delay, std::function<void()> event)
    {
        const auto position = std::upper_bound(
            this->events.begin(), this->events.end(), this->now + delay, [](TimePoint time, const auto &entry) {
                return time < entry.first;
            });
        this->events.insert(position, {this->now + delay, std::move(event)});
    }

    Duration below(Duration limit)
    {
        return Duration(static_cast<Duration::rep>(this->random() % static_cast<std::uint64_t>(limit.count())));
    }

    double limit;
    std::mt19937_64 random;
    TimePoint now = TimePoint(1h);
    std::size_t added = 0;
    std::vector<std::unique_ptr<Instance>> instances;
    std::deque<std::pair<TimePoint, std::function<void()>>> events;
    std::vector<TimePoint> arrivals;
    std::vector<TimePoint> toldArrivals;
};

/** Parameters: number of instances, limit in requests per second. */
class RateLimitFleet : public testing::TestWithParam<std::tuple<std::size_t, double>>
{
protected:
    std::size_t instances() const
    {
        return std::get<0>(GetParam());
    }

    double limit() const
    {
        return std::get<1>(GetParam());
    }

    double allowedInAWindow() const
    {
        return 1.5 * this->limit() * std::chrono::duration<double>(window).count() + 5.0;
    }
};

} // namespace

TEST_P(RateLimitFleet, KeepsAndUsesTheLimit)
{
    Fleet fleet(this->instances(), this->limit());
    fleet.run(40s);
    EXPECT_LE(fleet.mostInAWindow(), this->allowedInAWindow());
    constexpr double minUsage = 0.8;
    EXPECT_GE(static_cast<double>(fleet.arrivalsIn(20s)), minUsage * 20 * this->limit()) << "the server's capacity is wasted";
}

TEST_P(RateLimitFleet, KeepsTheLimitWhileInstancesComeAndGo)
{
    Fleet fleet(this->instances(), this->limit());
    fleet.run(5s);
    std::mt19937_64 random(2);
    for (int change = 0; change < 20; ++change) {
        if (fleet.size() > 1 && random() % 2 == 0) {
            fleet.killOne();
        } else {
            fleet.add();
        }
        fleet.run(std::chrono::milliseconds(random() % 2000));
    }
    EXPECT_LE(fleet.mostInAWindow(), this->allowedInAWindow());
}

INSTANTIATE_TEST_SUITE_P(
    Sizes, RateLimitFleet, testing::Combine(testing::Values(1, 4, 26, 118), testing::Values(0.25, 1.0, 7.5, 40.0)));
