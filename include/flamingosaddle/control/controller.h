#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/control/claimdesk.h>
#include <flamingosaddle/control/configtail.h>
#include <flamingosaddle/control/directory.h>
#include <flamingosaddle/control/duties.h>
#include <flamingosaddle/control/dutylog.h>
#include <flamingosaddle/control/fleetdesk.h>
#include <flamingosaddle/control/peerexchange.h>
#include <flamingosaddle/control/routingsnapshot.h>
#include <flamingosaddle/control/snapshotkeeper.h>
#include <flamingosaddle/control/usagemeter.h>
#include <flamingosaddle/control/windowreporter.h>
#include <flamingosaddle/platform/platform.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
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
    Duration leaseDuration = std::chrono::milliseconds(2500); ///< of the lead that one instance has
    Duration usageFlushInterval = std::chrono::milliseconds(800);
    std::chrono::seconds usageWindow{60};
    std::uint64_t snapshotEveryRecords = 500;
    std::function<std::chrono::seconds()> wallTime; ///< since the epoch
    std::function<std::chrono::milliseconds()> systemTime; ///< the machine's time of day since the epoch, steps included
    std::vector<Endpoint> seedPeers; ///< contacted besides the platform's list
    PeerTiming peerTiming;
    std::uint64_t seed = 1;
};

/**
 * What the controller tells the traffic side. Called on the control thread; each hook is safe to call while traffic runs.
 */
struct ControllerHooks {
    std::function<void(std::shared_ptr<const RoutingSnapshot>)> publish;
    std::function<void(const std::vector<BackendServer> &)> setServers;
    std::function<void(const KeyId &)> keyWithdrawn; ///< running exchanges with the key have to end
    std::function<void(HeartbeatMessage &)> describeTraffic; ///< fills in what it says of traffic
    std::function<void(const std::vector<ServerLoad> &)> peerLoads;
    std::function<void(const std::vector<WaitingTier> &)> peersWaiting; ///< the most urgent tiers, for models and services
    std::function<void(const std::vector<ServiceCount> &)> peerServices;
    std::function<void(const std::vector<PromptRead> &)> peerReads;
    std::function<void(const QuarantinesMessage &)> peerQuarantines;
    std::function<void(std::size_t)> servingCount; ///< instances that serve, this one included
};

/**
 * Owns all control state of an instance. Every function is called on the thread that runs @p context, but for claimHook().
 */
class Controller
{
public:
    /**
     * @param directory where configuration and backend servers are read; empty for the project's change log. With a directory
     * only the instances() of @p platform is called.
     * @param duties of one instance at a time; backend servers are ordered only with a directory
     */
    Controller(boost::asio::io_context &context, Platform platform, const std::optional<DirectoryHooks> &directory,
        const DutyHooks &duties, ControllerOptions options, ControllerHooks hooks);
    ~Controller();

    // Commands.

    /** Listens for peers. Fails with InvalidSetting when the address cannot be bound. */
    Result<void> listenForPeers(const Endpoint &endpoint);

    void start();
    void stop();

    /**
     * Hands over what has to outlive the instance, for a shutdown: waits for @p limit at most until the log has taken the
     * outcomes of claims and the usage counts, then gives up the lead.
     */
    boost::asio::awaitable<void> handOver(Duration limit);

    /** Takes a key out of use at once, before the log has the record. Idempotent. */
    void withdrawKey(const KeyId &id);

    /** Tells the peers that this instance takes no more requests. */
    void beginDrain();

    /** Tells the peers of requests during which backend servers died. */
    void tellQuarantines(const QuarantinesMessage &message);

    /** A backend server began a request of the client account @p ago before now. */
    void countBegun(const ClientAccountId &clientAccount, Duration ago);

    /** A request of the client account has ended. */
    void countTokens(const ClientAccountId &clientAccount, const TokenCounts &tokens);

    /** Decides whether named non-idempotent requests run; for the traffic threads. */
    ClaimHook claimHook();

    // Queries.
    bool isReady() const; ///< whether the configuration was read to its end once, from the log or from peers
    TimePoint freshUntil() const;
    /** The configuration in force, an empty one at first. */
    std::shared_ptr<const ConfigState> config() const;
    const ConfigTail &configTail() const;
    const DutyLog &dutyLog() const;
    const UsageMeter &usageMeter() const;
    const WindowReporter &windowReporter() const;
    const ClaimDesk &claimDesk() const;
    const PeerExchange &peerExchange() const;
    const std::set<KeyId> &tombstones() const;
    const ControllerOptions &options() const;

private:
    std::vector<SnapshotSource> snapshotSources();
    void spawn(boost::asio::awaitable<void> coroutine);
    void startLog();
    void startDirectory();
    void startDuties();
    PeerExchangeHooks peerHooks();
    DirectoryRelayHooks directoryRelayHooks();
    void addRelayHooks(PeerExchangeHooks &peerHooks);
    std::optional<TimePoint> lastReadAt() const;
    /** Whether any configuration was read. Before it nothing is published, so that requests are refused as not run. */
    bool hasConfig() const;
    void configAdvanced();
    boost::asio::awaitable<void> runFreshness();
    void publishSnapshot();
    void announceWithdrawals(const ConfigState &before, const ConfigState &after);

    boost::asio::io_context &context;
    Platform platform;
    ControllerOptions controllerOptions;
    ControllerHooks hooks;
    std::set<KeyId> earlyTombstones;
    std::shared_ptr<const ConfigState> publishedState;
    TimePoint publishedFreshness;
    struct Duties;
    std::unique_ptr<Directory> directory;
    std::unique_ptr<Duties> duties;
    ConfigTail tail;
    ClaimDesk claims;
    SnapshotKeeper snapshots;
    PeerExchange peers;
    bool stopped = false;
};

} // namespace flamingosaddle
