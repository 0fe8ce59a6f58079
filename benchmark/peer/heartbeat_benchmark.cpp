#include <flamingosaddle/peer/peerlink.h>
#include <flamingosaddle/peer/peerserver.h>

#include <benchmark/benchmark.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/**
 * Measures the cost of heartbeats for an instance. One iteration is one heartbeat interval: the instance sends a heartbeat to
 * each peer and receives one from each, including the acknowledgements of both. A minimal heartbeat contains no backend
 * servers and no client accounts. Compare CPU time, not wall time.
 */
namespace
{

using namespace flamingosaddle;

constexpr int models = 3;
constexpr int busyServers = 64;
constexpr int busyAccounts = 32;

HeartbeatMessage minimalHeartbeat(const Incarnation &from)
{
    HeartbeatMessage message;
    message.heartbeat.from = from;
    message.heartbeat.state = MemberState::Serving;
    message.heartbeat.address = Endpoint{"192.0.2.10", 4000};
    message.heartbeat.dataCentre = DataCentre("kerala-south-a");
    message.configOffset = 1000000;
    return message;
}

HeartbeatMessage busyHeartbeat(const Incarnation &from)
{
    HeartbeatMessage message = minimalHeartbeat(from);
    for (int model = 0; model < models; ++model) {
        message.waitingTiers.push_back({ModelName("model-" + std::to_string(model)), ServiceName(), 0});
    }
    for (int server = 0; server < busyServers; ++server) {
        message.loads.push_back({BackendServerId("kerala-south-a-engine-" + std::to_string(server)), 4});
    }
    for (int account = 0; account < busyAccounts; ++account) {
        message.servedTokens.push_back(
            {ClientAccountId("client-account-" + std::to_string(account)), ModelName("model-1"), ServiceName(), 1, 1000, 3000});
    }
    return message;
}

/**
 * A server and one link to it per peer, on a single thread.
 */
class PeerMesh
{
public:
    PeerMesh(std::int64_t peers, bool busy)
        : heartbeat(busy ? busyHeartbeat : minimalHeartbeat)
    {
        // Prevents automatic heartbeats; exchange() sends them.
        this->timing.heartbeatInterval = std::chrono::hours(1);
        PeerServerOptions options;
        options.listen = Endpoint{"127.0.0.1", 0};
        options.timing = this->timing;
        auto started = PeerServer::start(this->context, options, [this](const HelloMessage &, const PeerMessage &) {
            ++this->received;
        });
        this->server = std::move(started).value();
        for (std::int64_t peer = 0; peer < peers; ++peer) {
            this->addLink(Incarnation{InstanceId("instance-" + std::to_string(peer)), 1});
        }
        // Wait for the first heartbeat of each link.
        this->runUntil(static_cast<std::uint64_t>(peers));
    }

    ~PeerMesh()
    {
        this->links.clear();
        this->server->stop();
        this->context.restart();
        this->context.poll();
    }

    void exchange()
    {
        const std::uint64_t target = this->received + this->links.size();
        for (std::size_t i = 0; i < this->links.size(); ++i) {
            const Result<void> sent = this->links[i]->send(this->heartbeat(this->names[i]));
            benchmark::DoNotOptimize(sent.has_value());
        }
        this->runUntil(target);
    }

    std::uint64_t bytes() const
    {
        return this->server->counters().bytes;
    }

private:
    void addLink(const Incarnation &from)
    {
        PeerLinkOptions options;
        options.peer = this->server->localEndpoint();
        options.timing = this->timing;
        PeerLinkHooks hooks;
        hooks.hello = [from] {
            return HelloMessage{from, DataCentre("kerala-south-a"), 1};
        };
        hooks.heartbeat = [from] {
            return std::make_shared<const EncodedMessage>(encodeMessage(minimalHeartbeat(from)));
        };
        hooks.initialMessages = [] {
            return std::vector<PeerMessage>();
        };
        this->names.push_back(from);
        this->links.push_back(std::make_unique<PeerLink>(this->context, options, hooks));
        this->links.back()->start();
    }

    void runUntil(std::uint64_t count)
    {
        while (this->received < count) {
            this->context.restart();
            this->context.run_one();
        }
    }

    HeartbeatMessage (*heartbeat)(const Incarnation &);
    boost::asio::io_context context;
    PeerTiming timing;
    std::unique_ptr<PeerServer> server;
    std::vector<Incarnation> names;
    std::vector<std::unique_ptr<PeerLink>> links;
    std::uint64_t received = 0;
};

void heartbeatInterval(benchmark::State &state)
{
    PeerMesh mesh(state.range(0), state.range(1) != 0);
    const std::uint64_t bytesBefore = mesh.bytes();
    for (auto _ : state) {
        mesh.exchange();
    }
    const auto heartbeats = static_cast<double>(state.iterations() * state.range(0));
    state.counters["bytes_per_heartbeat"] = static_cast<double>(mesh.bytes() - bytesBefore) / heartbeats;
    state.counters["cpu_per_heartbeat"]
        = benchmark::Counter(heartbeats, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

} // namespace

BENCHMARK(heartbeatInterval)->ArgNames({"peers", "busy"})->ArgsProduct({{4, 41, 100}, {0, 1}})->Unit(benchmark::kMicrosecond);
