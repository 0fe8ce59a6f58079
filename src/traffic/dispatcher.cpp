#include <flamingosaddle/traffic/dispatcher.h>

#include "dispatcherimplementation.h"

#include <flamingosaddle/base/hash.h>

#include <utility>

namespace flamingosaddle
{

Dispatcher::Dispatcher(const DispatcherOptions &options)
    : Dispatcher(options, DispatcherPolicies())
{
}

Dispatcher::Dispatcher(const DispatcherOptions &options, DispatcherPolicies policies)
    : implementation(std::make_unique<Implementation>(options, std::move(policies)))
{
}

Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher &&) noexcept = default;
Dispatcher &Dispatcher::operator=(Dispatcher &&) noexcept = default;

void Dispatcher::setServers(const std::vector<BackendServer> &servers, TimePoint now)
{
    this->implementation->setServers(servers, now);
}

void Dispatcher::drain(TimePoint end)
{
    this->implementation->drain(end);
}

void Dispatcher::applyLoadReport(const ServerLoadReport &report)
{
    this->implementation->pool.applyLoadReport(report);
    const std::optional<ServerIndex> index = this->implementation->pool.find(report.server);
    if (index.has_value()) {
        this->implementation->selector.promptPlacement.applyPeerBacklog(*index, static_cast<double>(report.peerBacklogTokens));
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

std::optional<ServerRateLimit> Dispatcher::onResponseHead(Ticket ticket, std::optional<double> rateLimit, TimePoint now)
{
    return this->implementation->onResponseHead(ticket, rateLimit, now);
}

std::optional<ServerRejectionLimit> Dispatcher::onRejectionLimit(
    Ticket ticket, std::optional<std::uint32_t> rejectionsPerSecond, TimePoint now)
{
    return this->implementation->onRejectionLimit(ticket, rejectionsPerSecond, now);
}

bool Dispatcher::applyPeerRejectionLimit(const TargetRejectionLimit &report, TimePoint now)
{
    return this->implementation->applyPeerRejectionLimit(report, now);
}

std::vector<TargetRejectionLimit> Dispatcher::rejectionLimitReports(TimePoint now) const
{
    return this->implementation->rejectionLimitReports(now);
}

bool Dispatcher::onPauseRequested(Ticket ticket, Duration pause, TimePoint now)
{
    return this->implementation->onPauseRequested(ticket, pause, now);
}

AttemptOutcome Dispatcher::withoutRestart(Ticket ticket, AttemptOutcome outcome, TimePoint now)
{
    return this->implementation->withoutRestart(ticket, outcome, now);
}

void Dispatcher::requireVersion(Ticket ticket, const std::string &softwareVersion)
{
    this->implementation->requireVersion(ticket, softwareVersion);
}

bool Dispatcher::tryResend(Ticket ticket, TimePoint now)
{
    return this->implementation->tryResend(ticket, now);
}

void Dispatcher::onFirstToken(Ticket ticket, TimePoint now)
{
    this->implementation->onFirstToken(ticket, now);
}

void Dispatcher::onTokens(Ticket ticket, std::uint32_t count, TimePoint now)
{
    this->implementation->onTokens(ticket, count, now);
}

void Dispatcher::finish(Ticket ticket, AttemptOutcome outcome, TimePoint now)
{
    this->implementation->finish(ticket, outcome, now);
}

std::optional<Refusal> Dispatcher::retry(Ticket ticket, AttemptOutcome outcome, bool anyByteSent, TimePoint now)
{
    return this->implementation->retry(ticket, outcome, anyByteSent, now);
}

void Dispatcher::cancel(Ticket ticket, TimePoint now)
{
    this->implementation->cancel(ticket, now);
}

void Dispatcher::applyPeerDeath(const ServerDeath &death, TimePoint now)
{
    this->implementation->applyPeerDeath(death, now);
}

void Dispatcher::applyPeerSuspect(std::uint64_t fingerprint, TimePoint until, TimePoint now)
{
    if (until <= now) {
        this->implementation->quarantine.clearSuspicion(fingerprint);
    } else {
        this->implementation->quarantine.applyPeerRun(fingerprint, until, now);
    }
}

void Dispatcher::applyPeerDeathCount(const DeathCount &count, TimePoint now)
{
    this->implementation->quarantine.applyPeerDeathCount(count.fingerprint, count.deaths, count.expires, now);
}

void Dispatcher::applyPeerPromptPart(const PromptPartChange &change, TimePoint now)
{
    this->implementation->applyPeerPromptPart(change, now);
}

std::vector<PromptPartChange> Dispatcher::takePromptPartChanges()
{
    return std::exchange(this->implementation->promptPartChanges, {});
}

void Dispatcher::applyPeerServedTokens(const ServedTokensReport &report)
{
    this->implementation->applyPeerServedTokens(report);
}

void Dispatcher::takeServedTokens(std::vector<ServedTokensReport> &reports)
{
    this->implementation->takeServedTokens(reports);
}

void Dispatcher::applyPeerPrefill(const PromptPrefill &prefill)
{
    const std::optional<ServerIndex> index = this->implementation->pool.find(prefill.server);
    if (index.has_value()) {
        this->implementation->selector.promptPlacement.applyPeerPrefill(this->implementation->pool, *index, prefill.prefixHash);
    }
}

void Dispatcher::takePrefills(std::vector<PromptPrefill> &prefills)
{
    prefills.swap(this->implementation->prefills);
    this->implementation->prefills.clear();
}

void Dispatcher::takeDemands(std::vector<ServiceDemand> &demands)
{
    demands.clear();
    for (const auto &[service, milliseconds] : std::exchange(this->implementation->demands, {})) {
        demands.push_back(ServiceDemand{service, static_cast<std::uint64_t>(milliseconds)});
    }
}

bool Dispatcher::applyPeerRateLimit(const ServerRateLimit &report, TimePoint now)
{
    return this->implementation->applyPeerRateLimit(report, now);
}

void Dispatcher::rateLimitReports(std::vector<ServerRateLimit> &reports, TimePoint now)
{
    this->implementation->rateLimitReports(reports, now);
}

void Dispatcher::setInstances(const InstanceId &self, const std::vector<InstanceId> &peers, TimePoint now)
{
    this->implementation->rateLimits.setInstances(self, peers);
    this->implementation->rejectionLimits.setInstances(self, peers);
    this->implementation->coldServers.setInstances(self, peers);
    this->implementation->sharingCount.set(static_cast<std::uint32_t>(peers.size()) + 1, now);
    this->implementation->updateRateShares(now);
    this->implementation->updateRejectionShares(now);
    this->implementation->updateColdServers(now);
}

void Dispatcher::onServersConfirmed(TimePoint confirmedAt, TimePoint now)
{
    this->implementation->onServersConfirmed(confirmedAt, now);
}

void Dispatcher::onDataCentreReturned(const DataCentre &dataCentre, TimePoint now)
{
    this->implementation->onDataCentreReturned(dataCentre, now);
}

std::vector<ColdServerChange> Dispatcher::takeColdChanges()
{
    return std::exchange(this->implementation->coldChanges, {});
}

void Dispatcher::applyPeerWaitingTiers(const std::vector<WaitingTier> &waiting)
{
    this->implementation->applyPeerWaitingTiers(waiting);
}

void Dispatcher::excludeDataCentre(const DataCentre &dataCentre, TimePoint /*now*/)
{
    this->implementation->setExcluded(dataCentre, true);
}

void Dispatcher::includeDataCentre(const DataCentre &dataCentre, TimePoint /*now*/)
{
    this->implementation->setExcluded(dataCentre, false);
}

void Dispatcher::setEvacuated(const DataCentre &dataCentre, bool evacuated, TimePoint now)
{
    this->implementation->setEvacuated(dataCentre, evacuated, now);
}

void Dispatcher::setRegions(const DataCentreRegions &regions)
{
    this->implementation->setRegions(regions);
}

void Dispatcher::setInstanceCount(std::uint32_t count)
{
    this->implementation->pool.setInstanceCount(count);
}

WaitForecast Dispatcher::forecast(const RequestProfile &profile, TimePoint now)
{
    return this->implementation->forecastOf(profile, now);
}

void Dispatcher::forecastTierWaits(
    const ModelName &model, const ServiceName &service, TimePoint now, std::vector<TierWait> &waits)
{
    this->implementation->forecastTierWaits(model, service, now, waits);
}

std::vector<DeathCount> Dispatcher::deathCounts(std::size_t most, TimePoint now) const
{
    return this->implementation->quarantine.deathCounts(most, now);
}

std::vector<PromptPartChange> Dispatcher::quarantinedPromptParts(TimePoint now) const
{
    return this->implementation->promptQuarantine.quarantined(now);
}

void Dispatcher::takePathChecks(TimePoint now, std::vector<PathCheck> &checks)
{
    this->implementation->takePathChecks(now, checks);
}

void Dispatcher::onPathCheck(const PathCheck &check, bool isReached, TimePoint now)
{
    this->implementation->onPathCheck(check, isReached, now);
}

void Dispatcher::setPeerPaths(const DataCentre &ownDataCentre, std::vector<PeerPath> peers)
{
    this->implementation->setPeerPaths(ownDataCentre, std::move(peers));
}

std::optional<PeerPath> Dispatcher::choosePeer(const RequestProfile &profile, const std::vector<InstanceId> &tried)
{
    return this->implementation->peers.choose({profile.model, profile.service}, tried, profile.homes);
}

void Dispatcher::releasePeer(const InstanceId &peer)
{
    this->implementation->peers.release(peer);
}

void Dispatcher::recordPeerUnreachable(const InstanceId &peer, const RequestProfile &profile)
{
    this->implementation->peers.recordUnreachable(peer, {profile.model, profile.service});
}

bool Dispatcher::isUnreachable(const RequestProfile &profile)
{
    return this->implementation->isUnreachable(profile);
}

std::vector<ServerDeath> Dispatcher::takeDeaths()
{
    return std::exchange(this->implementation->deaths, {});
}

std::vector<PathChange> Dispatcher::takePathChanges()
{
    return std::exchange(this->implementation->pathChanges, {});
}

std::vector<TargetName> Dispatcher::unreachableTargets() const
{
    return this->implementation->unreachableTargets();
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

std::size_t Dispatcher::rateLimitedCount() const
{
    return this->implementation->rateLimits.size();
}

std::size_t Dispatcher::coldCount() const
{
    return this->implementation->pool.coldServers().size();
}

std::vector<ColdServerStatus> Dispatcher::coldServers(TimePoint now) const
{
    return this->implementation->coldServerStatuses(now);
}

std::uint32_t Dispatcher::inFlight(const BackendServerId &server) const
{
    const std::optional<ServerIndex> index = this->implementation->pool.find(server);
    return index.has_value() ? this->implementation->pool.server(*index).inFlight : 0;
}

std::uint64_t Dispatcher::backlogTokens(const BackendServerId &server) const
{
    const std::optional<ServerIndex> index = this->implementation->pool.find(server);
    return index.has_value()
        ? static_cast<std::uint64_t>(this->implementation->selector.promptPlacement.localBacklogTokens(*index))
        : 0;
}

std::optional<TimePoint> Dispatcher::nextPathCheck() const
{
    return this->implementation->nextPathCheck();
}

std::optional<TimePoint> Dispatcher::nextWakeup() const
{
    return this->implementation->nextWakeup();
}

} // namespace flamingosaddle
