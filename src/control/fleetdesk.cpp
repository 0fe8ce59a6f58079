#include <flamingosaddle/control/fleetdesk.h>

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/base/log.h>

#include <utility>
#include <vector>

namespace flamingosaddle
{

namespace
{

FleetAnswer answerOf(const Result<void> &sent)
{
    if (sent.has_value()) {
        return FleetAnswer::Accepted;
    }
    return sent.error().kind() == ErrorKind::Conflict ? FleetAnswer::NoneThere : FleetAnswer::Unknown;
}

} // namespace

FleetDesk::FleetDesk(const DutyHooks &hooks, DutyLog &duties, const Directory &directory)
    : hooks(hooks)
    , duties(duties)
    , directory(directory)
{
}

boost::asio::awaitable<void> FleetDesk::run()
{
    while (!this->stopped) {
        if (this->duties.isLeading() && this->directory.config().has_value()) {
            if (this->plannedUnder != this->duties.stamp().fence) {
                // What another leader ordered meanwhile is not known.
                this->plans.clear();
                this->plannedUnder = this->duties.stamp().fence;
            }
            const std::vector<ServiceRules> services = this->directory.config()->services;
            for (const ServiceRules &rules : services) {
                if (!rules.scaling.has_value()) {
                    continue;
                }
                const bool hasNone = co_await this->orderFor(rules);
                if (hasNone) {
                    // Substitutes for servers that are not to be had are ordered at once.
                    co_await this->orderFor(rules);
                }
            }
        }
        co_await delay(tick);
    }
}

void FleetDesk::stop()
{
    this->stopped = true;
}

void FleetDesk::noteDemand(const ServiceDemand &noted)
{
    this->demand.note(noted, RuntimeClock::now());
}

boost::asio::awaitable<bool> FleetDesk::orderFor(ServiceRules rules)
{
    const std::map<DataCentre, FleetCount> serving = this->servingOf(rules.name);
    if (serving.empty()) {
        // Nothing has registered yet: what serves is not known.
        co_return false;
    }
    const TimePoint now = RuntimeClock::now();
    const std::optional<BusyServers> busy = this->demand.busyServers(rules.name, now);
    const std::vector<FleetOrder> orders = this->plans[rules.name].due(*rules.scaling, serving, busy, now);
    bool hasNone = false;
    for (const FleetOrder &order : orders) {
        if (!this->duties.isLeading() || this->stopped) {
            co_return false;
        }
        const DutyStamp stamp = this->duties.stamp();
        const Result<void> sent = co_await this->hooks.orderServers(rules.name, order, stamp, this->duties.permission());
        logStateChange(sent.has_value() ? LogLevel::Info : LogLevel::Warning, "control", "servers ordered",
            {{"service", rules.name.text()}, {"data_centre", order.dataCentre.text()}, {"count", std::to_string(order.count)},
                {"cheap", order.cheap ? "yes" : "no"},
                {"busy_steady", busy.has_value() ? std::to_string(busy->steady) : "unknown"},
                {"busy_peak", busy.has_value() ? std::to_string(busy->peak) : "unknown"}, {"fence", std::to_string(stamp.fence)},
                {"outcome", sent.has_value() ? "accepted" : sent.error().text()}});
        const FleetAnswer answer = answerOf(sent);
        hasNone = hasNone || answer == FleetAnswer::NoneThere;
        this->plans[rules.name].answered(order, answer, RuntimeClock::now());
    }
    co_return hasNone;
}

std::map<DataCentre, FleetCount> FleetDesk::servingOf(const ServiceName &service) const
{
    std::map<DataCentre, FleetCount> serving;
    for (const auto &[id, registered] : this->directory.servers().servers()) {
        const BackendServer &server = registered.server;
        if (server.service != service || server.leaving) {
            continue;
        }
        FleetCount &count = serving[server.dataCentre];
        ++(server.cheap ? count.cheap : count.ordinary);
    }
    return serving;
}

} // namespace flamingosaddle
