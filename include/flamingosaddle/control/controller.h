#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/control/claimcoordinator.h>
#include <flamingosaddle/control/configreplica.h>
#include <flamingosaddle/control/directory.h>
#include <flamingosaddle/control/duties.h>
#include <flamingosaddle/control/dutylog.h>
#include <flamingosaddle/control/fleetscaler.h>
#include <flamingosaddle/control/peerexchange.h>
#include <flamingosaddle/control/routingsnapshot.h>
#include <flamingosaddle/control/snapshotwriter.h>
#include <flamingosaddle/control/streamregistry.h>
#include <flamingosaddle/control/usagemeter.h>
#include <flamingosaddle/control/usagereporter.h>
#include <flamingosaddle/platform/platform.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace flamingosaddle
{

struct ControllerOptions {
    Incarnation self;
    DataCentre dataCentre;
    Duration freshnessLimit = std::chrono::seconds(5);
    Duration leaseDuration = std::chrono::milliseconds(2500); ///< duration of the leader lease
    Duration usageFlushInterval = std::chrono::milliseconds(800);
    std::chrono::seconds usageWindow{60};
    std::uint64_t snapshotRecordInterval = 500;
    std::function<std::chrono::seconds()> wallTime; ///< returns the time since the Unix epoch
    std::function<std::chrono::milliseconds()>
        systemTime; ///< returns the system clock's time since the Unix epoch, including clock steps
    std::vector<Endpoint> seedPeers; ///< contacted in addition to the platform's list of instances
    PeerTiming peerTiming;
    PeerServerLimits peerLimits{};
    ServerTableOptions servers{};
    std::uint64_t seed = 1;
};

/**
 * Callbacks from the controller to the traffic side. They are called on the control thread and must be safe to call while
 * requests are running.
 */
struct ControllerHooks {
    std::function<void(std::shared_ptr<const RoutingSnapshot>)> publishSnapshot;
    std::function<void(const std::vector<BackendServer> &)> setServers;
    /** The servers passed last are those of a newer time; only if servers of some service bear few requests while they are cold.
     */
    std::function<void(TimePoint confirmedAt)> onServersConfirmed;
    /**
     * Called when a data centre was evacuated, and, without @p evacuated, when it was taken back, which may be the first that is
     * known of its evacuation. May be empty.
     */
    std::function<void(const DataCentre &, bool evacuated)> setEvacuated;
    std::function<void(const PublishedLimits &)> onCallerLimits; ///< of a configuration that came into force; may be empty
    std::function<void(const KeyId &)> onKeyWithdrawn; ///< must end the exchanges that run with the key
    std::function<void(HeartbeatMessage &)> fillTrafficState; ///< fills in the message's fields on traffic
    std::function<void(const std::vector<ServerLoad> &)> onPeerLoads;
    std::function<void(const std::vector<WaitingTier> &)>
        onPeerWaitingTiers; ///< the most urgent tier waiting at any peer, for each model or service
    std::function<void(const std::vector<ServedTokens> &)> onPeerServedTokens;
    std::function<void(const std::vector<PromptPrefill> &)> onPeerPrefills;
    std::function<void(const QuarantinesMessage &)> onPeerQuarantines;
    std::function<QuarantinesMessage()> deathCounts; ///< deaths of backend servers that a newly connected peer may have missed
    std::function<void(const std::vector<RateLimitReport> &)> onPeerRateLimits;
    std::function<void(const std::vector<RejectionLimitReport> &)> onPeerRejectionLimits;
    std::function<void(const std::vector<InstanceId> &)>
        onSharingInstances; ///< the other instances that share limits common to all
    std::function<void(const std::vector<PeerPath> &)> onPeerPaths; ///< the live peers that take forwarded requests
    std::function<void(std::size_t)> onServingCount; ///< number of serving instances, including this one
};

/**
 * Owns all control state of an instance. Every function must be called on the thread that runs @p context, except for the hook
 * that claimHook() returns.
 */
class Controller
{
public:
    /**
     * @param directory source of the configuration and the backend servers; empty for the project's change log. With a
     * directory, only the instances() hook of @p platform is called.
     * @param duties hooks for the duties, which one instance carries out at a time; backend servers are ordered only with a
     * directory
     */
    Controller(boost::asio::io_context &context, Platform platform, const std::optional<DirectoryHooks> &directory,
        const DutyHooks &duties, ControllerOptions options, ControllerHooks hooks);
    ~Controller();

    // Commands.

    /** Listens for connections from peers. Fails with InvalidSetting when the address cannot be bound. */
    Result<void> listenForPeers(const Endpoint &endpoint);
    /** Tells peers where this instance takes forwarded requests. Must be called before start(). */
    void setForwardAddress(const Endpoint &endpoint);

    void start();
    void stop();

    /**
     * Flushes pending records before a shutdown: waits up to @p limit until the outcomes of claims and the usage counts are
     * appended to the log, then releases the leader lease.
     */
    boost::asio::awaitable<void> flushAndRelease(Duration limit);

    /** Withdraws a key immediately, before the log has the record. Idempotent. */
    void withdrawKey(const KeyId &id);

    /** Announces to the peers that this instance accepts no more requests. */
    void beginDrain();

    /** Records that a backend server said itself that it leaves, in response to a request sent at @p sentAt. */
    void recordServerLeaving(const BackendServerId &id, TimePoint sentAt);
    /** Records that the caller's request began a resumable stream at a server of the software version. */
    void recordStreamStart(const std::string &request, const ServiceName &service, const std::string &softwareVersion);
    /** Records that the caller received the whole stream that the request began. */
    void recordStreamCompletion(const std::string &request);
    /** Sends to the peers which requests backend servers died on. */
    void sendQuarantines(const QuarantinesMessage &message);

    /** Records that a backend server began a request of the client account @p ago before now. */
    void recordRequestStart(const ClientAccountId &clientAccount, Duration ago);

    /** Records the tokens of a request of the client account that has ended. */
    void recordTokens(const ClientAccountId &clientAccount, const TokenCounts &tokens);

    /** Returns the hook by which traffic threads ask whether a request with an idempotency key runs. */
    ClaimHook claimHook();
    /** Returns an empty hook if streams are not registered, because the platform has no log for it. */
    StreamVersionHook streamVersionHook();

    // Queries.
    /** Returns whether the configuration was read to its end at least once, from the log or from peers. */
    bool isReady() const;
    /** Returns the time after which the configuration counts as stale. */
    TimePoint freshUntil() const;
    /** Returns the current configuration, which is empty before the first one is read. */
    std::shared_ptr<const ConfigState> config() const;
    /** Returns the data centres that the operator has evacuated or taken back; none without a directory. */
    const std::map<DataCentre, EvacuationState> &evacuations() const;
    const ConfigReplica &configReplica() const;
    const DutyLog &dutyLog() const;
    const UsageMeter &usageMeter() const;
    const UsageReporter &usageReporter() const;
    const ClaimCoordinator &claimCoordinator() const;
    const PeerExchange &peerExchange() const;
    const std::set<KeyId> &tombstones() const;
    const ControllerOptions &options() const;

private:
    std::vector<SnapshotSource> snapshotSources();
    void spawn(boost::asio::awaitable<void> coroutine);
    void startLogTasks();
    void startDirectoryTasks();
    void startDutyTasks();
    PeerExchangeHooks peerHooks();
    DirectoryRelayHooks directoryRelayHooks();
    void addRelayHooks(PeerExchangeHooks &peerHooks);
    std::optional<TimePoint> configConfirmedAt() const;
    /** Returns whether any configuration was read. Before that nothing is published, and requests are refused as not run. */
    bool hasConfig() const;
    void onConfigUpdate();
    /** Tells the traffic side which data centres were evacuated or taken back since the last call. Returns whether any were. */
    bool publishEvacuations();
    boost::asio::awaitable<void> runFreshnessUpdates();
    void publishSnapshot();
    void notifyWithdrawnKeys(const ConfigState &before, const ConfigState &after);

    boost::asio::io_context &context;
    Platform platform;
    ControllerOptions controllerOptions;
    ControllerHooks hooks;
    std::set<KeyId> pendingTombstones;
    std::shared_ptr<const ConfigState> publishedState;
    TimePoint publishedFreshUntil;
    std::map<DataCentre, EvacuationState> publishedEvacuations;
    struct Duties;
    std::unique_ptr<Directory> directory;
    std::unique_ptr<StreamRegistry> streamRegistry; // set only with a directory whose platform has a log for it
    std::unique_ptr<Duties> duties;
    ConfigReplica replica;
    ClaimCoordinator claims;
    SnapshotWriter snapshotWriter;
    PeerExchange peers;
    bool stopped = false;
};

} // namespace flamingosaddle
