#include "instancelist.h"

#include <algorithm>
#include <utility>

namespace flamingosaddle::standins
{

void InstanceList::setLag(Duration lag)
{
    this->lag = lag;
}

void InstanceList::put(const Json &instance, TimePoint now)
{
    std::map<std::string, Json> next = this->versions.empty() ? std::map<std::string, Json>{} : this->versions.back().instances;
    next[instance.at("id").get<std::string>()] = {{"id", instance.at("id")}, {"peerAddress", instance.at("peerAddress")},
        {"dataCentre", instance.at("dataCentre")}, {"leaving", instance.value("leaving", false)}};
    this->remember(std::move(next), now);
}

void InstanceList::replace(const Json &instances, TimePoint now)
{
    std::map<std::string, Json> next;
    for (const Json &instance : instances) {
        next[instance.at("id").get<std::string>()] = instance;
    }
    this->remember(std::move(next), now);
}

Json InstanceList::visible(TimePoint now) const
{
    const auto newest = std::find_if(this->versions.rbegin(), this->versions.rend(), [&](const Version &version) {
        return version.since + this->lag <= now;
    });
    Json result = Json::array();
    if (newest != this->versions.rend()) {
        for (const auto &[id, instance] : newest->instances) {
            result.push_back(instance);
        }
    }
    return result;
}

void InstanceList::remember(std::map<std::string, Json> instances, TimePoint now)
{
    // Of the versions that are visible by now only the newest can still be shown.
    while (this->versions.size() > 1 && this->versions[1].since + this->lag <= now) {
        this->versions.pop_front();
    }
    this->versions.push_back({now, std::move(instances)});
}

} // namespace flamingosaddle::standins
