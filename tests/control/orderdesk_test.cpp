#include "fakeplatform.h"
#include "rununtil.h"

#include <flamingosaddle/control/orderdesk.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

using namespace flamingosaddle;

namespace
{

const DataCentre dataCentre("a");
constexpr std::size_t wantedCount = 4;

template <typename T>
Platform::Answer<T> failing(ErrorKind kind)
{
    co_return fail(kind, "the platform cannot be reached", "wait until it is back");
}

/**
 * One instance's lease keeper and order desk on a platform that several share, with a log that only it may lose.
 */
class Instance
{
public:
    Instance(boost::asio::io_context &context, const Platform &platform, const std::string &name, WantedOrders wanted)
        : self{InstanceId(name), 1}
        , hooks(this->cutLog(platform))
        , leases(this->hooks, leaseOptions(this->self))
        , desk(this->hooks, this->leases, deskOptions(this->self, std::move(wanted)))
    {
        this->leases.setRoles({orderRole(dataCentre)});
        const auto spawn = [&context](boost::asio::awaitable<void> coroutine) {
            boost::asio::co_spawn(context, std::move(coroutine), boost::asio::detached);
        };
        spawn(this->leases.runTail());
        spawn(this->leases.runKeeper());
        spawn(this->desk.runTail());
        spawn(this->desk.runAppender());
        spawn(this->desk.run(dataCentre));
    }

    void stop()
    {
        this->leases.stop();
        this->desk.stop();
    }

    bool isHolder() const
    {
        return this->leases.isHeld(orderRole(dataCentre), RuntimeClock::now());
    }

    Incarnation self;
    bool cut = false; ///< the log cannot be reached
    std::function<void()> beforeOrder; ///< runs when an order is about to leave
    Platform hooks;
    LeaseKeeper leases;
    OrderDesk desk;

private:
    Platform cutLog(const Platform &platform)
    {
        Platform result = platform;
        result.append = [this, append = platform.append](LogStream stream, std::string body) {
            return this->cut ? failing<std::uint64_t>(ErrorKind::Unreachable) : append(stream, std::move(body));
        };
        result.read = [this, read = platform.read](LogStream stream, std::uint64_t from, std::chrono::milliseconds wait) {
            return this->cut ? failing<LogBatch>(ErrorKind::Unreachable) : read(stream, from, wait);
        };
        result.order = [this, order = platform.order](PlatformOrder sent, std::function<Duration()> permission) {
            if (this->beforeOrder) {
                this->beforeOrder();
            }
            return order(std::move(sent), std::move(permission));
        };
        return result;
    }

    static LeaseKeeper::Options leaseOptions(const Incarnation &self)
    {
        LeaseKeeper::Options options;
        options.self = self;
        return options;
    }

    static OrderDesk::Options deskOptions(const Incarnation &self, WantedOrders wanted)
    {
        OrderDesk::Options options;
        options.self = self;
        options.wantedOrders = std::move(wanted);
        return options;
    }
};

class OrderDeskTest : public testing::Test
{
protected:
    void SetUp() override
    {
        this->platform.machines.setFencingCheck(true);
        for (const char *id : {"m1", "m2"}) {
            this->platform.machines.add({id, "127.0.0.1:1", dataCentre.text(), "model", true, false, ""});
        }
        for (const char *id : {"s1", "s2", "s3", "s4", "s5", "s6"}) {
            this->platform.machines.addSpare({id, "127.0.0.1:1", dataCentre.text(), "", true, false, ""});
        }
    }

    void TearDown() override
    {
        for (const auto &instance : this->instances) {
            instance->stop();
        }
        this->advance(std::chrono::minutes(1));
    }

    Instance &add(const std::string &name, WantedOrders wanted = replaceReclaimed)
    {
        this->instances.push_back(std::make_unique<Instance>(this->context, this->hooks, name, std::move(wanted)));
        return *this->instances.back();
    }

    Instance &addHolder(const std::string &name, WantedOrders wanted = replaceReclaimed)
    {
        Instance &instance = this->add(name, std::move(wanted));
        EXPECT_TRUE(this->advanceUntil([&instance] {
            return instance.isHolder() && instance.desk.ledger().epochOf(dataCentre) > 0;
        }));
        return instance;
    }

    void advance(Duration duration)
    {
        passTime(this->context, duration);
    }

    bool advanceUntil(const std::function<bool()> &condition)
    {
        return passTimeUntil(this->context, condition);
    }

    std::size_t machineCount() const
    {
        return this->platform.machines.machines(dataCentre.text()).size();
    }

    std::size_t arrivals() const
    {
        return this->platform.machines.audit().size();
    }

    std::vector<std::uint64_t> appliedEpochs() const
    {
        std::vector<std::uint64_t> epochs;
        for (const auto &arrival : this->platform.machines.audit()) {
            if (arrival.at("outcome") == "applied") {
                epochs.push_back(arrival.at("epoch"));
            }
        }
        return epochs;
    }

    PausedClock paused;
    FakePlatform platform;
    Platform hooks = platform.hooks();
    boost::asio::io_context context;
    std::vector<std::unique_ptr<Instance>> instances;
};

} // namespace

TEST_F(OrderDeskTest, ReplacesEachReclaimedMachineOnce)
{
    const Instance &instance = this->addHolder("i1");
    this->add("i2");
    this->platform.machines.noticeReclaim(dataCentre.text());
    ASSERT_TRUE(this->advanceUntil([this] {
        return this->machineCount() == 4;
    }));
    this->advance(std::chrono::seconds(30));
    EXPECT_EQ(this->machineCount(), 4u);
    EXPECT_EQ(this->arrivals(), 2u);
    EXPECT_TRUE(instance.desk.ledger().openIntents(dataCentre).empty());
    EXPECT_TRUE(instance.desk.isIdle());
}

TEST_F(OrderDeskTest, LostAnswersDoubleNoOrder)
{
    const Instance &instance = this->addHolder("i1");
    this->platform.loseOrderAnswers = 2;
    this->platform.loseAppendAnswers = 3;
    this->platform.machines.noticeReclaim(dataCentre.text());
    this->advance(std::chrono::seconds(30));
    EXPECT_EQ(this->platform.loseOrderAnswers, 0u);
    EXPECT_EQ(this->machineCount(), 4u);
    EXPECT_EQ(this->appliedEpochs().size(), 2u);
    EXPECT_TRUE(instance.desk.isIdle());
}

TEST_F(OrderDeskTest, ACopyThatArrivesAfterItsAnswerWasGivenUpStartsNoSecondMachine)
{
    std::vector<PlatformOrder> late;
    this->hooks.order = [&late, order = this->hooks.order](PlatformOrder sent, std::function<Duration()> permission) {
        if (late.size() < 2) {
            late.push_back(std::move(sent));
            return failing<void>(ErrorKind::Timeout);
        }
        return order(std::move(sent), std::move(permission));
    };
    const WantedOrders wanted = [](const DataCentre &, const std::vector<BackendMachine> &machines, TimePoint) {
        PlatformOrder order;
        order.model = "model";
        order.cheap = true;
        return std::vector<PlatformOrder>(wantedCount - std::min(wantedCount, machines.size()), order);
    };
    const Instance &instance = this->addHolder("i1", wanted);
    this->advance(std::chrono::seconds(10));
    ASSERT_EQ(late.size(), 2u);
    for (const PlatformOrder &order : late) {
        this->platform.machines.order(
            dataCentre.text(), {order.id, toString(order.kind), "", order.model, order.cheap, order.fencing, order.holder});
    }
    this->advance(std::chrono::seconds(10));
    EXPECT_EQ(this->machineCount(), wantedCount);
    EXPECT_TRUE(instance.desk.isIdle());
}

TEST_F(OrderDeskTest, HolderThatWokeAfterItsLeaseSendsNothing)
{
    Instance &instance = this->addHolder("i1");
    bool slept = false;
    instance.beforeOrder = [&] {
        slept = true;
        instance.cut = true;
        RuntimeClock::advance(std::chrono::seconds(11));
    };
    this->platform.machines.noticeReclaim(dataCentre.text());
    ASSERT_TRUE(this->advanceUntil([&slept] {
        return slept;
    }));
    this->advance(std::chrono::seconds(30));
    EXPECT_EQ(this->arrivals(), 0u);
    EXPECT_EQ(instance.desk.ledger().openIntents(dataCentre).size(), 2u);

    const Instance &successor = this->addHolder("i2");
    this->advance(std::chrono::seconds(10));
    EXPECT_EQ(this->machineCount(), 4u);
    EXPECT_EQ(this->arrivals(), 2u);
    EXPECT_TRUE(successor.desk.ledger().openIntents(dataCentre).empty());
}

TEST_F(OrderDeskTest, SuccessorSettlesEffectiveOrdersWithoutAnotherMachine)
{
    Instance &first = this->addHolder("i1");
    first.beforeOrder = [&first] {
        first.cut = true; // so that no outcome reaches the log
    };
    this->platform.loseOrderAnswers = 2;
    this->platform.machines.noticeReclaim(dataCentre.text());
    ASSERT_TRUE(this->advanceUntil([this] {
        return this->arrivals() == 2;
    }));
    const Instance &successor = this->add("i2");
    ASSERT_TRUE(this->advanceUntil([&successor] {
        return successor.isHolder();
    }));
    first.cut = false;
    this->advance(std::chrono::seconds(10));
    EXPECT_EQ(this->machineCount(), 4u);
    EXPECT_EQ(this->arrivals(), 2u);
    EXPECT_TRUE(successor.desk.ledger().openIntents(dataCentre).empty());
    EXPECT_EQ(first.desk.ledger(), successor.desk.ledger());
}

TEST_F(OrderDeskTest, OrdersNothingWhileTheLogIsDown)
{
    const Instance &instance = this->addHolder("i1");
    this->platform.logDown = true;
    this->platform.machines.noticeReclaim(dataCentre.text());
    this->advance(std::chrono::seconds(40));
    EXPECT_EQ(this->arrivals(), 0u);
    this->platform.logDown = false;
    ASSERT_TRUE(this->advanceUntil([this] {
        return this->machineCount() == 4;
    }));
    this->advance(std::chrono::seconds(10));
    EXPECT_EQ(this->arrivals(), 2u);
    EXPECT_TRUE(instance.desk.isIdle());
}

TEST_F(OrderDeskTest, NoOlderFencingNumberIsAppliedAfterANewerOne)
{
    Instance &first = this->add("i1");
    Instance &second = this->add("i2");
    this->platform.loseOrderAnswers = 3;
    for (int round = 0; round < 4; ++round) {
        ASSERT_TRUE(this->advanceUntil([&] {
            return first.isHolder() || second.isHolder();
        }));
        Instance &holder = first.isHolder() ? first : second;
        this->platform.machines.add(
            {"r" + std::to_string(round), "127.0.0.1:1", dataCentre.text(), "model", true, true, "o" + std::to_string(round)});
        // The holder loses the log at another step in each round.
        this->advance(std::chrono::milliseconds(400) * (round + 1));
        holder.cut = true;
        this->advance(std::chrono::seconds(18));
        holder.cut = false;
        RuntimeClock::advance(std::chrono::seconds(2));
    }
    this->advance(std::chrono::seconds(30));
    const std::vector<std::uint64_t> epochs = this->appliedEpochs();
    EXPECT_TRUE(std::is_sorted(epochs.begin(), epochs.end()));
    EXPECT_GT(epochs.back(), epochs.front());
    EXPECT_EQ(epochs.size(), 4u);
    EXPECT_EQ(this->machineCount(), 10u);
}

TEST_F(OrderDeskTest, ARefusedReplacementIsTriedAgainUnderAnotherId)
{
    const Instance &instance = this->addHolder("i1");
    this->platform.machines.add({"m3", "127.0.0.1:1", dataCentre.text(), "model", false, true, ""});
    ASSERT_TRUE(this->advanceUntil([this] {
        return this->arrivals() == 1;
    }));
    this->advance(std::chrono::seconds(5));
    EXPECT_EQ(this->arrivals(), 1u);
    this->platform.machines.addSpare({"s7", "127.0.0.1:1", dataCentre.text(), "", false, false, ""});
    this->advance(std::chrono::seconds(30));
    EXPECT_EQ(this->machineCount(), 4u);
    EXPECT_EQ(this->arrivals(), 2u);
    EXPECT_TRUE(instance.desk.isIdle());
}

TEST_F(OrderDeskTest, LoadsAreStaggeredAtTheRateOfTheWeightStore)
{
    const WantedOrders wanted = [](const DataCentre &, const std::vector<BackendMachine> &machines, TimePoint) {
        std::vector<PlatformOrder> orders;
        for (const BackendMachine &machine : machines) {
            PlatformOrder order;
            order.kind = OrderKind::LoadModel;
            order.server = machine.id;
            order.model = "other";
            if (machine.model != order.model) {
                orders.push_back(order);
            }
        }
        return orders;
    };
    this->addHolder("i1", wanted);
    ASSERT_TRUE(this->advanceUntil([this] {
        return this->arrivals() == 1;
    }));
    // At 1 GiB a second a load of 16 GiB takes 16 s.
    this->advance(std::chrono::seconds(10));
    EXPECT_EQ(this->arrivals(), 1u);
    this->advance(std::chrono::seconds(10));
    EXPECT_EQ(this->arrivals(), 2u);
}
