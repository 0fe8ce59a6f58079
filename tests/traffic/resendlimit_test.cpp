// Resends of a fleet whose instances are ended and start again while the servers reject requests. Guards against an allowance
// that each start grants anew, or that those who stay take over from one that has used it.

#include <flamingosaddle/traffic/dispatcher.h>
#include <flamingosaddle/traffic/policies.h>
#include <flamingosaddle/traffic/resendlimit.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::seconds window(10);
constexpr double ratio = 0.2;
constexpr std::uint32_t extra = 100;
constexpr Duration step = 10ms; // between two requests
constexpr Duration detection = 1s; // until the others know that an instance has ended
const ModelName model("model");

/** What ends instances, one after the other. */
struct Churn {
    Duration interval; ///< between two ends; zero for none
    bool startsAgain; ///< whether an instance that was ended starts again

    friend std::ostream &operator<<(std::ostream &stream, const Churn &churn)
    {
        return stream << std::chrono::duration<double>(churn.interval).count() << " s" << (churn.startsAgain ? "" : ", for good");
    }
};

class ResendFleet : public testing::TestWithParam<Churn>
{
protected:
    static constexpr std::size_t instanceCount = 4;

    ResendFleet()
    {
        for (std::size_t i = 0; i < instanceCount; ++i) {
            this->instances.push_back(newInstance());
            this->isRunning.push_back(true);
        }
        this->now += 2 * window;
        this->announce();
    }

    Dispatcher newInstance() const
    {
        DispatcherOptions options;
        options.maxAttempts = 4;
        options.resendLimit = {window, ratio, extra, this->now};
        DispatcherPolicies policies;
        policies.retry = [](std::uint32_t) {
            return true;
        };
        Dispatcher dispatcher(options, policies);
        BackendServer server;
        server.id = BackendServerId("s");
        server.models = {model};
        server.slots = 100;
        dispatcher.setServers({server}, this->now);
        return dispatcher;
    }

    /** Tells each instance of those that run. */
    void announce()
    {
        for (std::size_t i = 0; i < instanceCount; ++i) {
            std::vector<InstanceId> peers;
            for (std::size_t peer = 0; peer < instanceCount; ++peer) {
                if (peer != i && this->isRunning[peer]) {
                    peers.emplace_back(std::to_string(peer));
                }
            }
            this->instances[i].setInstances(InstanceId(std::to_string(i)), peers, this->now);
        }
    }

    void endInstance(std::size_t index, const Churn &churn)
    {
        if (churn.startsAgain) {
            this->instances[index] = newInstance();
        } else if (std::count(this->isRunning.begin(), this->isRunning.end(), true) > 1) {
            this->isRunning[index] = false;
        }
        this->announceAt = this->now + detection;
    }

    /** Sends one request; the servers reject each second arrival. */
    void sendRequest(Dispatcher &instance)
    {
        this->requests.push_back(this->now);
        RequestProfile profile;
        profile.requestClass.firstTokenTarget = 60s;
        profile.requestClass.deadline = 60s;
        profile.model = model;
        profile.arrival = this->now;
        const std::variant<Ticket, Refusal> submitted = instance.submit(profile, this->now);
        ASSERT_TRUE(std::holds_alternative<Ticket>(submitted));
        const Ticket ticket = std::get<Ticket>(submitted);
        Decisions decisions;
        instance.dispatch(this->now, decisions);
        while (++this->arrivals % 2 == 0) {
            if (instance.retry(ticket, AttemptOutcome::Rejected, false, this->now).has_value()) {
                return;
            }
            instance.dispatch(this->now, decisions);
            this->resends.push_back(this->now);
        }
        instance.finish(ticket, AttemptOutcome::Completed, this->now);
    }

    std::size_t countWithin(const std::vector<TimePoint> &times, TimePoint end) const
    {
        const auto first = std::upper_bound(times.begin(), times.end(), end - window);
        return static_cast<std::size_t>(std::upper_bound(first, times.end(), end) - first);
    }

    std::deque<Dispatcher> instances;
    std::vector<bool> isRunning;
    TimePoint now{100s};
    TimePoint announceAt = TimePoint::max();
    std::uint64_t arrivals = 0;
    std::vector<TimePoint> requests;
    std::vector<TimePoint> resends;
};

} // namespace

TEST_P(ResendFleet, KeepsTheLimitOfAllInstancesInEachWindow)
{
    const Churn churn = this->GetParam();
    const TimePoint end = this->now + 60s;
    TimePoint nextEnd = churn.interval == Duration::zero() ? TimePoint::max() : this->now + window;
    std::size_t victim = 0;
    for (std::size_t number = 0; this->now < end; ++number, this->now += step) {
        if (this->now >= nextEnd) {
            this->endInstance(victim++ % instanceCount, churn);
            nextEnd += churn.interval;
        }
        if (this->now >= this->announceAt) {
            this->announce();
            this->announceAt = TimePoint::max();
        }
        std::size_t index = number % instanceCount;
        while (!this->isRunning[index]) {
            index = (index + 1) % instanceCount;
        }
        this->sendRequest(this->instances[index]);
        const double limit = ratio * static_cast<double>(this->countWithin(this->requests, this->now)) + extra;
        ASSERT_LE(static_cast<double>(this->countWithin(this->resends, this->now)), limit)
            << std::chrono::duration<double>(this->now - TimePoint(120s)).count() << " s";
    }
    EXPECT_GT(this->resends.size(), this->requests.size() / 10) << "resends are limited, not forbidden";
}

INSTANTIATE_TEST_SUITE_P(Churns, ResendFleet,
    testing::Values(
        Churn{0s, true}, Churn{500ms, true}, Churn{1s, true}, Churn{2500ms, true}, Churn{5s, false}, Churn{12s, true}));

TEST(ResendLimit, HasNoShareOfTheAllowanceBeforeAWindowHasPassedSinceTheStart)
{
    const TimePoint start(100s);
    ResendLimit limit({window, 0.0, extra, start});
    EXPECT_FALSE(limit.tryTake(1, start));
    EXPECT_FALSE(limit.tryTake(1, start + window - 1ms));
    EXPECT_TRUE(limit.tryTake(1, start + window));
}

TEST(ResendLimit, ResendsAFractionOfItsRequestsFromTheStartOn)
{
    const TimePoint start(100s);
    ResendLimit limit({window, ratio, extra, start});
    for (int i = 0; i < 10; ++i) {
        limit.recordRequest(start);
    }
    EXPECT_TRUE(limit.tryTake(1, start));
    EXPECT_FALSE(limit.tryTake(1, start));
}

TEST(SharingCount, KeepsTheLargestCountForAWindow)
{
    const TimePoint start(100s);
    SharingCount count(window);
    EXPECT_EQ(count.largest(start), 0U);
    count.set(4, start);
    count.set(3, start + 5s);
    EXPECT_EQ(count.largest(start + 5s), 4U);
    EXPECT_EQ(count.largest(start + 15s - 1ms), 4U);
    EXPECT_EQ(count.largest(start + 15s), 3U);
    count.set(6, start + 16s);
    EXPECT_EQ(count.largest(start + 16s), 6U);
}
