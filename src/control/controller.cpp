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

ClaimDesk::Options claimOptions(const ControllerOptions &options)
{
    ClaimDesk::Options claims;
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
    // With a directory, only a relay's progress, which carries its age, confirms the configuration.
    peers.agreesWithPeers = !hasDirectory;
    peers.seed = options.seed;
    return peers;
}

SnapshotKeeper::Options snapshotOptions(const ControllerOptions &options)
{
    SnapshotKeeper::Options snapshots;
    snapshots.everyRecords = options.snapshotEveryRecords;
    return snapshots;
}

std::unique_ptr<Directory> makeDirectory(const std::optional<DirectoryHooks> &hooks, DirectoryRelayHooks relayHooks,
    const ControllerOptions &options, std::function<void()> onAdvance)
{
    if (!hooks.has_value()) {
        return nullptr;
    }
    DirectoryOptions directoryOptions;
    directoryOptions.seed = options.seed;
    return std::make_unique<Directory>(*hooks, std::move(relayHooks), directoryOptions, std::move(onAdvance));
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
        duties.timing.lease = options.leaseDuration;
        duties.timing.rest = options.leaseDuration + std::chrono::seconds(1);
        duties.mayContest = [this] {
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
        meter.handToRelay = [this](std::uint64_t sequence, const std::string &record) {
            return !this->peers.isRelay() && this->peers.sendToRelay(CountsMessage{sequence, record});
        };
        meter.seed = options.seed;
        return meter;
    }

    WindowReporter::Options reporterOptions(const ControllerOptions &options)
    {
        WindowReporter::Options reporter;
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
        co_await this->meter.finish(RuntimeClock::now() + limit);
        co_await this->log.release();
    }

    DutyHooks hooks;
    PeerExchange &peers; // constructed after the duties, which use it only while they run
    std::function<std::chrono::milliseconds()> systemTime;
    WallTime wallTime;
    DutyLog log;
    UsageMeter meter;
    WindowReporter reporter;
    std::optional<FleetDesk> fleetScaler; // set only with a directory
};

Controller::Controller(boost::asio::io_context &context, Platform platform, const std::optional<DirectoryHooks> &directory,
    const DutyHooks &duties, ControllerOptions options, ControllerHooks hooks)
    : context(context)
    , platform(std::move(platform))
    , controllerOptions(std::move(options))
    , hooks(std::move(hooks))
    , directory(makeDirectory(directory, this->directoryRelayHooks(), this->controllerOptions,
          [this] {
              this->configAdvanced();
          }))
    , duties(std::make_unique<Duties>(duties, this->directory.get(), this->peers, this->controllerOptions))
    , tail(
          this->platform,
          [this] {
              this->configAdvanced();
          },
          this->controllerOptions.seed)
    , claims(context.get_executor(), this->platform, claimOptions(this->controllerOptions))
    , snapshots(
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

void Controller::start()
{
    if (this->directory) {
        this->startDirectory();
    } else {
        this->startLog();
    }
    this->startDuties();
    this->spawn(this->peers.runTicks());
    this->spawn(this->peers.runList());
    this->spawn(this->runFreshness());
}

void Controller::startDirectory()
{
    this->spawn(this->directory->runConfig());
    this->spawn(this->directory->runServers());
}

void Controller::startDuties()
{
    this->spawn(this->duties->log.run());
    this->spawn(this->duties->meter.run());
    this->spawn(this->duties->reporter.run());
    if (this->duties->fleetScaler.has_value()) {
        this->spawn(this->duties->fleetScaler->run());
    }
}

void Controller::startLog()
{
    this->spawn(this->tail.run());
    this->spawn(this->claims.runTail());
    this->spawn(this->claims.runAppender());
    this->spawn(this->snapshots.run());
}

void Controller::stop()
{
    if (this->stopped) {
        return;
    }
    this->stopped = true;
    if (this->directory) {
        this->directory->stop();
    }
    this->duties->stop();
    this->peers.stop();
    this->tail.stop();
    this->claims.stop();
    this->snapshots.stop();
}

boost::asio::awaitable<void> Controller::handOver(Duration limit)
{
    const TimePoint deadline = RuntimeClock::now() + limit;
    while (this->claims.unappendedCount() > 0 && RuntimeClock::now() < deadline) {
        co_await delay(flushPollInterval);
    }
    this->snapshots.stop();
    co_await this->duties->flushAndRelease(std::min(limit, maxDutyFlushTime));
}

void Controller::withdrawKey(const KeyId &id)
{
    const bool isNew = this->earlyTombstones.insert(id).second;
    if (!isNew) {
        return;
    }
    this->publishSnapshot();
    this->hooks.keyWithdrawn(id);
    this->peers.sendTombstone(id);
}

void Controller::beginDrain()
{
    this->peers.setState(MemberState::Draining);
}

void Controller::tellQuarantines(const QuarantinesMessage &message)
{
    this->peers.sendQuarantines(message);
}

void Controller::countBegun(const ClientAccountId &clientAccount, Duration ago)
{
    this->duties->meter.count(clientAccount, ago);
}

void Controller::countTokens(const ClientAccountId &clientAccount, const TokenCounts &tokens)
{
    this->duties->meter.countTokens(clientAccount, tokens);
}

ClaimHook Controller::claimHook()
{
    return this->claims.hook();
}

std::shared_ptr<const ConfigState> Controller::config() const
{
    if (!this->directory) {
        return this->tail.state();
    }
    return this->directory->state() ? this->directory->state() : this->tail.state();
}

std::optional<TimePoint> Controller::lastReadAt() const
{
    return this->directory ? this->directory->provedAt() : this->tail.lastReadAt();
}

bool Controller::hasConfig() const
{
    if (this->directory) {
        return this->directory->state() != nullptr;
    }
    const bool isConfirmedByPeers = this->peers.lastAgreement().has_value() && this->tail.state()->nextOffset() > 0;
    return this->tail.lastReadAt().has_value() || isConfirmedByPeers;
}

bool Controller::isReady() const
{
    return this->publishedState != nullptr && this->hasConfig() && (!this->directory || this->lastReadAt().has_value());
}

TimePoint Controller::freshUntil() const
{
    // Without any read of the log and any confirmation by peers, the configuration is not fresh.
    const TimePoint confirmed = this->lastReadAt().value_or(TimePoint());
    // What a peer's heartbeat confirms can be as old as the freshness limit, which is too old with a directory.
    const TimePoint confirmedByPeers = this->directory ? TimePoint() : this->peers.lastAgreement().value_or(TimePoint());
    const TimePoint newest = std::max(confirmed, confirmedByPeers);
    return newest == TimePoint() ? newest : newest + this->controllerOptions.freshnessLimit;
}

const ConfigTail &Controller::configTail() const
{
    return this->tail;
}

const DutyLog &Controller::dutyLog() const
{
    return this->duties->log;
}

const UsageMeter &Controller::usageMeter() const
{
    return this->duties->meter;
}

const WindowReporter &Controller::windowReporter() const
{
    return this->duties->reporter;
}

const ClaimDesk &Controller::claimDesk() const
{
    return this->claims;
}

const PeerExchange &Controller::peerExchange() const
{
    return this->peers;
}

const std::set<KeyId> &Controller::tombstones() const
{
    return this->earlyTombstones;
}

const ControllerOptions &Controller::options() const
{
    return this->controllerOptions;
}

std::vector<SnapshotSource> Controller::snapshotSources()
{
    const SnapshotSource config{LogStream::Config,
        [this] {
            return this->tail.state()->nextOffset();
        },
        [this] {
            return encodeConfigSnapshot(*this->tail.state());
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
    peerHooks.onProgress = [this](const Endpoint &peer, bool isSameDataCentre, const StoreProgress &progress, TimePoint sentAt) {
        if (this->directory) {
            this->directory->notePeerProgress(peer, isSameDataCentre, progress, sentAt, RuntimeClock::now());
        }
    };
    peerHooks.serversSince = [this](std::uint64_t from) {
        return this->directory ? this->directory->serversSince(from) : ServersMessage();
    };
    peerHooks.onServers = [this](const ServersMessage &message) {
        if (this->directory) {
            this->directory->takeRelayedServers(message);
        }
    };
    peerHooks.onCounts = [this](const std::string &record, std::function<void()> acknowledge) {
        this->duties->meter.gather(record, std::move(acknowledge));
    };
    peerHooks.onCountsTaken = [this](std::uint64_t sequence) {
        this->duties->meter.noteTaken(sequence);
    };
}

PeerExchangeHooks Controller::peerHooks()
{
    PeerExchangeHooks peerHooks;
    peerHooks.configOffset = [this] {
        // Instances with a directory do not take the configuration from each other.
        return this->directory ? 0 : this->config()->nextOffset();
    };
    peerHooks.readsLog = [this] {
        const std::optional<TimePoint> readAt = this->lastReadAt();
        return readAt && RuntimeClock::now() - *readAt <= this->controllerOptions.freshnessLimit;
    };
    peerHooks.leads = [this] {
        return this->duties->log.isLeading();
    };
    peerHooks.onLeader = [this] {
        this->duties->log.noteLeader();
    };
    peerHooks.configSnapshot = [this] {
        return encodeConfigSnapshot(*this->config());
    };
    peerHooks.tombstones = [this] {
        return std::vector<KeyId>(this->earlyTombstones.begin(), this->earlyTombstones.end());
    };
    peerHooks.onConfigSnapshot = [this](const std::string &text) {
        const Result<ConfigState> snapshot = decodeConfigSnapshot(text);
        if (snapshot.has_value() && !this->directory) {
            this->tail.adoptSnapshot(snapshot.value());
        }
    };
    peerHooks.onTombstone = [this](const KeyId &id) {
        this->withdrawKey(id);
    };
    peerHooks.describeTraffic = this->hooks.describeTraffic;
    peerHooks.onLoads = this->hooks.peerLoads;
    peerHooks.onWaiting = this->hooks.peersWaiting;
    peerHooks.onServices = this->hooks.peerServices;
    peerHooks.onReads = this->hooks.peerReads;
    peerHooks.onDemands = [this](const std::vector<ServiceDemand> &demands) {
        for (const ServiceDemand &demand : demands) {
            if (this->duties->fleetScaler.has_value()) {
                this->duties->fleetScaler->noteDemand(demand);
            }
        }
    };
    peerHooks.onQuarantines = this->hooks.peerQuarantines;
    peerHooks.onServingCount = [this](std::size_t count) {
        this->duties->meter.setInstances(count);
        this->hooks.servingCount(count);
    };
    this->addRelayHooks(peerHooks);
    return peerHooks;
}

boost::asio::awaitable<void> Controller::runFreshness()
{
    while (!this->stopped) {
        if (this->isReady() && this->peers.membership().self().state == MemberState::Joining) {
            this->peers.setState(MemberState::Serving);
        }
        this->configAdvanced();
        co_await delay(this->controllerOptions.freshnessLimit / freshnessSteps);
    }
}

void Controller::configAdvanced()
{
    const std::shared_ptr<const ConfigState> before = this->publishedState;
    if (!this->hasConfig()) {
        return;
    }
    const std::shared_ptr<const ConfigState> after = this->config();
    const bool changed = before != after;
    // Indexing a snapshot takes a pass over the configuration, so progress of the freshness alone is published in steps.
    const bool hasFreshnessAdvanced
        = this->freshUntil() - this->publishedFreshness > this->controllerOptions.freshnessLimit / freshnessSteps;
    if (!changed && !hasFreshnessAdvanced) {
        return;
    }
    this->publishSnapshot();
    if (!changed) {
        return;
    }
    this->hooks.setServers(backendServersOf(*after));
    this->announceWithdrawals(before ? *before : ConfigState(), *after);
}

void Controller::publishSnapshot()
{
    this->publishedState = this->config();
    this->publishedFreshness = this->freshUntil();
    this->hooks.publish(
        std::make_shared<const RoutingSnapshot>(this->publishedState, this->earlyTombstones, this->publishedFreshness));
}

void Controller::announceWithdrawals(const ConfigState &before, const ConfigState &after)
{
    for (const KeyId &id : after.withdrawnKeys()) {
        if (!before.isWithdrawn(id)) {
            this->hooks.keyWithdrawn(id);
        }
    }
    for (const auto &[id, key] : before.keys()) {
        if (after.findKey(id) == nullptr && !after.isWithdrawn(id)) {
            this->hooks.keyWithdrawn(id);
        }
    }
}

} // namespace flamingosaddle
