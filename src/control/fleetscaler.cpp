#include <flamingosaddle/control/fleetscaler.h>

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/base/log.h>

#include <utility>
#include <vector>

namespace flamingosaddle
{

namespace
{

FleetOrderResult toOrderResult(const Result<void> &sent)
{
    if (sent.has_value()) {
        return FleetOrderResult::Accepted;
    }
    return sent.error().kind() == ErrorKind::Conflict ? FleetOrderResult::Unavailable : FleetOrderResult::Unknown;
}

} // namespace

FleetScaler::FleetScaler(const DutyHooks &hooks, DutyLog &duties, const Directory &directory)
    : hooks(hooks)
    , dutyLog(duties)
    , directory(directory)
{
}

boost::asio::awaitable<void> FleetScaler::run()
{
    while (!this->stopped) {
        if (this->dutyLog.isLeading() && this->directory.config().has_value()) {
            if (this->planFencingNumber != this->dutyLog.fencingToken().fencingNumber) {
                // The orders of other leaders in between are not known.
                this->plans.clear();
                this->planFencingNumber = this->dutyLog.fencingToken().fencingNumber;
            }
            const std::vector<ServiceRules> services = this->directory.config()->services;
            for (const ServiceRules &rules : services) {
                if (!rules.scaling.has_value()) {
                    continue;
                }
                const bool hasUnavailable = co_await this->placeOrders(rules);
                if (hasUnavailable) {
                    // Substitutes for unavailable servers are ordered immediately.
                    co_await this->placeOrders(rules);
                }
            }
        }
        co_await delay(tickInterval);
    }
}

void FleetScaler::stop()
{
    this->stopped = true;
}

void FleetScaler::recordDemand(const ServiceDemand &reported)
{
    this->demand.record(reported, RuntimeClock::now());
}

boost::asio::awaitable<bool> FleetScaler::placeOrders(ServiceRules rules)
{
    const std::map<DataCentre, ServerCounts> serving = this->countServing(rules);
    if (serving.empty()) {
        // No server has registered yet, so the number of serving ones is not known.
        co_return false;
    }
    const TimePoint now = RuntimeClock::now();
    const std::optional<BusyServers> busy = this->demand.busyServers(rules.name, now);
    const std::vector<FleetOrder> orders
        = this->plans[rules.name].dueOrders(*rules.scaling, serving, busy, now, this->directory.evacuations().evacuated());
    bool hasUnavailable = false;
    for (const FleetOrder &order : orders) {
        if (!this->dutyLog.isLeading() || this->stopped) {
            co_return false;
        }
        if (this->directory.evacuations().isEvacuated(order.dataCentre)) {
            continue; // since an earlier order was sent
        }
        const FencingToken stamp = this->dutyLog.fencingToken();
        const Result<void> sent = co_await this->hooks.orderServers(rules.name, order, stamp, this->dutyLog.permission());
        logEvent(sent.has_value() ? LogLevel::Info : LogLevel::Warning, "control", "servers ordered",
            {{"service", rules.name.text()}, {"data_centre", order.dataCentre.text()}, {"count", std::to_string(order.count)},
                {"cheap", order.cheap ? "yes" : "no"},
                {"busy_steady", busy.has_value() ? std::to_string(busy->steady) : "unknown"},
                {"busy_peak", busy.has_value() ? std::to_string(busy->peak) : "unknown"},
                {"fence", std::to_string(stamp.fencingNumber)},
                {"outcome", sent.has_value() ? "accepted" : sent.error().text()}});
        const FleetOrderResult result = toOrderResult(sent);
        hasUnavailable = hasUnavailable || result == FleetOrderResult::Unavailable;
        this->plans[rules.name].onOrderResult(order, result, RuntimeClock::now());
    }
    co_return hasUnavailable;
}

std::map<DataCentre, ServerCounts> FleetScaler::countServing(const ServiceRules &rules) const
{
    const TimePoint now = RuntimeClock::now();
    std::map<DataCentre, ServerCounts> serving;
    for (const auto &[id, registered] : this->directory.servers().servers()) {
        const BackendServer &server = registered.server;
        if (server.service != rules.name || server.leaving) {
            continue;
        }
        ServerCounts &count = serving[server.dataCentre];
        ++(server.cheap ? count.cheap : count.ordinary);
        count.coldCheap += server.cheap && rules.coldRequestsPerSecond > 0.0 && server.coldUntil > now ? 1 : 0;
    }
    return serving;
}

} // namespace flamingosaddle
