#include <flamingosaddle/app/peertraffic.h>

#include <cmath>

namespace flamingosaddle
{

namespace
{

constexpr double thousandths = 1000.0;

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

} // namespace

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
    this->gate.update([this, &message](Dispatcher &dispatcher, TimePoint) {
        for (const BackendServerId &server : this->servers) {
            const std::uint32_t inFlight = dispatcher.inFlight(server);
            if (inFlight > 0) {
                message.loads.push_back({server, inFlight, dispatcher.backlogTokens(server)});
            }
        }
        dispatcher.waitingTiers(message.waitingTiers);
        dispatcher.takePrefills(message.prefills);
        dispatcher.takeDemands(message.demands);
        dispatcher.takeServedTokens(this->served);
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
        for (const DeathNotice &death : message.deaths) {
            dispatcher.applyPeerDeath(death.fingerprint, death.server, now);
        }
        for (const SuspectNotice &suspect : message.suspects) {
            dispatcher.applyPeerSuspect(suspect.fingerprint, now + suspect.validFor, now);
        }
    });
}

void PeerTraffic::takeServingCount(std::size_t count)
{
    this->gate.update([count](Dispatcher &dispatcher, TimePoint) {
        dispatcher.setInstanceCount(static_cast<std::uint32_t>(count));
    });
}

} // namespace flamingosaddle
