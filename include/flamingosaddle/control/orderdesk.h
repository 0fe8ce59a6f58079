#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/control/leasekeeper.h>
#include <flamingosaddle/control/logappender.h>
#include <flamingosaddle/control/logreplica.h>
#include <flamingosaddle/control/orderpolicy.h>
#include <flamingosaddle/platform/platform.h>
#include <flamingosaddle/state/loadschedule.h>
#include <flamingosaddle/state/orderledger.h>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace flamingosaddle
{

/**
 * The role whose lease permits orders in a data centre.
 */
Role orderRole(const DataCentre &dataCentre);

/**
 * Sends the orders for backend servers of the data centres whose leases this instance holds. An order goes out only
 * after its intent was read back from the `orders` stream, and while the lease is held and the log answers. Lives on the
 * control thread.
 *
 * An order whose answer was lost keeps its intent open, also for the next holder: its id is looked for among the machines,
 * and otherwise the order is sent again under the same id, which the interface carries out once. Nothing else is ordered
 * in the data centre until then.
 */
class OrderDesk
{
public:
    struct Options {
        Incarnation self;
        Duration tickInterval = std::chrono::milliseconds(200); ///< between two looks at what the log has taken
        Duration lookInterval = std::chrono::seconds(1); ///< between two reads of a data centre's machines
        Duration refusalDelay = std::chrono::seconds(10); ///< until an order that was refused is tried under another id
        std::size_t maxOrdersPerLook = 20; ///< bounds the appends that a look causes
        Duration orderLife = std::chrono::seconds(5); ///< as LeaseTiming::longestOrderLife
        LoadRate loadRate;
        std::function<std::uint64_t(const std::string &model)> modelBytes; ///< empty: assumedModelBytes for each model
        WantedOrders wantedOrders = replaceReclaimed;
        std::uint64_t seed = 1;
    };

    static constexpr std::uint64_t assumedModelBytes = std::uint64_t{16} << 30;

    OrderDesk(const Platform &platform, const LeaseKeeper &leases, Options options);

    // Commands.

    /** Each runs until stop(); the object has to outlive the coroutines. */
    boost::asio::awaitable<void> runTail();
    boost::asio::awaitable<void> runAppender();
    /** Orders in one data centre; to be run once for each. */
    boost::asio::awaitable<void> run(DataCentre dataCentre);
    /** No order leaves from here on; one that is on its way may still be answered. */
    void stop();

    /** Decides on no further orders; those under way are brought to their end. */
    void finish();

    // Queries.
    const OrderLedger &ledger() const;
    std::size_t unappendedCount() const; ///< intents and outcomes that the log has not taken yet
    /** Whether an order was sent whose answer is not known: the lease must not be released then. */
    bool hasUnanswered(const DataCentre &dataCentre) const;
    bool isStopped() const;
    bool isIdle() const; ///< whether nothing is to be appended and no answer is missing

private:
    /** What this process knows of a data centre under one epoch. */
    struct Region {
        explicit Region(LoadSchedule schedule)
            : schedule(schedule)
        {
        }

        std::uint64_t epoch = 0;
        TimePoint nextLook{};
        TimePoint nextAppend{}; // of records that were appended before and not read back
        LoadSchedule schedule;
        std::map<std::string, TimePoint> loadStarts; // by server and model: when the weight store has room
        std::map<std::string, OrderRecord> awaiting; // by order id: intents that were not read back
        std::set<std::string> sent; // order ids
        std::map<std::string, TimePoint> unanswered; // order ids without an answer yet, and when the last one was lost
        std::set<std::string> concluding; // order ids whose outcome was not read back
    };

    Result<void> restore(std::string_view text);
    void takeRecord(const LogRecord &record);
    void takeOutcome(const OrderRecord &record);
    boost::asio::awaitable<void> work(DataCentre dataCentre);
    boost::asio::awaitable<void> sendRecorded(DataCentre dataCentre);
    boost::asio::awaitable<void> settle(DataCentre dataCentre, std::vector<BackendMachine> machines);
    boost::asio::awaitable<void> send(PlatformOrder order);
    boost::asio::awaitable<void> appendTakeover(DataCentre dataCentre);
    boost::asio::awaitable<void> appendAwaiting(DataCentre dataCentre);
    void takeFailure(const PlatformOrder &order, const Error &error, std::optional<TimePoint> lostBefore);
    void enterEpoch(const DataCentre &dataCentre, std::uint64_t epoch);
    void plan(const DataCentre &dataCentre, const std::vector<BackendMachine> &machines);
    TimePoint startOf(const PlatformOrder &order, Region &region, const std::map<std::string, TimePoint> &known, TimePoint now);
    void conclude(const PlatformOrder &order, OrderOutcome outcome);
    RecordId nextId();
    std::string decisionFor(const PlatformOrder &order) const;
    Duration permission(const DataCentre &dataCentre, std::uint64_t epoch) const;

    const Platform &platform;
    const LeaseKeeper &leases;
    Options options;
    LogReplica replica;
    LogAppender appender;
    OrderLedger orderLedger;
    std::map<DataCentre, Region> regions;
    OrderIds ids;
    std::uint64_t sequence = 0;
    bool finishing = false;
    bool stopped = false;
};

} // namespace flamingosaddle
