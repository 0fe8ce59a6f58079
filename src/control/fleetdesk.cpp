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
                // The orders of other leaders in between are not known.
                this->plans.clear();
                this->plannedUnder = this->duties.stamp().fence;
            }
            const std::vector<ServiceRules> services = this->directory.config()->services;
            for (const ServiceRules &rules : services) {
                if (!rules.scaling.has_value()) {
                    continue;
                }
                const bool hasUnavailable = co_await this->orderFor(rules);
                if (hasUnavailable) {
                    // Substitutes for unavailable servers are ordered immediately.
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

void FleetDesk::noteDemand(const ServiceDemand &reported)
{
    this->demand.note(reported, RuntimeClock::now());
}

boost::asio::awaitable<bool> FleetDesk::orderFor(ServiceRules rules)
{
    const std::map<DataCentre, FleetCount> serving = this->servingOf(rules.name);
    if (serving.empty()) {
        // No server has registered yet, so the number of serving ones is not known.
        co_return false;
    }
    const TimePoint now = RuntimeClock::now();
    const std::optional<BusyServers> busy = this->demand.busyServers(rules.name, now);
    const std::vector<FleetOrder> orders = this->plans[rules.name].due(*rules.scaling, serving, busy, now);
    bool hasUnavailable = false;
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
        hasUnavailable = hasUnavailable || answer == FleetAnswer::NoneThere;
        this->plans[rules.name].answered(order, answer, RuntimeClock::now());
    }
    co_return hasUnavailable;
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
