// Derives the targets whose servers are some of those of a model or service.

#include <flamingosaddle/traffic/serverpool.h>

#include <algorithm>
#include <iterator>

namespace flamingosaddle
{

void ServerPool::addHomeMemberships(ServerState &state, const std::vector<TargetMembership> &previous)
{
    if (this->homeTargets.empty()) {
        return;
    }
    const std::vector<TargetMembership> bases = state.memberships;
    for (const HomeTarget &home : this->homeTargets) {
        const bool isMember = std::any_of(bases.begin(), bases.end(), [&home](const TargetMembership &membership) {
            return membership.target == home.base;
        });
        if (isMember && isHome(home.homes, this->regions, this->dataCentreNames.name(state.dataCentre))) {
            this->addMembership(state, previous, home.target);
        }
    }
}

void ServerPool::setRegions(DataCentreRegions next)
{
    this->regions = std::move(next);
    for (ServerState &state : this->servers) {
        std::vector<TargetMembership> previous;
        previous.swap(state.memberships);
        std::copy_if(
            previous.begin(), previous.end(), std::back_inserter(state.memberships), [this](const TargetMembership &membership) {
                return !this->targets[membership.target].isOfHomes;
            });
        this->addHomeMemberships(state, previous);
    }
    this->rebuildTargets();
}

ModelName ServerPool::homeModel(const ModelName &model, const std::vector<RegionName> &homes)
{
    std::string names;
    for (const RegionName &home : homes) {
        names += (names.empty() ? "" : ",") + home.text();
    }
    return ModelName("(homes " + names + ") " + model.text());
}

TargetIndex ServerPool::internHomeTarget(TargetIndex target, const std::vector<RegionName> &homes)
{
    for (const HomeTarget &known : this->homeTargets) {
        if (known.base == target && known.homes == homes) {
            return known.target;
        }
    }
    const auto [model, service] = this->targetName(target);
    const TargetIndex homeTarget = this->internTarget(homeModel(model, homes), service);
    this->targets[homeTarget].isOfHomes = true;
    this->targets[homeTarget].isOfVersion = this->targets[target].isOfVersion;
    this->homeTargets.push_back({target, homeTarget, homes});
    this->setRegions(this->regions);
    return homeTarget;
}

void ServerPool::addMemberships(
    ServerState &state, const std::vector<TargetMembership> &previous, const ModelName &model, const ServiceName &service)
{
    this->addMembership(state, previous, this->internTarget(model, service));
    if (!state.softwareVersion.empty()) {
        this->addMembership(state, previous, this->internTarget(versionModel(model, state.softwareVersion), service));
    }
}

ModelName ServerPool::versionModel(const ModelName &model, const std::string &softwareVersion)
{
    return ModelName("(version " + softwareVersion + ") " + model.text());
}

TargetIndex ServerPool::internVersionTarget(TargetIndex target, const std::string &softwareVersion)
{
    const auto [model, service] = this->targetName(target);
    const TargetIndex versionTarget = this->internTarget(versionModel(model, softwareVersion), service);
    this->targets[versionTarget].isOfVersion = true;
    return versionTarget;
}

const ModelName &ServerPool::longPromptModel()
{
    static const ModelName name("(long prompts)");
    return name;
}

TargetIndex ServerPool::internTarget(const ModelName &model, const ServiceName &service)
{
    const TargetIndex index = this->targetNames.intern({model, service});
    if (index >= this->targets.size()) {
        this->targets.resize(index + 1);
    }
    return index;
}

} // namespace flamingosaddle
