#include <flamingosaddle/traffic/dispatcher.h>

#include "dispatcherimplementation.h"

#include <flamingosaddle/base/hash.h>

#include <utility>

namespace flamingosaddle
{

Dispatcher::Dispatcher(DispatcherOptions options)
    : Dispatcher(options, DispatcherPolicies())
{
}

Dispatcher::Dispatcher(DispatcherOptions options, DispatcherPolicies policies)
    : implementation(std::make_unique<Implementation>(options, std::move(policies)))
{
}

Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher &&) noexcept = default;
Dispatcher &Dispatcher::operator=(Dispatcher &&) noexcept = default;

void Dispatcher::setServers(const std::vector<BackendServer> &servers, TimePoint /*now*/)
{
    this->implementation->setServers(servers);
}

void Dispatcher::report(const ServerReport &report)
{
    this->implementation->pool.report(report);
    const std::optional<ServerIndex> index = this->implementation->pool.find(report.server);
    if (index.has_value()) {
        this->implementation->selector.prompts.reportPeers(*index, static_cast<double>(report.peersUnread));
    }
}

std::variant<Ticket, Refusal> Dispatcher::submit(const RequestProfile &profile, TimePoint now)
{
    return this->implementation->submit(profile, now);
}

void Dispatcher::dispatch(TimePoint now, Decisions &decisions)
{
    this->implementation->dispatch(now, decisions);
}

void Dispatcher::firstToken(Ticket ticket, TimePoint now)
{
    this->implementation->firstToken(ticket, now);
}

void Dispatcher::tokens(Ticket ticket, std::uint32_t count, TimePoint now)
{
    this->implementation->tokens(ticket, count, now);
}

void Dispatcher::finish(Ticket ticket, AttemptEnd outcome, TimePoint now)
{
    this->implementation->finish(ticket, outcome, now);
}

std::optional<Refusal> Dispatcher::retry(Ticket ticket, AttemptEnd outcome, bool anyByteSent, TimePoint now)
{
    return this->implementation->retry(ticket, outcome, anyByteSent, now);
}

void Dispatcher::cancel(Ticket ticket, TimePoint now)
{
    this->implementation->cancel(ticket, now);
}

void Dispatcher::noteDeath(std::uint64_t fingerprint, const BackendServerId &server, TimePoint now)
{
    this->implementation->quarantine.noteDeath(fingerprint, hash64(server.text()), now);
}

void Dispatcher::noteSuspect(std::uint64_t fingerprint, TimePoint until, TimePoint now)
{
    if (until <= now) {
        this->implementation->quarantine.exonerate(fingerprint);
    } else {
        this->implementation->quarantine.notePeerRun(fingerprint, until, now);
    }
}

void Dispatcher::notePeerService(const ServiceReport &report)
{
    this->implementation->notePeerService(report);
}

void Dispatcher::takeService(std::vector<ServiceReport> &reports)
{
    this->implementation->takeService(reports);
}

void Dispatcher::notePeerRead(const PromptRead &prefill)
{
    const std::optional<ServerIndex> index = this->implementation->pool.find(prefill.server);
    if (index.has_value()) {
        this->implementation->selector.prompts.noteKept(this->implementation->pool, *index, prefill.prefixHash);
    }
}

void Dispatcher::takeReads(std::vector<PromptRead> &prefills)
{
    prefills.swap(this->implementation->reads);
    this->implementation->reads.clear();
}

void Dispatcher::takeDemands(std::vector<ServiceDemand> &demands)
{
    demands.clear();
    for (const auto &[service, milliseconds] : std::exchange(this->implementation->demands, {})) {
        demands.push_back(ServiceDemand{service, static_cast<std::uint64_t>(milliseconds)});
    }
}

void Dispatcher::notePeersWaiting(const std::vector<WaitingTier> &waiting)
{
    this->implementation->notePeersWaiting(waiting);
}

void Dispatcher::excludeDataCentre(const DataCentre &dataCentre, TimePoint /*now*/)
{
    this->implementation->setExcluded(dataCentre, true);
}

void Dispatcher::includeDataCentre(const DataCentre &dataCentre, TimePoint /*now*/)
{
    this->implementation->setExcluded(dataCentre, false);
}

void Dispatcher::setInstanceCount(std::uint32_t count)
{
    this->implementation->instanceCount = count;
    this->implementation->pool.setInstanceCount(count);
}

WaitForecast Dispatcher::forecast(const RequestProfile &profile, TimePoint now)
{
    return this->implementation->forecastOf(profile, now);
}

void Dispatcher::pressure(const ModelName &model, const ServiceName &service, TimePoint now, std::vector<TierWait> &waits)
{
    this->implementation->pressure(model, service, now, waits);
}

std::size_t Dispatcher::waitingCount() const
{
    return this->implementation->waitingCount();
}

std::size_t Dispatcher::runningCount() const
{
    return this->implementation->runningCount();
}

void Dispatcher::waitingTiers(std::vector<WaitingTier> &waiting) const
{
    this->implementation->waitingTiers(waiting);
}

std::uint32_t Dispatcher::inFlight(const BackendServerId &server) const
{
    const std::optional<ServerIndex> index = this->implementation->pool.find(server);
    return index.has_value() ? this->implementation->pool.server(*index).inFlight : 0;
}

std::uint64_t Dispatcher::unreadTokens(const BackendServerId &server) const
{
    const std::optional<ServerIndex> index = this->implementation->pool.find(server);
    return index.has_value() ? static_cast<std::uint64_t>(this->implementation->selector.prompts.unreadHere(*index)) : 0;
}

std::optional<TimePoint> Dispatcher::nextWakeup() const
{
    return this->implementation->nextWakeup();
}

} // namespace flamingosaddle
