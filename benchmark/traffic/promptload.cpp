#include "promptload.h"

#include <array>
#include <string>

namespace flamingosaddle::simulation
{

namespace
{

constexpr int warmUpSteps = 20000;
constexpr std::size_t maxPrefilling = 40;
constexpr std::size_t maxGenerating = 400;
constexpr Duration stepTime = std::chrono::milliseconds(5);
constexpr std::uint64_t stepsBetweenHeartbeats = 50;
constexpr std::array<std::uint32_t, 3> promptTokens = {1500, 9000, 17000}; // by tier

} // namespace

PromptLoad::PromptLoad()
    : dispatcher(DispatcherOptions())
    , random(1)
{
    std::vector<BackendServer> configured;
    configured.reserve(servers);
    for (std::uint32_t i = 0; i < servers; ++i) {
        BackendServer server;
        server.id = BackendServerId("backend-" + std::to_string(i));
        server.dataCentre = DataCentre("dc-" + std::to_string(i % 3));
        server.kind = BackendKind::Service;
        server.service = ServiceName("engines");
        server.slots = 64;
        server.cheap = i % 8 != 0;
        configured.push_back(server);
    }
    this->dispatcher.setServers(configured, this->now);
    for (std::size_t tier = 0; tier < promptTokens.size(); ++tier) {
        RequestProfile profile;
        profile.clientAccount = ClientAccountId("account");
        profile.requestClass.name = ClassName("tier-" + std::to_string(tier));
        profile.requestClass.tier = static_cast<int>(tier);
        profile.requestClass.firstTokenTarget = std::chrono::seconds(1 + tier);
        profile.service = ServiceName("engines");
        profile.promptTokens = promptTokens.at(tier);
        profile.sharedTokens = promptTokens.at(tier) / 4 * 3;
        profile.outputTokens = 100;
        this->profiles.push_back(profile);
    }
    for (int i = 0; i < warmUpSteps; ++i) {
        this->step();
    }
}

void PromptLoad::step()
{
    this->now += stepTime;
    RequestProfile &profile = this->profiles[this->random() % this->profiles.size()];
    profile.prefixHash = this->random() % prefixCount + 1;
    profile.fingerprint = this->random() | 1U;
    profile.arrival = this->now;
    this->dispatcher.submit(profile, this->now);
    this->dispatcher.dispatch(this->now, this->decisions);
    for (const Assignment &assignment : this->decisions.assignments) {
        this->prefilling.push_back(assignment.ticket);
        ++this->startCount;
    }
    if (this->prefilling.size() > maxPrefilling) {
        this->dispatcher.onFirstToken(this->prefilling.front(), this->now);
        this->generating.push_back(this->prefilling.front());
        this->prefilling.pop_front();
    }
    if (this->generating.size() > maxGenerating) {
        this->dispatcher.onTokens(this->generating.front(), 100, this->now);
        this->dispatcher.finish(this->generating.front(), AttemptOutcome::Completed, this->now);
        this->generating.pop_front();
    }
    if (++this->steps % stepsBetweenHeartbeats == 0) {
        this->dispatcher.takePrefills(this->prefills);
        this->dispatcher.takeDemands(this->demands);
    }
}

} // namespace flamingosaddle::simulation
