#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/control/directory.h>
#include <flamingosaddle/control/duties.h>
#include <flamingosaddle/control/dutylog.h>
#include <flamingosaddle/state/fleetplan.h>
#include <flamingosaddle/state/servicedemand.h>

#include <boost/asio/awaitable.hpp>

#include <map>

namespace flamingosaddle
{

/**
 * Orders backend servers of the services that may be scaled, while this instance leads. Lives on the control thread.
 */
class FleetDesk
{
public:
    static constexpr Duration tick = std::chrono::milliseconds(500);

    FleetDesk(const DutyHooks &hooks, DutyLog &duties, const Directory &directory);

    // Commands.

    /** Runs until stop(); the object has to outlive the coroutine. */
    boost::asio::awaitable<void> run();
    void stop();
    /** What an instance's requests asked for since it last told; also while another instance leads. */
    void noteDemand(const ServiceDemand &demand);

private:
    /** Sends the orders that are due; answers whether servers were asked for that are not to be had. */
    boost::asio::awaitable<bool> orderFor(ServiceRules rules);
    std::map<DataCentre, FleetCount> servingOf(const ServiceName &service) const;

    const DutyHooks &hooks;
    DutyLog &duties;
    const Directory &directory;
    std::map<ServiceName, FleetPlan> plans;
    DemandMeter demand;
    std::uint64_t plannedUnder = 0; // fence of the lead that the plans were made under
    bool stopped = false;
};

} // namespace flamingosaddle
