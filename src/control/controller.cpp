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

const Role usageRole("usage");
const Role snapshotRole("snapshots");
constexpr std::chrono::milliseconds handOverPollInterval(10);
// With a directory the platform ends the process soon after the last requests may be cut.
constexpr Duration longestDutyHandOver = std::chrono::milliseconds(800);
// Parts of the freshness limit after which a snapshot with a later limit is published.
constexpr int freshnessSteps = 8;

LeaseKeeper::Options leaseOptions(const ControllerOptions &options)
{
    LeaseKeeper::Options lease;
    lease.self = options.self;
    lease.timing = options.leaseTiming;
    lease.seed = options.seed;
    return lease;
}

UsageDesk::Options usageOptions(const ControllerOptions &options)
{
    UsageDesk::Options usage;
    usage.self = options.self;
    usage.role = usageRole;
    usage.windowLength = options.usageWindow;
    usage.flushInterval = options.usageFlushInterval;
    usage.wallTime = options.wallTime;
    usage.seed = options.seed;
    return usage;
}

ClaimDesk::Options claimOptions(const ControllerOptions &options)
{
    ClaimDesk::Options claims;
    claims.self = options.self;
    claims.wallTime = options.wallTime;
    claims.seed = options.seed;
    return claims;
}

PeerExchangeOptions peerOptions(const ControllerOptions &options)
{
    PeerExchangeOptions peers;
    peers.self = options.self;
    peers.dataCentre = options.dataCentre;
    peers.seeds = options.seedPeers;
    peers.timing = options.peerTiming;
    peers.seed = options.seed;
    return peers;
}

OrderDesk::Options orderOptions(const ControllerOptions &options)
{
    OrderDesk::Options orders;
    orders.self = options.self;
    orders.orderLife = options.leaseTiming.longestOrderLife;
    orders.seed = options.seed;
    return orders;
}

SnapshotKeeper::Options snapshotOptions(const ControllerOptions &options)
{
    SnapshotKeeper::Options snapshots;
    snapshots.role = snapshotRole;
    snapshots.everyRecords = options.snapshotEveryRecords;
    return snapshots;
}

std::unique_ptr<Directory> directoryOf(
    const std::optional<DirectoryHooks> &hooks, const ControllerOptions &options, std::function<void()> onAdvance)
{
    if (!hooks.has_value()) {
        return nullptr;
    }
    DirectoryOptions directoryOptions;
    directoryOptions.seed = options.seed;
    return std::make_unique<Directory>(*hooks, directoryOptions, std::move(onAdvance));
}

DutyLog::Options dutyOptions(const ControllerOptions &options)
{
    DutyLog::Options duties;
    duties.self = options.self;
    duties.timing.lease = options.leaseTiming.duration;
    duties.timing.rest = options.leaseTiming.duration + std::chrono::seconds(1);
    duties.seed = options.seed;
    return duties;
}

} // namespace

/**
 * The duties of one instance at a time, and the counts that each instance keeps for them.
 */
struct Controller::Duties {
    Duties(const DutyHooks &dutyHooks, const Directory &directory, const ControllerOptions &options)
        : hooks(dutyHooks)
        , systemTime(options.systemTime)
        , log(this->hooks, dutyOptions(options))
        , meter(this->hooks, this->meterOptions(options))
        , reporter(this->hooks, this->log, this->reporterOptions(options))
        , fleet(this->hooks, this->log, directory)
    {
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
        meter.unixTime = [this] {
            return this->unixTime();
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
        this->fleet.stop();
    }

    boost::asio::awaitable<void> handOver(Duration limit)
    {
        this->reporter.stop();
        this->fleet.stop();
        co_await this->meter.finish(RuntimeClock::now() + limit);
        co_await this->log.release();
    }

    DutyHooks hooks;
    std::function<std::chrono::milliseconds()> systemTime;
    WallTime wallTime;
    DutyLog log;
    UsageMeter meter;
    WindowReporter reporter;
    FleetDesk fleet;
};

Controller::Controller(boost::asio::io_context &context, Platform platform, const std::optional<DirectoryHooks> &directory,
    const std::optional<DutyHooks> &duties, ControllerOptions options, ControllerHooks hooks)
    : context(context)
    , platform(std::move(platform))
    , controllerOptions(std::move(options))
    , hooks(std::move(hooks))
    , directory(directoryOf(directory, this->controllerOptions,
          [this] {
              this->configAdvanced();
          }))
    , duties(directory.has_value() && duties.has_value()
              ? std::make_unique<Duties>(*duties, *this->directory, this->controllerOptions)
              : nullptr)
    , tail(
          this->platform,
          [this] {
              this->configAdvanced();
          },
          this->controllerOptions.seed)
    , leases(this->platform, leaseOptions(this->controllerOptions))
    , usage(this->platform, this->leases, usageOptions(this->controllerOptions))
    , claims(context.get_executor(), this->platform, claimOptions(this->controllerOptions))
    , orders(this->platform, this->leases, orderOptions(this->controllerOptions))
    , snapshots(this->platform, this->leases, this->snapshotSources(), snapshotOptions(this->controllerOptions))
    , peers(context, this->platform, peerOptions(this->controllerOptions), this->peerHooks())
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
    this->spawn(this->peers.runTicks());
    this->spawn(this->peers.runList());
    this->spawn(this->runFreshness());
}

void Controller::startDirectory()
{
    this->spawn(this->directory->runConfig());
    this->spawn(this->directory->runServers());
    if (this->duties) {
        this->spawn(this->duties->log.run());
        this->spawn(this->duties->meter.run());
        this->spawn(this->duties->reporter.run());
        this->spawn(this->duties->fleet.run());
    }
}

void Controller::startLog()
{
    this->updateRoles();
    this->spawn(this->tail.run());
    this->spawn(this->leases.runTail());
    this->spawn(this->leases.runKeeper());
    this->spawn(this->usage.runTail());
    this->spawn(this->usage.runAppender());
    this->spawn(this->usage.runFlush());
    this->spawn(this->usage.runReporter());
    this->spawn(this->claims.runTail());
    this->spawn(this->claims.runAppender());
    this->spawn(this->snapshots.run());
    if (this->controllerOptions.manageServers) {
        this->spawn(this->orders.runTail());
        this->spawn(this->orders.runAppender());
        this->addDataCentre(this->controllerOptions.dataCentre);
    }
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
    if (this->duties) {
        this->duties->stop();
    }
    this->peers.stop();
    this->tail.stop();
    this->leases.stop();
    this->usage.stop();
    this->claims.stop();
    this->orders.stop();
    this->snapshots.stop();
}

boost::asio::awaitable<void> Controller::handOver(Duration limit)
{
    if (this->directory) {
        if (this->duties) {
            co_await this->duties->handOver(std::min(limit, longestDutyHandOver));
        }
        co_return;
    }
    const TimePoint deadline = RuntimeClock::now() + limit;
    this->usage.flush();
    this->orders.finish();
    while (this->hasUnappended() && RuntimeClock::now() < deadline) {
        co_await delay(handOverPollInterval);
    }
    this->snapshots.stop();
    this->orders.stop();
    this->updateRoles();
    co_await this->leases.releaseAll();
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
    if (this->duties) {
        this->duties->meter.count(clientAccount, ago);
    }
}

void Controller::countUsage(const ClientAccountId &clientAccount, const UsageTotals &totals)
{
    this->usage.count(clientAccount, totals);
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
    const bool isFromPeers = this->peers.lastAgreement().has_value() && this->tail.state()->nextOffset() > 0;
    return this->tail.lastReadAt().has_value() || isFromPeers;
}

bool Controller::isReady() const
{
    return this->publishedState != nullptr && this->hasConfig() && (!this->directory || this->lastReadAt().has_value());
}

TimePoint Controller::freshUntil() const
{
    // An instance that never read the log and never heard a peer knows nothing.
    const TimePoint read = this->lastReadAt().value_or(TimePoint());
    // What a peer's heartbeat vouches for may be as old as the freshness limit, too old for a directory's strict one.
    const TimePoint agreed = this->directory ? TimePoint() : this->peers.lastAgreement().value_or(TimePoint());
    const TimePoint newest = std::max(read, agreed);
    return newest == TimePoint() ? newest : newest + this->controllerOptions.freshnessLimit;
}

const ConfigTail &Controller::configTail() const
{
    return this->tail;
}

const LeaseKeeper &Controller::leaseKeeper() const
{
    return this->leases;
}

const UsageDesk &Controller::usageDesk() const
{
    return this->usage;
}

const ClaimDesk &Controller::claimDesk() const
{
    return this->claims;
}

const PeerExchange &Controller::peerExchange() const
{
    return this->peers;
}

const OrderDesk &Controller::orderDesk() const
{
    return this->orders;
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
    const auto source = [](LogStream stream, std::function<std::uint64_t()> nextOffset, std::function<std::string()> encode) {
        return SnapshotSource{stream, std::move(nextOffset), std::move(encode)};
    };
    return {
        source(
            LogStream::ConfigSnapshot,
            [this] {
                return this->tail.state()->nextOffset();
            },
            [this] {
                return encodeConfigSnapshot(*this->tail.state());
            }),
        source(
            LogStream::LeasesSnapshot,
            [this] {
                return this->leases.table().nextOffset();
            },
            [this] {
                return encodeLeaseSnapshot(this->leases.table());
            }),
        source(
            LogStream::UsageSnapshot,
            [this] {
                return this->usage.ledger().nextOffset();
            },
            [this] {
                return encodeUsageSnapshot(this->usage.ledger());
            }),
        source(
            LogStream::ClaimsSnapshot,
            [this] {
                return this->claims.table().nextOffset();
            },
            [this] {
                return encodeClaimSnapshot(this->claims.table());
            }),
        source(
            LogStream::OrdersSnapshot,
            [this] {
                return this->orders.ledger().nextOffset();
            },
            [this] {
                return encodeOrderSnapshot(this->orders.ledger());
            }),
    };
}

void Controller::spawn(boost::asio::awaitable<void> coroutine)
{
    boost::asio::co_spawn(this->context, std::move(coroutine), boost::asio::detached);
}

bool Controller::hasUnappended() const
{
    const bool counts = this->usage.unflushedCount() + this->usage.unappendedCount() > 0;
    return counts || this->claims.unappendedCount() > 0 || !this->orders.isIdle();
}

void Controller::addDataCentre(const DataCentre &dataCentre)
{
    if (dataCentre.isEmpty() || this->orders.isStopped()) {
        return;
    }
    const bool isNew = this->dataCentres.insert(dataCentre).second;
    if (!isNew) {
        return;
    }
    this->updateRoles();
    this->spawn(this->orders.run(dataCentre));
}

void Controller::updateRoles()
{
    std::set<Role> roles{usageRole, snapshotRole};
    for (const DataCentre &dataCentre : this->dataCentres) {
        // A role that is dropped is not released, so its lease lapses.
        if (!this->orders.isStopped() || !this->orders.hasUnanswered(dataCentre)) {
            roles.insert(orderRole(dataCentre));
        }
    }
    this->leases.setRoles(roles);
}

PeerExchangeHooks Controller::peerHooks()
{
    PeerExchangeHooks peerHooks;
    peerHooks.configOffset = [this] {
        // Instances with a directory read it themselves and take no configuration from each other.
        return this->directory ? 0 : this->config()->nextOffset();
    };
    peerHooks.readsLog = [this] {
        const std::optional<TimePoint> readAt = this->lastReadAt();
        return readAt && RuntimeClock::now() - *readAt <= this->controllerOptions.freshnessLimit;
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
            if (this->duties) {
                this->duties->fleet.noteDemand(demand);
            }
        }
    };
    peerHooks.onQuarantines = this->hooks.peerQuarantines;
    peerHooks.onServingCount = this->hooks.servingCount;
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
    // The index of a snapshot costs a pass over the configuration, so freshness alone renews it in steps.
    const bool freshnessMoved
        = this->freshUntil() - this->publishedFreshness > this->controllerOptions.freshnessLimit / freshnessSteps;
    if (!changed && !freshnessMoved) {
        return;
    }
    this->publishSnapshot();
    if (!changed) {
        return;
    }
    const std::vector<BackendServer> servers = backendServersOf(*after);
    this->hooks.setServers(servers);
    if (this->controllerOptions.manageServers && !this->directory) {
        for (const BackendServer &server : servers) {
            this->addDataCentre(server.dataCentre);
        }
    }
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
