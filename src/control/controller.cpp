#include <flamingosaddle/control/controller.h>

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/base/walltime.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::chrono::milliseconds flushPollInterval(10);
// The platform kills the process soon after the deadline for running requests.
constexpr Duration maxDutyFlushTime = std::chrono::milliseconds(800);
// A snapshot with a later deadline is published after each such fraction of the freshness limit.
constexpr int freshnessSteps = 8;

ClaimCoordinator::Options claimOptions(const ControllerOptions &options)
{
    ClaimCoordinator::Options claims;
    claims.self = options.self;
    claims.wallTime = options.wallTime;
    claims.seed = options.seed;
    return claims;
}

PeerExchangeOptions peerOptions(const ControllerOptions &options, bool hasDirectory)
{
    PeerExchangeOptions peers;
    peers.self = options.self;
    peers.dataCentre = options.dataCentre;
    peers.seeds = options.seedPeers;
    peers.timing = options.peerTiming;
    peers.limits = options.peerLimits;
    // With a directory, only a relay's progress, which carries its age, confirms the configuration.
    peers.usesPeerQuorum = !hasDirectory;
    peers.seed = options.seed;
    return peers;
}

SnapshotWriter::Options snapshotOptions(const ControllerOptions &options)
{
    SnapshotWriter::Options snapshots;
    snapshots.recordInterval = options.snapshotRecordInterval;
    return snapshots;
}

std::unique_ptr<Directory> makeDirectory(const std::optional<DirectoryHooks> &hooks, DirectoryRelayHooks relayHooks,
    const ControllerOptions &options, std::function<void()> onUpdate, Directory::ConfirmationHook onServersConfirmed)
{
    if (!hooks.has_value()) {
        return nullptr;
    }
    DirectoryOptions directoryOptions;
    directoryOptions.seed = options.seed;
    directoryOptions.servers = options.servers;
    return std::make_unique<Directory>(
        *hooks, std::move(relayHooks), directoryOptions, std::move(onUpdate), std::move(onServersConfirmed));
}

std::unique_ptr<StreamRegistry> makeStreamRegistry(boost::asio::io_context &context, const std::optional<DirectoryHooks> &hooks,
    Directory *directory, const ControllerOptions &options, std::function<bool()> isRelay,
    std::function<std::optional<TimePoint>()> latestLossOfContact)
{
    if (directory == nullptr || !hooks->streams.append || !hooks->streams.read) {
        return nullptr;
    }
    StreamRegistry::Options registry;
    registry.unixTime = options.systemTime;
    registry.seed = options.seed;
    registry.isRelay = std::move(isRelay);
    registry.latestLossOfContact = std::move(latestLossOfContact);
    return std::make_unique<StreamRegistry>(context.get_executor(), hooks->streams, *directory, std::move(registry));
}

} // namespace

/**
 * The duties of the leader, and the usage counts that every instance keeps for them.
 */
struct Controller::Duties {
    Duties(const DutyHooks &dutyHooks, const Directory *directory, PeerExchange &peers, const ControllerOptions &options)
        : hooks(dutyHooks)
        , peers(peers)
        , systemTime(options.systemTime)
        , log(this->hooks, this->logOptions(options))
        , meter(this->hooks, this->meterOptions(options))
        , reporter(this->hooks, this->log, this->reporterOptions(options))
    {
        if (directory != nullptr) {
            this->fleetScaler.emplace(this->hooks, this->log, *directory);
        }
    }

    DutyLog::Options logOptions(const ControllerOptions &options)
    {
        DutyLog::Options duties;
        duties.self = options.self;
        duties.timing.leaseDuration = options.leaseDuration;
        duties.timing.reclaimDelay = options.leaseDuration + std::chrono::seconds(1);
        duties.isEligible = [this] {
            return this->peers.isRelay();
        };
        duties.seed = options.seed;
        return duties;
    }

    std::chrono::milliseconds unixTime()
    {
        return this->wallTime.unixTime(this->systemTime(), RuntimeClock::now());
    }

    UsageMeter::Options meterOptions(const ControllerOptions &options)
    {
        UsageMeter::Options meter;
        meter.self = options.self;
        meter.windowLength = options.usageWindow;
        meter.flushInterval = options.usageFlushInterval;
        meter.unixTime = [this] {
            return this->unixTime();
        };
        meter.sendToRelay = [this](std::uint64_t sequence, const std::string &record) {
            return !this->peers.isRelay() && this->peers.sendToRelay(UsageCountsMessage{sequence, record});
        };
        meter.seed = options.seed;
        return meter;
    }

    UsageReporter::Options reporterOptions(const ControllerOptions &options)
    {
        UsageReporter::Options reporter;
        reporter.windowLength = options.usageWindow;
        reporter.unixTime = [this] {
            return this->unixTime();
        };
        return reporter;
    }

    void stop()
    {
        this->log.stop();
        this->meter.stop();
        this->reporter.stop();
        this->stopFleetScaler();
    }

    void stopFleetScaler()
    {
        if (this->fleetScaler.has_value()) {
            this->fleetScaler->stop();
        }
    }

    boost::asio::awaitable<void> flushAndRelease(Duration limit)
    {
        this->reporter.stop();
        this->stopFleetScaler();
        co_await this->meter.flush(RuntimeClock::now() + limit);
        co_await this->log.releaseLease();
    }

    DutyHooks hooks;
    PeerExchange &peers; // constructed after the duties, which use it only while they run
    std::function<std::chrono::milliseconds()> systemTime;
    WallTime wallTime;
    DutyLog log;
    UsageMeter meter;
    UsageReporter reporter;
    std::optional<FleetScaler> fleetScaler; // set only with a directory
};

Controller::Controller(boost::asio::io_context &context, Platform platform, const std::optional<DirectoryHooks> &directory,
    const DutyHooks &duties, ControllerOptions options, ControllerHooks hooks)
    : context(context)
    , platform(std::move(platform))
    , controllerOptions(std::move(options))
    , hooks(std::move(hooks))
    , directory(makeDirectory(
          directory, this->directoryRelayHooks(), this->controllerOptions,
          [this] {
              this->onConfigUpdate();
          },
          [this](TimePoint confirmedAt) {
              if (this->hooks.onServersConfirmed) {
                  this->hooks.onServersConfirmed(confirmedAt);
              }
          }))
    , streamRegistry(makeStreamRegistry(
          context, directory, this->directory.get(), this->controllerOptions,
          [this] {
              return this->peers.isRelay();
          },
          [this] {
              return this->peers.membership().latestLossOfContact(RuntimeClock::now());
          }))
    , duties(std::make_unique<Duties>(duties, this->directory.get(), this->peers, this->controllerOptions))
    , replica(
          this->platform,
          [this] {
              this->onConfigUpdate();
          },
          this->controllerOptions.seed)
    , claims(context.get_executor(), this->platform, claimOptions(this->controllerOptions))
    , snapshotWriter(
          this->platform,
          [this] {
              return this->duties->log.isLeading();
          },
          this->snapshotSources(), snapshotOptions(this->controllerOptions))
    , peers(context, this->platform, peerOptions(this->controllerOptions, directory.has_value()), this->peerHooks())
{
}

Controller::~Controller() = default;

Result<void> Controller::listenForPeers(const Endpoint &endpoint)
{
    return this->peers.listen(endpoint);
}

void Controller::setForwardAddress(const Endpoint &endpoint)
{
    this->peers.setForwardAddress(endpoint);
}

void Controller::start()
{
    if (this->directory) {
        this->startDirectoryTasks();
    } else {
        this->startLogTasks();
    }
    this->startDutyTasks();
    this->spawn(this->peers.runHeartbeats());
    this->spawn(this->peers.runInstanceList());
    this->spawn(this->runFreshnessUpdates());
}

void Controller::startDirectoryTasks()
{
    this->spawn(this->directory->runConfig());
    this->spawn(this->directory->runServers());
    this->spawn(this->directory->runServerExpiry());
    if (this->streamRegistry) {
        this->spawn(this->streamRegistry->run());
        this->spawn(this->streamRegistry->runVersions());
    }
}

void Controller::startDutyTasks()
{
    this->spawn(this->duties->log.run());
    this->spawn(this->duties->meter.run());
    this->spawn(this->duties->reporter.run());
    if (this->duties->fleetScaler.has_value()) {
        this->spawn(this->duties->fleetScaler->run());
    }
}

void Controller::startLogTasks()
{
    this->spawn(this->replica.run());
    this->spawn(this->claims.runReader());
    this->spawn(this->claims.runAppender());
    this->spawn(this->snapshotWriter.run());
}

void Controller::stop()
{
    if (this->stopped) {
        return;
    }
    this->stopped = true;
    if (this->streamRegistry) {
        this->streamRegistry->stop();
    }
    if (this->directory) {
        this->directory->stop();
    }
    this->duties->stop();
    this->peers.stop();
    this->replica.stop();
    this->claims.stop();
    this->snapshotWriter.stop();
}

boost::asio::awaitable<void> Controller::flushAndRelease(Duration limit)
{
    const TimePoint deadline = RuntimeClock::now() + limit;
    while (this->claims.unappendedCount() > 0 && RuntimeClock::now() < deadline) {
        co_await delay(flushPollInterval);
    }
    this->snapshotWriter.stop();
    if (this->streamRegistry) {
        co_await this->streamRegistry->flush();
    }
    co_await this->duties->flushAndRelease(std::min(limit, maxDutyFlushTime));
}

void Controller::withdrawKey(const KeyId &id)
{
    const bool isNew = this->pendingTombstones.insert(id).second;
    if (!isNew) {
        return;
    }
    if (this->hasConfig()) {
        // Publishes a new configuration together with its servers; the snapshot then adds the withdrawal.
        this->onConfigUpdate();
        this->publishSnapshot();
    }
    this->hooks.onKeyWithdrawn(id);
    this->peers.sendTombstone(id);
}

void Controller::beginDrain()
{
    this->peers.setState(MemberState::Draining);
}

void Controller::recordServerLeaving(const BackendServerId &id, TimePoint sentAt)
{
    if (this->directory) {
        this->directory->recordServerLeaving(id, sentAt);
    }
}

void Controller::sendQuarantines(const QuarantinesMessage &message)
{
    this->peers.sendQuarantines(message);
}

void Controller::recordRequestStart(const ClientAccountId &clientAccount, Duration ago)
{
    this->duties->meter.recordRequestStart(clientAccount, ago);
}

void Controller::recordTokens(const ClientAccountId &clientAccount, const TokenCounts &tokens)
{
    this->duties->meter.recordTokens(clientAccount, tokens);
}

void Controller::recordStreamStart(const std::string &request, const ServiceName &service, const std::string &softwareVersion)
{
    if (this->streamRegistry) {
        this->streamRegistry->recordStart(request, service, softwareVersion);
    }
}

void Controller::recordStreamCompletion(const std::string &request)
{
    if (this->streamRegistry) {
        this->streamRegistry->recordCompletion(request);
    }
}

StreamVersionHook Controller::streamVersionHook()
{
    return this->streamRegistry ? this->streamRegistry->hook() : StreamVersionHook();
}

ClaimHook Controller::claimHook()
{
    return this->claims.hook();
}

std::shared_ptr<const ConfigState> Controller::config() const
{
    if (!this->directory) {
        return this->replica.state();
    }
    return this->directory->state() ? this->directory->state() : this->replica.state();
}

std::optional<TimePoint> Controller::configConfirmedAt() const
{
    return this->directory ? this->directory->confirmedAt() : this->replica.lastReadAt();
}

bool Controller::hasConfig() const
{
    if (this->directory) {
        return this->directory->state() != nullptr;
    }
    const bool isConfirmedByPeers = this->peers.confirmedByPeersAt().has_value() && this->replica.state()->nextOffset() > 0;
    return this->replica.lastReadAt().has_value() || isConfirmedByPeers;
}

bool Controller::isReady() const
{
    return this->publishedState != nullptr && this->hasConfig() && (!this->directory || this->configConfirmedAt().has_value());
}

TimePoint Controller::freshUntil() const
{
    // Without any read of the log and any confirmation by peers, the configuration is not fresh.
    const TimePoint confirmed = this->configConfirmedAt().value_or(TimePoint());
    // What a peer's heartbeat confirms can be as old as the freshness limit, which is too old with a directory.
    const TimePoint confirmedByPeers = this->directory ? TimePoint() : this->peers.confirmedByPeersAt().value_or(TimePoint());
    const TimePoint newest = std::max(confirmed, confirmedByPeers);
    return newest == TimePoint() ? newest : newest + this->controllerOptions.freshnessLimit;
}

const std::map<DataCentre, EvacuationState> &Controller::evacuations() const
{
    static const std::map<DataCentre, EvacuationState> none;
    return this->directory ? this->directory->evacuations().states() : none;
}

const ConfigReplica &Controller::configReplica() const
{
    return this->replica;
}

const DutyLog &Controller::dutyLog() const
{
    return this->duties->log;
}

const UsageMeter &Controller::usageMeter() const
{
    return this->duties->meter;
}

const UsageReporter &Controller::usageReporter() const
{
    return this->duties->reporter;
}

const ClaimCoordinator &Controller::claimCoordinator() const
{
    return this->claims;
}

const PeerExchange &Controller::peerExchange() const
{
    return this->peers;
}

const std::set<KeyId> &Controller::tombstones() const
{
    return this->pendingTombstones;
}

const ControllerOptions &Controller::options() const
{
    return this->controllerOptions;
}

std::vector<SnapshotSource> Controller::snapshotSources()
{
    const SnapshotSource config{LogStream::Config,
        [this] {
            return this->replica.state()->nextOffset();
        },
        [this] {
            return encodeConfigSnapshot(*this->replica.state());
        }};
    const SnapshotSource claimSource{LogStream::Claims,
        [this] {
            return this->claims.table().nextOffset();
        },
        [this] {
            return encodeClaimSnapshot(this->claims.table());
        }};
    return {config, claimSource};
}

void Controller::spawn(boost::asio::awaitable<void> coroutine)
{
    boost::asio::co_spawn(this->context, std::move(coroutine), boost::asio::detached);
}

DirectoryRelayHooks Controller::directoryRelayHooks()
{
    DirectoryRelayHooks relayHooks;
    relayHooks.isRelay = [this] {
        return this->peers.isRelay();
    };
    relayHooks.requestServers = [this](const Endpoint &peer, std::uint64_t from) {
        this->peers.sendTo(peer, ServersRequestMessage{from});
    };
    return relayHooks;
}

void Controller::addRelayHooks(PeerExchangeHooks &peerHooks)
{
    peerHooks.progress = [this] {
        return this->directory ? this->directory->progress() : StoreProgress();
    };
    peerHooks.onRelayProgress
        = [this](const Endpoint &peer, bool isSameDataCentre, const StoreProgress &progress, TimePoint sentAt) {
              if (this->directory) {
                  this->directory->applyPeerProgress(peer, isSameDataCentre, progress, sentAt, RuntimeClock::now());
              }
          };
    peerHooks.serversSince = [this](std::uint64_t from) {
        return this->directory ? this->directory->serversSince(from) : ServersMessage();
    };
    peerHooks.onServers = [this](const ServersMessage &message) {
        if (this->directory) {
            this->directory->applyRelayedServers(message);
        }
    };
    peerHooks.onCounts = [this](const std::string &record, std::function<void()> acknowledge) {
        this->duties->meter.enqueuePeerRecord(record, std::move(acknowledge));
    };
    peerHooks.onCountsAcknowledged = [this](std::uint64_t sequence) {
        this->duties->meter.onRelayAcknowledged(sequence);
    };
}

PeerExchangeHooks Controller::peerHooks()
{
    PeerExchangeHooks peerHooks;
    peerHooks.configOffset = [this] {
        // Instances with a directory do not take the configuration from each other.
        return this->directory ? 0 : this->config()->nextOffset();
    };
    peerHooks.hasFreshConfig = [this] {
        const std::optional<TimePoint> confirmedAt = this->configConfirmedAt();
        return confirmedAt && RuntimeClock::now() - *confirmedAt <= this->controllerOptions.freshnessLimit;
    };
    peerHooks.isLeader = [this] {
        return this->duties->log.isLeadingSafely();
    };
    peerHooks.onLeaderHeartbeat = [this] {
        this->duties->log.recordLeaderHeartbeat();
    };
    peerHooks.onLeaderLoss = [this] {
        this->duties->log.recordLeaderLoss();
    };
    peerHooks.configSnapshot = [this] {
        return encodeConfigSnapshot(*this->config());
    };
    peerHooks.tombstones = [this] {
        return std::vector<KeyId>(this->pendingTombstones.begin(), this->pendingTombstones.end());
    };
    peerHooks.onConfigSnapshot = [this](const std::string &text) {
        // The log is authoritative. A peer may belong to another deployment if its address was reused.
        if (this->directory || this->replica.isLogReachable()) {
            return;
        }
        const Result<ConfigState> snapshot = decodeConfigSnapshot(text);
        if (snapshot.has_value()) {
            this->replica.adoptSnapshot(snapshot.value());
        }
    };
    peerHooks.onTombstone = [this](const KeyId &id) {
        this->withdrawKey(id);
    };
    peerHooks.fillTrafficState = this->hooks.fillTrafficState;
    peerHooks.onLoads = this->hooks.onPeerLoads;
    peerHooks.onWaitingTiers = this->hooks.onPeerWaitingTiers;
    peerHooks.onServedTokens = this->hooks.onPeerServedTokens;
    peerHooks.onPrefills = this->hooks.onPeerPrefills;
    peerHooks.onDemands = [this](const std::vector<ServiceDemand> &demands) {
        for (const ServiceDemand &demand : demands) {
            if (this->duties->fleetScaler.has_value()) {
                this->duties->fleetScaler->recordDemand(demand);
            }
        }
    };
    peerHooks.onQuarantines = this->hooks.onPeerQuarantines;
    peerHooks.deathCounts = this->hooks.deathCounts;
    peerHooks.onRateLimits = this->hooks.onPeerRateLimits;
    peerHooks.onRejectionLimits = this->hooks.onPeerRejectionLimits;
    peerHooks.onSharingInstances = this->hooks.onSharingInstances;
    peerHooks.onPeerPaths = this->hooks.onPeerPaths;
    peerHooks.onServingCount = [this](std::size_t count) {
        this->duties->meter.setInstanceCount(count);
        if (this->streamRegistry) {
            this->streamRegistry->setInstanceCount(count);
        }
        this->hooks.onServingCount(count);
    };
    this->addRelayHooks(peerHooks);
    return peerHooks;
}

boost::asio::awaitable<void> Controller::runFreshnessUpdates()
{
    while (!this->stopped) {
        if (this->isReady() && this->peers.membership().self().state == MemberState::Joining) {
            this->peers.setState(MemberState::Serving);
        }
        this->onConfigUpdate();
        co_await delay(this->controllerOptions.freshnessLimit / freshnessSteps);
    }
}

bool Controller::publishEvacuations()
{
    const std::map<DataCentre, EvacuationState> &states = this->evacuations();
    if (states == this->publishedEvacuations) {
        return false;
    }
    for (const auto &[dataCentre, state] : states) {
        const auto before = this->publishedEvacuations.find(dataCentre);
        const bool isChanged = before == this->publishedEvacuations.end() || before->second != state;
        if (isChanged && this->hooks.setEvacuated) {
            this->hooks.setEvacuated(dataCentre, state.isEvacuated);
        }
    }
    this->publishedEvacuations = states;
    return true;
}

void Controller::onConfigUpdate()
{
    const bool evacuationsChanged = this->publishEvacuations();
    const std::shared_ptr<const ConfigState> before = this->publishedState;
    if (!this->hasConfig()) {
        return;
    }
    const std::shared_ptr<const ConfigState> after = this->config();
    const bool changed = before != after;
    if (changed && this->streamRegistry) {
        this->streamRegistry->onDirectoryUpdate();
    }
    // Indexing a snapshot takes a pass over the configuration, so progress of the freshness alone is published in steps.
    const bool hasFreshnessAdvanced
        = this->freshUntil() - this->publishedFreshUntil > this->controllerOptions.freshnessLimit / freshnessSteps;
    if (!changed && !hasFreshnessAdvanced && !evacuationsChanged) {
        return;
    }
    this->publishSnapshot();
    if (!changed) {
        return;
    }
    if (this->hooks.onCallerLimits && this->directory && this->directory->config().has_value()) {
        this->hooks.onCallerLimits(this->directory->config()->limits);
    }
    this->hooks.setServers(backendServersOf(*after));
    this->notifyWithdrawnKeys(before ? *before : ConfigState(), *after);
}

void Controller::publishSnapshot()
{
    this->publishedState = this->config();
    this->publishedFreshUntil = this->freshUntil();
    std::set<DataCentre> evacuated = this->directory ? this->directory->evacuations().evacuated() : std::set<DataCentre>();
    this->hooks.publishSnapshot(std::make_shared<const RoutingSnapshot>(
        this->publishedState, this->pendingTombstones, this->publishedFreshUntil, std::move(evacuated)));
}

void Controller::notifyWithdrawnKeys(const ConfigState &before, const ConfigState &after)
{
    for (const KeyId &id : after.withdrawnKeys()) {
        if (!before.isWithdrawn(id)) {
            this->hooks.onKeyWithdrawn(id);
        }
    }
    for (const auto &[id, key] : before.keys()) {
        if (after.findKey(id) == nullptr && !after.isWithdrawn(id)) {
            this->hooks.onKeyWithdrawn(id);
        }
    }
}

} // namespace flamingosaddle
