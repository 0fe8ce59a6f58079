#include "decisionload.h"

#include <algorithm>
#include <string>

namespace flamingosaddle::simulation
{

namespace
{

constexpr std::uint32_t slotsPerServer = 8;
constexpr std::uint32_t targetBacklog = 2000;
constexpr int warmUpSteps = 200000;
constexpr Duration stepTime = std::chrono::milliseconds(1);

} // namespace

DecisionLoad::DecisionLoad()
    : dispatcher(DispatcherOptions())
    , random(1)
{
    this->running.reserve(static_cast<std::size_t>(servers) * slotsPerServer + 1);
    this->addServers();
    this->addProfiles();
    for (std::uint32_t i = 0; i < servers * slotsPerServer + targetBacklog; ++i) {
        this->submit();
    }
    this->dispatch();
    for (int i = 0; i < warmUpSteps; ++i) {
        this->step();
    }
}

void DecisionLoad::addServers()
{
    std::vector<BackendServer> configured;
    configured.reserve(servers);
    for (std::uint32_t i = 0; i < servers; ++i) {
        BackendServer server;
        server.id = BackendServerId("backend-" + std::to_string(i));
        server.dataCentre = DataCentre("dc-" + std::to_string(i % 3));
        server.models = {ModelName("model-" + std::to_string(i % models))};
        server.slots = slotsPerServer;
        server.cheap = i % 4 == 0;
        configured.push_back(server);
    }
    this->dispatcher.setServers(configured, this->now);
}

void DecisionLoad::addProfiles()
{
    for (std::uint32_t account = 0; account < accounts; ++account) {
        for (std::uint32_t model = 0; model < models; ++model) {
            for (int tier = 0; tier < tiers; ++tier) {
                RequestProfile profile;
                profile.clientAccount = ClientAccountId("account-" + std::to_string(account));
                profile.requestClass.name = ClassName("tier-" + std::to_string(tier));
                profile.requestClass.tier = tier;
                profile.requestClass.floorShare = tier == 0 ? 0.0 : 0.1;
                profile.requestClass.firstTokenTarget = std::chrono::minutes(4);
                profile.requestClass.cheapAllowed = tier > 0;
                profile.model = ModelName("model-" + std::to_string(model));
                profile.promptTokens = 400;
                this->profiles.push_back(profile);
            }
        }
    }
    std::shuffle(this->profiles.begin(), this->profiles.end(), this->random);
}

void DecisionLoad::submit()
{
    RequestProfile &profile = this->profiles[this->nextProfile];
    this->nextProfile = this->nextProfile + 1 == this->profiles.size() ? 0 : this->nextProfile + 1;
    profile.prefixHash = this->random() % 1000;
    profile.fingerprint = this->random() | 1U;
    profile.arrival = this->now;
    this->dispatcher.submit(profile, this->now);
}

void DecisionLoad::dispatch()
{
    this->dispatcher.dispatch(this->now, this->decisions);
    for (const Assignment &assignment : this->decisions.assignments) {
        this->running.push_back(assignment.ticket);
        ++this->startCount;
    }
}

void DecisionLoad::finishRandomRequest()
{
    if (this->running.empty()) {
        return;
    }
    const std::size_t index = this->random() % this->running.size();
    const Ticket ticket = this->running[index];
    this->running[index] = this->running.back();
    this->running.pop_back();
    this->dispatcher.onFirstToken(ticket, this->now);
    this->dispatcher.onTokens(ticket, 200, this->now);
    this->dispatcher.finish(ticket, AttemptOutcome::Completed, this->now);
}

void DecisionLoad::step()
{
    this->now += stepTime;
    this->finishRandomRequest();
    this->submit();
    if (this->dispatcher.waitingCount() < targetBacklog) {
        this->submit();
    }
    this->dispatch();
}

} // namespace flamingosaddle::simulation
