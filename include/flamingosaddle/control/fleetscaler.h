#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/control/directory.h>
#include <flamingosaddle/control/duties.h>
#include <flamingosaddle/control/dutylog.h>
#include <flamingosaddle/state/fleetplanner.h>
#include <flamingosaddle/state/servicedemand.h>

#include <boost/asio/awaitable.hpp>

#include <map>

namespace flamingosaddle
{

/**
 * Scales services by ordering backend servers while this instance is the leader. Must be used on the control thread.
 */
class FleetScaler
{
public:
    static constexpr Duration tickInterval = std::chrono::milliseconds(500);

    FleetScaler(const DutyHooks &hooks, DutyLog &duties, const Directory &directory);

    // Commands.

    /** Runs until stop(). The object must outlive the coroutine. */
    boost::asio::awaitable<void> run();
    void stop();
    /** Records the demand at an instance since its last report; also while another instance is the leader. */
    void recordDemand(const ServiceDemand &demand);

private:
    /** Sends the due orders of a service. Returns whether an order was refused because no such servers are available. */
    boost::asio::awaitable<bool> placeOrders(ServiceRules rules);
    std::map<DataCentre, ServerCounts> countServing(const ServiceRules &rules) const;

    const DutyHooks &hooks;
    DutyLog &dutyLog;
    const Directory &directory;
    std::map<ServiceName, FleetPlanner> plans;
    DemandMeter demand;
    std::uint64_t planFencingNumber = 0; // fencing number of the lease under which the plans were made
    bool stopped = false;
};

} // namespace flamingosaddle
