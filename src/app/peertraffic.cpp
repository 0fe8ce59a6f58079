#include <flamingosaddle/app/peertraffic.h>

#include <cmath>

namespace flamingosaddle
{

namespace
{

constexpr double thousandths = 1000.0;

ServiceCount toMessage(const ServiceReport &report)
{
    ServiceCount count;
    count.clientAccount = report.clientAccount;
    count.model = report.model;
    count.service = report.service;
    count.tier = report.tier;
    count.weightThousandths = static_cast<std::uint64_t>(std::llround(report.weight * thousandths));
    count.tokens = report.tokens;
    return count;
}

ServiceReport fromMessage(const ServiceCount &count)
{
    ServiceReport report;
    report.clientAccount = count.clientAccount;
    report.model = count.model;
    report.service = count.service;
    report.tier = count.tier;
    report.weight = static_cast<double>(count.weightThousandths) / thousandths;
    report.tokens = count.tokens;
    return report;
}

} // namespace

PeerTraffic::PeerTraffic(TrafficGate &gate)
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
                message.loads.push_back({server, inFlight, dispatcher.unreadTokens(server)});
            }
        }
        dispatcher.waitingTiers(message.waiting);
        dispatcher.takeReads(message.reads);
        dispatcher.takeDemands(message.demands);
        dispatcher.takeService(this->served);
    });
    for (const ServiceReport &report : this->served) {
        message.services.push_back(toMessage(report));
    }
}

void PeerTraffic::takeLoads(const std::vector<ServerLoad> &loads)
{
    this->gate.update([&loads](Dispatcher &dispatcher, TimePoint now) {
        for (const ServerLoad &load : loads) {
            dispatcher.report({load.server, load.inFlight, 0, now, load.unreadTokens});
        }
    });
}

void PeerTraffic::takeWaiting(const std::vector<WaitingTier> &waiting)
{
    this->gate.update([&waiting](Dispatcher &dispatcher, TimePoint) {
        dispatcher.notePeersWaiting(waiting);
    });
}

void PeerTraffic::takeServices(const std::vector<ServiceCount> &services)
{
    this->gate.update([&services](Dispatcher &dispatcher, TimePoint) {
        for (const ServiceCount &count : services) {
            dispatcher.notePeerService(fromMessage(count));
        }
    });
}

void PeerTraffic::takeReads(const std::vector<PromptRead> &reads)
{
    this->gate.update([&reads](Dispatcher &dispatcher, TimePoint) {
        for (const PromptRead &read : reads) {
            dispatcher.notePeerRead(read);
        }
    });
}

void PeerTraffic::takeQuarantines(const QuarantinesMessage &message)
{
    this->gate.update([&message](Dispatcher &dispatcher, TimePoint now) {
        for (const DeathNotice &death : message.deaths) {
            dispatcher.noteDeath(death.fingerprint, death.server, now);
        }
        for (const SuspectNotice &suspect : message.suspects) {
            dispatcher.noteSuspect(suspect.fingerprint, now + suspect.remaining, now);
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
