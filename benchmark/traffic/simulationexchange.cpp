// Exchange of state between the simulated instances, and measurements of the run.

#include "simulation.h"

#include <algorithm>

namespace flamingosaddle::simulation
{

namespace
{

constexpr Duration peerUpdateDelay = std::chrono::seconds(2);

} // namespace

BackendServerId Simulation::serverId(std::uint32_t number)
{
    return BackendServerId("s" + std::to_string(number));
}

void Simulation::exchangePeerUpdates()
{
    PeerUpdate update;
    update.measuredAt = this->now;
    for (std::uint32_t from = 0; from < this->settings.instances; ++from) {
        Dispatcher &dispatcher = *this->instances[from].dispatcher;
        std::vector<std::uint32_t> &inFlight = update.inFlight.emplace_back();
        for (std::uint32_t server = 0; server < this->settings.servers; ++server) {
            inFlight.push_back(dispatcher.inFlight(serverId(server)));
        }
        dispatcher.takeServedTokens(update.services.emplace_back());
        QueueWaitReport &pressure = update.pressures.emplace_back();
        pressure.instance = InstanceId(std::to_string(from));
        pressure.model = ModelName("model");
        pressure.measuredAt = this->now;
        dispatcher.forecastTierWaits(pressure.model, pressure.service, this->now, pressure.waits);
    }
    this->peerUpdates.push_back(std::move(update));
    if (this->peerUpdates.front().measuredAt + peerUpdateDelay > this->now) {
        return;
    }
    const PeerUpdate delayed = std::move(this->peerUpdates.front());
    this->peerUpdates.pop_front();
    for (std::uint32_t to = 0; to < this->settings.instances; ++to) {
        this->applyPeerUpdate(delayed, to);
        this->dispatch(to);
    }
}

void Simulation::applyPeerUpdate(const PeerUpdate &update, std::uint32_t to)
{
    Instance &instance = this->instances[to];
    for (std::uint32_t server = 0; server < this->settings.servers; ++server) {
        ServerLoadReport report{serverId(server), 0, 0, update.measuredAt};
        for (std::uint32_t from = 0; from < this->settings.instances; ++from) {
            report.peersInFlight += from == to ? 0 : update.inFlight[from][server];
        }
        instance.dispatcher->applyLoadReport(report);
    }
    instance.peers.clear();
    for (std::uint32_t from = 0; from < this->settings.instances; ++from) {
        if (from == to) {
            continue;
        }
        instance.peers.push_back(update.pressures[from]);
        for (const ServedTokensReport &service : update.services[from]) {
            instance.dispatcher->applyPeerServedTokens(service);
        }
    }
}

void Simulation::recordStart(int tier)
{
    std::uint64_t &last = this->lastStart[tier];
    std::uint64_t &longest = this->results.longestStartGap[tier];
    longest = std::max(longest, this->results.attempts - last);
    last = this->results.attempts;
}

void Simulation::updateFleet()
{
    std::vector<std::uint32_t> inFlight(this->settings.servers, 0);
    std::uint32_t waiting = 0;
    for (const Instance &instance : this->instances) {
        waiting += static_cast<std::uint32_t>(instance.dispatcher->waitingCount());
        for (std::uint32_t server = 0; server < this->settings.servers; ++server) {
            inFlight[server] += instance.dispatcher->inFlight(serverId(server));
        }
    }
    if (this->fleet.tick(inFlight, waiting, this->now)) {
        this->setServers();
        for (std::uint32_t instance = 0; instance < this->settings.instances; ++instance) {
            this->dispatch(instance);
        }
    }
}

void Simulation::sampleLoad()
{
    double busiest = 0.0;
    double sum = 0.0;
    for (const FakeEngine &engine : this->engines) {
        const double load = static_cast<double>(engine.running + engine.waiting.size());
        busiest = std::max(busiest, load);
        sum += load;
    }
    if (sum > 0.0) {
        this->results.meanPeakToMeanLoad += busiest * this->settings.servers / sum;
        ++this->loadSamples;
    }
}

} // namespace flamingosaddle::simulation
