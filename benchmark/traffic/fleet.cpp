#include "fleet.h"

#include <algorithm>
#include <numeric>

namespace flamingosaddle::simulation
{

namespace
{

constexpr double minFreeFraction = 0.25; // a server is started when fewer of the slots are free

CapacityOptions planOptions()
{
    CapacityOptions options;
    options.headroom = minFreeFraction;
    options.scaleDownDelay = std::chrono::minutes(2);
    return options;
}

} // namespace

Fleet::Fleet(ScalingPolicy rule, std::uint32_t servers, std::uint32_t slots)
    : policy(rule)
    , slots(slots)
    , servers(servers)
    , planner(planOptions())
{
    this->planner.assumeDemand(servers, 0, slots, this->lastTick);
}

bool Fleet::tick(const std::vector<std::uint32_t> &inFlight, std::uint32_t waiting, TimePoint now)
{
    this->serversChanged = false;
    this->accumulateServerSeconds(now);
    this->updateStates(inFlight, now);
    switch (this->policy) {
    case ScalingPolicy::Fixed:
        break;
    case ScalingPolicy::Planned:
        this->applyPlan(inFlight, waiting, now);
        break;
    case ScalingPolicy::StopWhenIdle:
        this->stopIdleServers(inFlight, waiting, now);
        break;
    }
    return this->serversChanged;
}

void Fleet::accumulateServerSeconds(TimePoint now)
{
    const auto running = static_cast<double>(this->servers.size() - this->countInState(PowerState::Off));
    this->totalServerSeconds += running * std::chrono::duration<double>(now - this->lastTick).count();
    this->lastTick = now;
}

void Fleet::updateStates(const std::vector<std::uint32_t> &inFlight, TimePoint now)
{
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
        Server &server = this->servers[i];
        if (server.state == PowerState::Starting && now - server.since >= startupTime) {
            this->setState(server, PowerState::On, now);
        } else if (server.state == PowerState::Draining && inFlight[i] == 0) {
            this->setState(server, PowerState::Off, now);
        } else if (server.state == PowerState::On && inFlight[i] > 0) {
            server.since = now;
        }
    }
}

void Fleet::applyPlan(const std::vector<std::uint32_t> &inFlight, std::uint32_t waiting, TimePoint now)
{
    CapacityDemand need;
    need.slots = std::accumulate(inFlight.begin(), inFlight.end(), static_cast<double>(waiting));
    need.slotsPerServer = this->slots;
    const std::vector<DataCentreAvailability> offers{DataCentreAvailability{DataCentre("a"), false}};
    const std::uint32_t wanted = std::clamp(
        this->planner.plan(need, offers, now).front().ordinary, 1U, static_cast<std::uint32_t>(this->servers.size()));
    for (std::uint32_t have = this->countInState(PowerState::On) + this->countInState(PowerState::Starting); have < wanted;
         ++have) {
        this->startServer(now);
    }
    for (std::uint32_t have = this->countInState(PowerState::On) + this->countInState(PowerState::Starting); have > wanted;
         --have) {
        this->drainLeastLoaded(inFlight, now);
    }
}

void Fleet::stopIdleServers(const std::vector<std::uint32_t> &inFlight, std::uint32_t waiting, TimePoint now)
{
    const std::uint32_t used = std::accumulate(inFlight.begin(), inFlight.end(), waiting);
    const auto needed = static_cast<double>(used) * (1.0 + minFreeFraction);
    const std::uint32_t have = this->countInState(PowerState::On) + this->countInState(PowerState::Starting);
    if (needed > have * this->slots) {
        this->startServer(now);
        return;
    }
    for (Server &server : this->servers) {
        const bool isIdle = server.state == PowerState::On && now - server.since >= idleTimeout;
        if (isIdle && needed <= (have - 1) * this->slots && have > 1) {
            this->setState(server, PowerState::Off, now);
            return;
        }
    }
}

void Fleet::startServer(TimePoint now)
{
    for (const PowerState state : {PowerState::Draining, PowerState::Off}) {
        const auto found = std::find_if(this->servers.begin(), this->servers.end(), [state](const Server &server) {
            return server.state == state;
        });
        if (found != this->servers.end()) {
            this->setState(*found, state == PowerState::Off ? PowerState::Starting : PowerState::On, now);
            return;
        }
    }
}

void Fleet::drainLeastLoaded(const std::vector<std::uint32_t> &inFlight, TimePoint now)
{
    Server *leastLoaded = nullptr;
    std::uint32_t least = 0;
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
        if (this->servers[i].state == PowerState::On && (leastLoaded == nullptr || inFlight[i] < least)) {
            leastLoaded = &this->servers[i];
            least = inFlight[i];
        }
    }
    if (leastLoaded != nullptr) {
        this->setState(*leastLoaded, PowerState::Draining, now);
    }
}

std::uint32_t Fleet::countInState(PowerState state) const
{
    return static_cast<std::uint32_t>(std::count_if(this->servers.begin(), this->servers.end(), [state](const Server &server) {
        return server.state == state;
    }));
}

void Fleet::setState(Server &server, PowerState state, TimePoint now)
{
    server.state = state;
    server.since = now;
    this->serversChanged = true;
}

} // namespace flamingosaddle::simulation
