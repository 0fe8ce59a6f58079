#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/peer/peerlink.h>
#include <flamingosaddle/peer/peerserver.h>
#include <flamingosaddle/platform/platform.h>
#include <flamingosaddle/state/membership.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace flamingosaddle
{

/**
 * What the exchange asks of and tells the rest of the control side. Called on the control thread.
 */
struct PeerExchangeHooks {
    std::function<std::uint64_t()> configOffset; ///< next offset of the config stream
    std::function<bool()> readsLog; ///< whether this instance read the config stream to its end a short time ago
    std::function<bool()> leads; ///< whether this instance does the duties of one instance at a time
    std::function<std::string()> configSnapshot;
    std::function<std::vector<KeyId>()> tombstones; ///< that the log may not have yet
    std::function<void(HeartbeatMessage &)> describeTraffic; ///< fills in what it says of traffic

    std::function<void(const std::string &)> onConfigSnapshot;
    std::function<void(const KeyId &)> onTombstone;
    std::function<void(const std::vector<ServerLoad> &)> onLoads; ///< requests of all peers together, by backend server
    /** The most urgent tier that waits at any peer, for each model or service where one does. */
    std::function<void(const std::vector<WaitingTier> &)> onWaiting;
    std::function<void(const std::vector<ServiceCount> &)> onServices;
    std::function<void(const std::vector<PromptRead> &)> onReads;
    std::function<void(const std::vector<ServiceDemand> &)> onDemands; ///< of each instance, this one included
    std::function<void()> onLeader; ///< a peer says that it leads
    std::function<void(const QuarantinesMessage &)> onQuarantines;
    std::function<void(std::size_t)> onServingCount; ///< instances that serve, this one included

    std::function<StoreProgress()> progress; ///< at the store, for instances that rely on this one
    /** How far the relay at an address was, when it answered a question that was sent at @p askedAt; @p isNear for one of the
     * own data centre. */
    std::function<void(const Endpoint &peer, bool isNear, const StoreProgress &progress, TimePoint askedAt)> onProgress;
    std::function<ServersMessage(std::uint64_t from)> serversSince;
    std::function<void(const ServersMessage &)> onServers;
    /** Usage counts of an instance that relies on this one; @p taken is to be called once they are in the log. */
    std::function<void(const std::string &record, std::function<void()> taken)> onCounts;
    std::function<void(std::uint64_t sequence)> onCountsTaken; ///< of an own record of counts
};

struct PeerExchangeOptions {
    Incarnation self;
    DataCentre dataCentre;
    std::vector<Endpoint> seeds; ///< contacted besides the platform's list
    PeerTiming timing;
    MembershipTiming membership;
    Duration listInterval = std::chrono::seconds(2); ///< between two looks at the platform's list
    /** Instances of a data centre that read the store for the others of it; two, so that one may be lost without a gap. */
    std::size_t relaysPerDataCentre = 2;
    /** Whether the word of peers may stand for a look at the log, so that lastAgreement() is kept up. */
    bool agreesWithPeers = true;
    std::uint64_t seed = 1;
};

/**
 * The exchange with the other instances: who they are, what they run, and what they know that this one may not. Lives on the
 * control thread.
 */
class PeerExchange
{
public:
    PeerExchange(
        boost::asio::io_context &context, const Platform &platform, PeerExchangeOptions options, PeerExchangeHooks hooks);

    // Commands.

    /** Listens on @p endpoint. Fails with InvalidSetting when it cannot be bound. */
    Result<void> listen(const Endpoint &endpoint);

    /** Each runs until stop(); the object has to outlive the coroutines. */
    boost::asio::awaitable<void> runTicks();
    boost::asio::awaitable<void> runList();
    void stop();

    void setState(MemberState state);
    void sendTombstone(const KeyId &id);
    void sendQuarantines(const QuarantinesMessage &message);
    /** Sends to the instance at @p peer, when there is a connection to it. */
    void sendTo(const Endpoint &peer, const PeerMessage &message);
    /** Sends to the first relay of this data centre that is connected; answers whether there was one. */
    bool sendToRelay(const PeerMessage &message);

    // Queries.
    /** Whether this instance reads the store for others: those of its data centre rely on the same few. */
    bool isRelay() const;
    Endpoint localEndpoint() const;
    const Membership &membership() const;
    /**
     * Until when this instance last knew from its peers that it misses no withdrawn key. A peer that reads the log and is no
     * further in it vouches for the moment of its heartbeat. While nobody reads the log, more than half of the known
     * instances, this one included, have to agree on the offset. Nothing before the first such moment.
     */
    std::optional<TimePoint> lastAgreement() const;
    /** Whether any other instance is known, listed or alive. */
    bool hasOthers() const;
    std::uint64_t sentBytes() const;

private:
    struct PeerConfig {
        std::uint64_t offset = 0;
        TimePoint heardAt;
    };

    void onMessage(const HelloMessage &from, const PeerMessage &message);
    void take(const HelloMessage &from, const HeartbeatMessage &message);
    void noteAgreement(const HeartbeatMessage &message, TimePoint now);
    bool majorityAgrees(TimePoint now) const;
    void updateElectorate();
    void helpIfBehind(const HeartbeatMessage &message);
    bool isHelperOf(const HeartbeatMessage &message) const;
    void updateRelays();
    void answerServersRequest(const HelloMessage &from, std::uint64_t offset);
    void takeCounts(const HelloMessage &from, const CountsMessage &message);
    /** Sends to an instance by its name, when it is heard and connected. */
    void sendToInstance(const InstanceId &instance, const PeerMessage &message);
    void refreshLinks();
    void openLink(const Endpoint &endpoint);
    PeerLinkHooks linkHooks(const Endpoint &peer);
    HeartbeatMessage nextHeartbeat();
    std::vector<PeerMessage> greeting() const;
    void broadcast(const PeerMessage &message);
    void passOnLoads();
    void passOnWaiting();
    /** Tells the peers of instances that are heard since the last call. */
    void passOnInstances();
    std::map<InstanceId, Endpoint> heardInstances() const;
    void noteServingCount();

    boost::asio::io_context &context;
    const Platform &platform;
    PeerExchangeOptions options;
    PeerExchangeHooks hooks;
    Membership members;
    std::unique_ptr<PeerServer> server;
    std::map<Endpoint, std::unique_ptr<PeerLink>> links;
    std::map<InstanceId, std::vector<ServerLoad>> loads; ///< what each peer runs
    std::map<InstanceId, std::vector<WaitingTier>> waiting; ///< what waits at each peer
    std::set<BackendServerId> reportedServers; ///< whose load was passed on at the last heartbeat
    std::map<InstanceId, Endpoint> toldInstances; ///< that the peers were told of
    std::map<InstanceId, PeerConfig> configs; ///< by each peer's last heartbeat
    std::shared_ptr<const EncodedMessage> current; ///< the heartbeat of this interval, for all links
    std::set<InstanceId> electorate; ///< members that were known when anyone last read the log, and those since
    std::optional<TimePoint> agreedAt;
    std::vector<Endpoint> relays; ///< of this data centre, without this instance, the preferred one first
    bool relaying = true; ///< until it hears of others, an instance relies on itself
    std::uint64_t connections = 0;
    std::size_t servingCount = 0;
    bool stopped = false;
};

} // namespace flamingosaddle
