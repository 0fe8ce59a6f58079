#include <flamingosaddle/app/peertraffic.h>

#include <flamingosaddle/traffic/promptquarantine.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace flamingosaddle
{

namespace
{

constexpr double thousandths = 1000.0;
constexpr double maxRateThousandths = 1e15; // fits into 64 bits
constexpr std::size_t maxDeathCounts = 512; // sent to a newly connected peer, about 8 KB
constexpr std::chrono::milliseconds maxReportAge = std::chrono::hours(1); // assumed for older reports

ServedTokens toMessage(const ServedTokensReport &report)
{
    ServedTokens count;
    count.clientAccount = report.clientAccount;
    count.model = report.model;
    count.service = report.service;
    count.tier = report.tier;
    count.weightThousandths = static_cast<std::uint64_t>(std::llround(report.weight * thousandths));
    count.tokens = report.tokens;
    return count;
}

ServedTokensReport fromMessage(const ServedTokens &count)
{
    ServedTokensReport report;
    report.clientAccount = count.clientAccount;
    report.model = count.model;
    report.service = count.service;
    report.tier = count.tier;
    report.weight = static_cast<double>(count.weightThousandths) / thousandths;
    report.tokens = count.tokens;
    return report;
}

RateLimitReport toMessage(const ServerRateLimit &limit, TimePoint now)
{
    RateLimitReport report;
    report.server = limit.server;
    if (limit.requestsPerSecond.has_value()) {
        report.requestsPer1000Seconds
            = static_cast<std::uint64_t>(std::min(*limit.requestsPerSecond * thousandths, maxRateThousandths));
    }
    report.age = std::chrono::duration_cast<std::chrono::milliseconds>(now - limit.statedAt);
    return report;
}

ServerRateLimit fromMessage(const RateLimitReport &report, TimePoint now)
{
    ServerRateLimit limit;
    limit.server = report.server;
    if (report.requestsPer1000Seconds.has_value()) {
        limit.requestsPerSecond = static_cast<double>(*report.requestsPer1000Seconds) / thousandths;
    }
    limit.statedAt = now - std::clamp(report.age, std::chrono::milliseconds(0), maxReportAge);
    return limit;
}

} // namespace

std::vector<DeathNotice> toMessage(const ServerDeath &death)
{
    const auto toMilliseconds = [](Duration duration) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
    };
    std::vector<DeathNotice> notices;
    if (death.ago > Duration::zero()) {
        notices.push_back({0, death.server, {}, toMilliseconds(death.ago)});
    }
    notices.push_back({death.fingerprint, death.server, death.promptParts, toMilliseconds(death.ranFor + death.ago)});
    return notices;
}

PromptPartNotice toMessage(const PromptPartChange &change, TimePoint now)
{
    const Duration left = change.quarantinedUntil.value_or(now) - now;
    return {change.part, std::chrono::duration_cast<std::chrono::milliseconds>(left)};
}

std::vector<ServerDeath> fromMessage(const std::vector<DeathNotice> &notices)
{
    std::vector<ServerDeath> deaths;
    for (auto notice = notices.begin(); notice != notices.end(); ++notice) {
        // The age is bounded, since a peer may state any.
        const auto ranFor = std::clamp(notice->ranFor, std::chrono::milliseconds(0), maxReportAge);
        const bool isTimeOfDeath = notice->fingerprint == 0 && notice->promptParts.empty();
        const auto next = std::next(notice);
        if (isTimeOfDeath && next != notices.end() && next->server == notice->server) {
            const auto sinceStart = std::clamp(next->ranFor, ranFor, maxReportAge);
            deaths.push_back({next->server, next->fingerprint, next->promptParts, sinceStart - ranFor, ranFor});
            notice = next;
        } else {
            deaths.push_back({notice->server, notice->fingerprint, notice->promptParts, ranFor});
        }
    }
    return deaths;
}

PeerTraffic::PeerTraffic(AsyncDispatcher &gate)
    : gate(gate)
{
}

void PeerTraffic::setServers(const std::vector<BackendServer> &servers)
{
    this->servers.clear();
    for (const BackendServer &server : servers) {
        this->servers.push_back(server.id);
    }
}

void PeerTraffic::describe(HeartbeatMessage &message)
{
    this->gate.update([this, &message](Dispatcher &dispatcher, TimePoint now) {
        for (const BackendServerId &server : this->servers) {
            const std::uint32_t inFlight = dispatcher.inFlight(server);
            if (inFlight > 0) {
                message.loads.push_back({server, inFlight, dispatcher.backlogTokens(server)});
            }
        }
        dispatcher.waitingTiers(message.waitingTiers);
        message.unreachableTargets = dispatcher.unreachableTargets();
        dispatcher.takePrefills(message.prefills);
        dispatcher.takeDemands(message.demands);
        dispatcher.takeServedTokens(this->served);
        dispatcher.rateLimitReports(this->rateLimits, now);
        for (const ServerRateLimit &limit : this->rateLimits) {
            message.rateLimits.push_back(toMessage(limit, now));
        }
        for (const TargetRejectionLimit &limit : dispatcher.rejectionLimitReports(now)) {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - limit.statedAt);
            message.rejectionLimits.push_back({limit.target, limit.rejectionsPerSecond, age});
        }
    });
    for (const ServedTokensReport &report : this->served) {
        message.servedTokens.push_back(toMessage(report));
    }
}

void PeerTraffic::takeLoads(const std::vector<ServerLoad> &loads)
{
    this->gate.update([&loads](Dispatcher &dispatcher, TimePoint now) {
        for (const ServerLoad &load : loads) {
            dispatcher.applyLoadReport({load.server, load.inFlight, 0, now, load.backlogTokens});
        }
    });
}

void PeerTraffic::takeWaiting(const std::vector<WaitingTier> &waiting)
{
    this->gate.update([&waiting](Dispatcher &dispatcher, TimePoint) {
        dispatcher.applyPeerWaitingTiers(waiting);
    });
}

void PeerTraffic::takeServices(const std::vector<ServedTokens> &services)
{
    this->gate.update([&services](Dispatcher &dispatcher, TimePoint) {
        for (const ServedTokens &count : services) {
            dispatcher.applyPeerServedTokens(fromMessage(count));
        }
    });
}

void PeerTraffic::takePrefills(const std::vector<PromptPrefill> &reads)
{
    this->gate.update([&reads](Dispatcher &dispatcher, TimePoint) {
        for (const PromptPrefill &read : reads) {
            dispatcher.applyPeerPrefill(read);
        }
    });
}

void PeerTraffic::takeQuarantines(const QuarantinesMessage &message)
{
    this->gate.update([&message](Dispatcher &dispatcher, TimePoint now) {
        for (const ServerDeath &death : fromMessage(message.deaths)) {
            dispatcher.applyPeerDeath(death, now);
        }
        for (const SuspectNotice &suspect : message.suspects) {
            dispatcher.applyPeerSuspect(suspect.fingerprint, now + suspect.validFor, now);
        }
        for (const DeathCountNotice &count : message.deathCounts) {
            const auto validFor = std::min<Duration>(count.validFor, Quarantine::expiry);
            dispatcher.applyPeerDeathCount({count.fingerprint, count.deaths, now + validFor}, now);
        }
        for (const PromptPartNotice &notice : message.quarantinedParts) {
            const auto validFor = std::min<Duration>(notice.validFor, PromptQuarantine::quarantineTime);
            dispatcher.applyPeerPromptPart({notice.part, now + validFor, false}, now);
        }
        for (const std::uint64_t part : message.clearedParts) {
            dispatcher.applyPeerPromptPart({part, std::nullopt, false}, now);
        }
    });
}

QuarantinesMessage PeerTraffic::deathCounts()
{
    QuarantinesMessage message;
    this->gate.update([&message](const Dispatcher &dispatcher, TimePoint now) {
        for (const DeathCount &count : dispatcher.deathCounts(maxDeathCounts, now)) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(count.expires - now);
            message.deathCounts.push_back({count.fingerprint, count.deaths, left});
        }
        for (const PromptPartChange &change : dispatcher.quarantinedPromptParts(now)) {
            message.quarantinedParts.push_back(toMessage(change, now));
        }
    });
    return message;
}

void PeerTraffic::takeServingCount(std::size_t count)
{
    this->gate.update([count](Dispatcher &dispatcher, TimePoint) {
        dispatcher.setInstanceCount(static_cast<std::uint32_t>(count));
    });
}

std::vector<TargetRejectionLimit> PeerTraffic::applyRejectionLimits(const std::vector<RejectionLimitReport> &reports)
{
    std::vector<TargetRejectionLimit> changes;
    this->gate.update([&reports, &changes](Dispatcher &dispatcher, TimePoint now) {
        for (const RejectionLimitReport &report : reports) {
            const TimePoint statedAt = now - std::clamp(report.age, std::chrono::milliseconds(0), maxReportAge);
            const TargetRejectionLimit limit{report.target, report.rejectionsPerSecond, statedAt};
            if (dispatcher.applyPeerRejectionLimit(limit, now)) {
                changes.push_back(limit);
            }
        }
    });
    return changes;
}

std::vector<ServerRateLimit> PeerTraffic::applyRateLimits(const std::vector<RateLimitReport> &reports)
{
    std::vector<ServerRateLimit> changes;
    this->gate.update([&reports, &changes](Dispatcher &dispatcher, TimePoint now) {
        for (const RateLimitReport &report : reports) {
            const ServerRateLimit limit = fromMessage(report, now);
            if (dispatcher.applyPeerRateLimit(limit, now)) {
                changes.push_back(limit);
            }
        }
    });
    return changes;
}

void PeerTraffic::setPeerPaths(const DataCentre &ownDataCentre, const std::vector<PeerPath> &peers)
{
    this->gate.update([&ownDataCentre, &peers](Dispatcher &dispatcher, TimePoint) {
        dispatcher.setPeerPaths(ownDataCentre, peers);
    });
}

void PeerTraffic::onServersConfirmed(TimePoint confirmedAt)
{
    this->gate.update([confirmedAt](Dispatcher &dispatcher, TimePoint now) {
        dispatcher.onServersConfirmed(confirmedAt, now);
    });
}

void PeerTraffic::setInstances(const InstanceId &self, const std::vector<InstanceId> &peers)
{
    this->gate.update([&self, &peers](Dispatcher &dispatcher, TimePoint now) {
        dispatcher.setInstances(self, peers, now);
    });
}

} // namespace flamingosaddle
