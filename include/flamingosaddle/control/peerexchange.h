#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/peer/peerlink.h>
#include <flamingosaddle/peer/peerserver.h>
#include <flamingosaddle/platform/platform.h>
#include <flamingosaddle/state/membership.h>
#include <flamingosaddle/state/peerpath.h>

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
 * Queries and callbacks from the exchange to the other control components. Called on the control thread.
 */
struct PeerExchangeHooks {
    std::function<std::uint64_t()> configOffset; ///< next offset of the config stream
    std::function<bool()> hasFreshConfig; ///< whether this instance read the config stream to its end within the freshness limit
    std::function<bool()> isLeader; ///< whether this instance holds the leader lease and renews it in time
    std::function<std::string()> configSnapshot;
    std::function<std::vector<KeyId>()> tombstones; ///< keys whose withdrawal may not be in the log yet
    std::function<QuarantinesMessage()> deathCounts; ///< deaths of backend servers that a newly connected peer may have missed
    std::function<void(HeartbeatMessage &)> fillTrafficState; ///< fills in the message's fields on traffic

    std::function<void(const std::string &)> onConfigSnapshot;
    std::function<void(const KeyId &)> onTombstone;
    std::function<void(const std::vector<ServerLoad> &)> onLoads; ///< sum over all live peers, by backend server
    /** The most urgent tier that waits at any live peer, for each model or service with waiting requests. */
    std::function<void(const std::vector<WaitingTier> &)> onWaitingTiers;
    std::function<void(const std::vector<ServedTokens> &)> onServedTokens;
    std::function<void(const std::vector<PromptPrefill> &)> onPrefills;
    std::function<void(const std::vector<ServiceDemand> &)> onDemands; ///< demands of each instance, including this one
    std::function<void(const std::vector<RateLimitReport> &)> onRateLimits; ///< not called without reports
    std::function<void(const std::vector<RejectionLimitReport> &)> onRejectionLimits; ///< not called without reports
    /** The other instances that share limits common to all, at each change. Not called before they can be known. */
    std::function<void(const std::vector<InstanceId> &)> onSharingInstances;
    /** The live peers that take forwarded requests, at each change. */
    std::function<void(const std::vector<PeerPath> &)> onPeerPaths;
    std::function<void()> onLeaderHeartbeat; ///< a heartbeat of a peer that is the leader has arrived
    std::function<void()> onLeaderLoss; ///< the peer that was the leader says that it no longer is, or cannot renew its lease
    std::function<void(const QuarantinesMessage &)> onQuarantines;
    std::function<void(std::size_t)> onServingCount; ///< number of serving instances, including this one

    /** Progress of this instance's own reads of the store, for the instances that rely on it. */
    std::function<StoreProgress()> progress;
    /**
     * The progress of the peer at an address, from its acknowledgement of a frame that was sent at @p sentAt. @p isSameDataCentre
     * is true for a relay of the own data centre.
     */
    std::function<void(const Endpoint &peer, bool isSameDataCentre, const StoreProgress &progress, TimePoint sentAt)>
        onRelayProgress;
    std::function<ServersMessage(std::uint64_t from)> serversSince;
    std::function<void(const ServersMessage &)> onServers;
    /** Usage counts of an instance that relies on this one; @p acknowledge must be called once they are in the log. */
    std::function<void(const std::string &record, std::function<void()> acknowledge)> onCounts;
    std::function<void(std::uint64_t sequence)> onCountsAcknowledged; ///< a relay has appended this instance's record of counts
};

struct PeerExchangeOptions {
    Incarnation self;
    DataCentre dataCentre;
    std::vector<Endpoint> seeds; ///< contacted in addition to the platform's list of instances
    PeerTiming timing;
    PeerServerLimits limits{};
    MembershipTiming membership;
    Duration instanceListInterval = std::chrono::seconds(2); ///< between two reads of the platform's list of instances
    /** Relays per data centre. With two, the loss of one leaves no gap. */
    std::size_t relaysPerDataCentre = 2;
    /** Peers that were not heard for longer get no forwarded requests. */
    Duration maxPeerPathAge = std::chrono::seconds(1);
    /** Whether heartbeats of peers can replace a read of the log, which maintains confirmedByPeersAt(). */
    bool usesPeerQuorum = true;
    std::uint64_t seed = 1;
};

/**
 * Exchanges membership, load and configuration progress with the other instances. Must be used on the control thread.
 */
class PeerExchange
{
public:
    PeerExchange(
        boost::asio::io_context &context, const Platform &platform, PeerExchangeOptions options, PeerExchangeHooks hooks);

    // Commands.

    /** Listens on @p endpoint. Fails with InvalidSetting when the address cannot be bound. */
    Result<void> listen(const Endpoint &endpoint);

    /** Each coroutine runs until stop(). The object must outlive them. */
    boost::asio::awaitable<void> runHeartbeats();
    boost::asio::awaitable<void> runInstanceList();
    void stop();

    void setState(MemberState state);
    /** Tells peers where this instance takes forwarded requests. Must be called before runHeartbeats(). */
    void setForwardAddress(const Endpoint &address);
    void sendTombstone(const KeyId &id);
    void sendQuarantines(const QuarantinesMessage &message);
    /** Sends to the instance at @p peer if it is connected. */
    void sendTo(const Endpoint &peer, const PeerMessage &message);
    /** Sends to the first connected relay of this data centre. Returns whether the message was sent. */
    bool sendToRelay(const PeerMessage &message);

    // Queries.
    /** Returns whether this instance is a relay, which reads the store for the other instances of its data centre. */
    bool isRelay() const;
    Endpoint localEndpoint() const;
    const Membership &membership() const;
    /**
     * Returns the newest time at which heartbeats confirmed that this instance misses no withdrawn key; empty before the first
     * confirmation. A heartbeat from a peer that reads the log and is not ahead of this instance is a confirmation. While no
     * instance reads the log, more than half of the known instances, including this one, must have an offset that is not ahead
     * of this instance's.
     */
    std::optional<TimePoint> confirmedByPeersAt() const;
    /** Returns whether any other instance is known, from the list, the seeds or heartbeats. */
    bool hasKnownPeers() const;
    std::uint64_t sentBytes() const;

private:
    struct KnownPath {
        PeerPath path;
        TimePoint heardAt;
    };

    struct PeerConfig {
        std::uint64_t offset = 0;
        TimePoint updatedAt;
    };

    void onMessage(const HelloMessage &from, const PeerMessage &message);
    void applyHeartbeat(const HelloMessage &from, const HeartbeatMessage &message);
    void updatePeerConfirmation(const HeartbeatMessage &message, TimePoint now);
    bool hasQuorum(TimePoint now) const;
    void updateQuorumMembers();
    void sendSnapshotIfBehind(const HeartbeatMessage &message);
    bool isSnapshotSenderFor(const HeartbeatMessage &message) const;
    void updateRelays();
    void onServersRequest(const HelloMessage &from, std::uint64_t offset);
    void onCountsMessage(const HelloMessage &from, const UsageCountsMessage &message);
    /** Sends to an instance by its id if it is a known, connected member. */
    void sendToInstance(const InstanceId &instance, const PeerMessage &message);
    void refreshLinks();
    void openLink(const Endpoint &endpoint);
    PeerLinkHooks linkHooks(const Endpoint &peer);
    HeartbeatMessage nextHeartbeat();
    std::vector<PeerMessage> greeting() const;
    void broadcast(const PeerMessage &message);
    void reportPeerLoads();
    void reportWaitingTiers();
    /** Sends to the peers the instances that were verified since the last call. */
    void gossipInstances();
    std::map<InstanceId, Endpoint> verifiedInstances() const;
    void updateServingCount();
    void updateSharingInstances();
    void updatePeerPaths();

    boost::asio::io_context &context;
    const Platform &platform;
    PeerExchangeOptions options;
    PeerExchangeHooks hooks;
    Membership members;
    std::unique_ptr<PeerServer> server;
    std::map<Endpoint, std::unique_ptr<PeerLink>> links;
    std::map<InstanceId, std::vector<ServerLoad>> onPeerLoads; ///< load that each peer puts on backend servers
    std::map<InstanceId, std::vector<WaitingTier>> peerWaitingTiers; ///< waiting tiers at each peer
    std::map<InstanceId, KnownPath> peerPaths; ///< of peers that take forwarded requests, from their last heartbeat
    std::vector<PeerPath> reportedPaths; ///< as last passed to the hook
    std::optional<Endpoint> forwardAddress;
    std::set<BackendServerId> reportedServers; ///< servers whose load was reported in the last interval
    std::map<InstanceId, Endpoint> announcedInstances; ///< instances that were sent to the peers
    std::optional<InstanceId> leader; ///< the peer that last said to be the leader, until it says that it no longer is
    std::map<InstanceId, PeerConfig> peerConfigs; ///< from the last heartbeat of each peer
    std::shared_ptr<const EncodedMessage> currentHeartbeat; ///< heartbeat of this interval, shared by all links
    std::set<InstanceId> quorumMembers; ///< members known when any instance last read the log, and members that joined since
    std::optional<TimePoint> peerConfirmedAt;
    std::vector<Endpoint> relays; ///< other relays of this data centre, in order of preference
    bool actsAsRelay = true; ///< true until another relay is known
    std::uint64_t connectionCount = 0;
    std::size_t servingCount = 0;
    std::optional<std::vector<InstanceId>> sharingInstances; ///< as last passed to the hook
    TimePoint startedAt;
    bool stopped = false;
};

} // namespace flamingosaddle
