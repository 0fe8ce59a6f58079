#include "fleet.h"

#include <algorithm>
#include <numeric>

namespace flamingosaddle::simulation
{

namespace
{

constexpr double leastFree = 0.25; // part of the slots, below which a server is started

CapacityOptions planOptions()
{
    CapacityOptions options;
    options.headroom = leastFree;
    options.shrinkDelay = std::chrono::minutes(2);
    return options;
}

} // namespace

Fleet::Fleet(FleetRule rule, std::uint32_t servers, std::uint32_t slots)
    : rule(rule)
    , slots(slots)
    , servers(servers)
    , planner(planOptions())
{
    this->planner.assumeNeeded(servers, 0, slots, this->last);
}

bool Fleet::tick(const std::vector<std::uint32_t> &inFlight, std::uint32_t waiting, TimePoint now)
{
    this->changed = false;
    this->spend(now);
    this->settle(inFlight, now);
    switch (this->rule) {
    case FleetRule::Fixed:
        break;
    case FleetRule::Planned:
        this->followPlan(inFlight, waiting, now);
        break;
    case FleetRule::WhenIdle:
        this->stopIdle(inFlight, waiting, now);
        break;
    }
    return this->changed;
}

void Fleet::spend(TimePoint now)
{
    const auto running = static_cast<double>(this->servers.size() - this->count(Power::Off));
    this->spent += running * std::chrono::duration<double>(now - this->last).count();
    this->last = now;
}

void Fleet::settle(const std::vector<std::uint32_t> &inFlight, TimePoint now)
{
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
        Server &server = this->servers[i];
        if (server.power == Power::Starting && now - server.since >= startTime) {
            this->change(server, Power::On, now);
        } else if (server.power == Power::Draining && inFlight[i] == 0) {
            this->change(server, Power::Off, now);
        } else if (server.power == Power::On && inFlight[i] > 0) {
            server.since = now;
        }
    }
}

void Fleet::followPlan(const std::vector<std::uint32_t> &inFlight, std::uint32_t waiting, TimePoint now)
{
    CapacityNeed need;
    need.slots = std::accumulate(inFlight.begin(), inFlight.end(), static_cast<double>(waiting));
    need.slotsPerServer = this->slots;
    const std::vector<DataCentreOffer> offers{DataCentreOffer{DataCentre("a"), false}};
    const std::uint32_t wanted = std::clamp(
        this->planner.plan(need, offers, now).front().reliable, 1U, static_cast<std::uint32_t>(this->servers.size()));
    for (std::uint32_t have = this->count(Power::On) + this->count(Power::Starting); have < wanted; ++have) {
        this->startOne(now);
    }
    for (std::uint32_t have = this->count(Power::On) + this->count(Power::Starting); have > wanted; --have) {
        this->drainEmptiest(inFlight, now);
    }
}

void Fleet::stopIdle(const std::vector<std::uint32_t> &inFlight, std::uint32_t waiting, TimePoint now)
{
    const std::uint32_t used = std::accumulate(inFlight.begin(), inFlight.end(), waiting);
    const auto needed = static_cast<double>(used) * (1.0 + leastFree);
    const std::uint32_t have = this->count(Power::On) + this->count(Power::Starting);
    if (needed > have * this->slots) {
        this->startOne(now);
        return;
    }
    for (Server &server : this->servers) {
        const bool isIdle = server.power == Power::On && now - server.since >= idleTime;
        if (isIdle && needed <= (have - 1) * this->slots && have > 1) {
            this->change(server, Power::Off, now);
            return;
        }
    }
}

void Fleet::startOne(TimePoint now)
{
    for (const Power power : {Power::Draining, Power::Off}) {
        const auto found = std::find_if(this->servers.begin(), this->servers.end(), [power](const Server &server) {
            return server.power == power;
        });
        if (found != this->servers.end()) {
            this->change(*found, power == Power::Off ? Power::Starting : Power::On, now);
            return;
        }
    }
}

void Fleet::drainEmptiest(const std::vector<std::uint32_t> &inFlight, TimePoint now)
{
    Server *emptiest = nullptr;
    std::uint32_t least = 0;
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
        if (this->servers[i].power == Power::On && (emptiest == nullptr || inFlight[i] < least)) {
            emptiest = &this->servers[i];
            least = inFlight[i];
        }
    }
    if (emptiest != nullptr) {
        this->change(*emptiest, Power::Draining, now);
    }
}

std::uint32_t Fleet::count(Power power) const
{
    return static_cast<std::uint32_t>(std::count_if(this->servers.begin(), this->servers.end(), [power](const Server &server) {
        return server.power == power;
    }));
}

void Fleet::change(Server &server, Power power, TimePoint now)
{
    server.power = power;
    server.since = now;
    this->changed = true;
}

} // namespace flamingosaddle::simulation
