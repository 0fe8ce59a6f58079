#include <flamingosaddle/control/peerexchange.h>

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/base/hash.h>
#include <flamingosaddle/base/log.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace flamingosaddle
{

namespace
{

Heartbeat initialHeartbeat(const PeerExchangeOptions &options)
{
    Heartbeat heartbeat;
    heartbeat.from = options.self;
    heartbeat.dataCentre = options.dataCentre;
    return heartbeat;
}

std::vector<Seed> seedsOf(const std::vector<InstanceEntry> &entries)
{
    std::vector<Seed> seeds;
    for (const InstanceEntry &entry : entries) {
        const Result<Endpoint> address = Endpoint::parse(entry.peerAddress);
        if (address.has_value()) {
            seeds.push_back({entry.id, address.value(), entry.leaving});
        }
    }
    return seeds;
}

InstancesMessage messageOf(const std::map<InstanceId, Endpoint> &instances)
{
    InstancesMessage message;
    for (const auto &[id, address] : instances) {
        message.instances.push_back({id, address});
    }
    return message;
}

} // namespace

PeerExchange::PeerExchange(
    boost::asio::io_context &context, const Platform &platform, PeerExchangeOptions options, PeerExchangeHooks hooks)
    : context(context)
    , platform(platform)
    , options(std::move(options))
    , hooks(std::move(hooks))
    , members(initialHeartbeat(this->options), this->options.membership)
    , startedAt(RuntimeClock::now())
{
}

Result<void> PeerExchange::listen(const Endpoint &endpoint)
{
    PeerServerOptions serverOptions;
    serverOptions.listen = endpoint;
    serverOptions.timing = this->options.timing;
    serverOptions.limits = this->options.limits;
    serverOptions.progress = this->hooks.progress;
    BOOST_OUTCOME_TRY(
        started, PeerServer::start(this->context, serverOptions, [this](const HelloMessage &from, const PeerMessage &message) {
            this->onMessage(from, message);
        }));
    this->server = std::move(started);
    Heartbeat self = initialHeartbeat(this->options);
    self.address = this->server->localEndpoint();
    this->members = Membership(self, this->options.membership);
    return success();
}

boost::asio::awaitable<void> PeerExchange::runHeartbeats()
{
    while (!this->stopped) {
        if (this->options.usesPeerQuorum) {
            this->updateQuorumMembers();
        }
        this->members.expire(RuntimeClock::now());
        this->updateRelays();
        this->currentHeartbeat = std::make_shared<const EncodedMessage>(encodeMessage(this->nextHeartbeat()));
        this->refreshLinks();
        this->reportPeerLoads();
        this->reportWaitingTiers();
        this->gossipInstances();
        this->updateServingCount();
        this->updateSharingInstances();
        this->updatePeerPaths();
        co_await delay(this->options.timing.heartbeatInterval);
    }
}

boost::asio::awaitable<void> PeerExchange::runInstanceList()
{
    while (!this->stopped) {
        // Only relays, which know all other instances, and instances that know no relay yet appear in the list.
        if (this->actsAsRelay) {
            const Result<std::vector<InstanceEntry>> listed
                = co_await this->platform.registerInstance(this->options.self, this->localEndpoint());
            if (listed.has_value()) {
                this->members.setSeeds(seedsOf(listed.value()));
            }
        }
        co_await delay(this->options.instanceListInterval);
    }
}

void PeerExchange::stop()
{
    this->stopped = true;
    this->broadcast(LeaveMessage{this->options.self});
    for (const auto &[endpoint, link] : this->links) {
        link->stop();
    }
    if (this->server) {
        this->server->stop();
    }
}

void PeerExchange::setState(MemberState state)
{
    this->members.setOwnState(state);
}

void PeerExchange::setForwardAddress(const Endpoint &address)
{
    this->forwardAddress = address;
}

void PeerExchange::sendTombstone(const KeyId &id)
{
    this->broadcast(TombstonesMessage{{id}});
}

void PeerExchange::sendQuarantines(const QuarantinesMessage &message)
{
    this->broadcast(message);
}

void PeerExchange::sendTo(const Endpoint &peer, const PeerMessage &message)
{
    const auto link = this->links.find(peer);
    if (link != this->links.end()) {
        // A requester that gets no response retries with another instance.
        const Result<void> ignored = link->second->send(message);
        static_cast<void>(ignored);
    }
}

bool PeerExchange::sendToRelay(const PeerMessage &message)
{
    return std::any_of(this->relays.begin(), this->relays.end(), [this, &message](const Endpoint &relay) {
        const auto link = this->links.find(relay);
        return link != this->links.end() && link->second->isConnected() && link->second->send(message).has_value();
    });
}

bool PeerExchange::isRelay() const
{
    return this->actsAsRelay;
}

Endpoint PeerExchange::localEndpoint() const
{
    return this->server ? this->server->localEndpoint() : Endpoint();
}

const Membership &PeerExchange::membership() const
{
    return this->members;
}

std::optional<TimePoint> PeerExchange::confirmedByPeersAt() const
{
    return this->peerConfirmedAt;
}

bool PeerExchange::hasKnownPeers() const
{
    return !this->members.serving().empty() || !this->members.contactAddresses().empty() || !this->options.seeds.empty();
}

std::uint64_t PeerExchange::sentBytes() const
{
    std::uint64_t bytes = 0;
    for (const auto &[endpoint, link] : this->links) {
        bytes += link->counters().bytes;
    }
    return bytes;
}

void PeerExchange::onMessage(const HelloMessage &from, const PeerMessage &message)
{
    if (const auto *heartbeat = std::get_if<HeartbeatMessage>(&message)) {
        this->applyHeartbeat(from, *heartbeat);
    } else if (const auto *tombstones = std::get_if<TombstonesMessage>(&message)) {
        for (const KeyId &id : tombstones->keys) {
            this->hooks.onTombstone(id);
        }
    } else if (const auto *quarantines = std::get_if<QuarantinesMessage>(&message)) {
        this->hooks.onQuarantines(*quarantines);
    } else if (const auto *known = std::get_if<InstancesMessage>(&message)) {
        for (const KnownInstance &instance : known->instances) {
            this->members.recordUnverifiedMember(instance.id, instance.address, RuntimeClock::now());
        }
    } else if (const auto *request = std::get_if<ServersRequestMessage>(&message)) {
        this->onServersRequest(from, request->fromOffset);
    } else if (const auto *servers = std::get_if<ServersMessage>(&message)) {
        this->hooks.onServers(*servers);
    } else if (const auto *counts = std::get_if<UsageCountsMessage>(&message)) {
        this->onCountsMessage(from, *counts);
    } else if (const auto *acknowledgement = std::get_if<UsageCountsAckMessage>(&message)) {
        this->hooks.onCountsAcknowledged(acknowledgement->sequence);
    } else if (const auto *snapshot = std::get_if<ConfigSnapshotMessage>(&message)) {
        this->hooks.onConfigSnapshot(snapshot->text);
    } else if (std::holds_alternative<LeaveMessage>(message)) {
        this->onPeerLoads.erase(from.from.instance);
        this->peerWaitingTiers.erase(from.from.instance);
    }
}

void PeerExchange::applyHeartbeat(const HelloMessage &from, const HeartbeatMessage &message)
{
    const TimePoint now = RuntimeClock::now();
    const HeartbeatResult result = this->members.apply(message.heartbeat, now);
    if (result != HeartbeatResult::Accepted) {
        return;
    }
    this->onPeerLoads[from.from.instance] = message.loads;
    this->peerWaitingTiers[from.from.instance] = message.waitingTiers;
    if (from.forwardAddress.has_value()) {
        this->peerPaths[from.from.instance]
            = {{from.from.instance, *from.forwardAddress, message.heartbeat.dataCentre, message.unreachableTargets}, now};
    }
    this->hooks.onServedTokens(message.servedTokens);
    this->hooks.onPrefills(message.prefills);
    this->hooks.onDemands(message.demands);
    if (!message.rateLimits.empty()) {
        this->hooks.onRateLimits(message.rateLimits);
    }
    if (!message.rejectionLimits.empty()) {
        this->hooks.onRejectionLimits(message.rejectionLimits);
    }
    if (message.isLeader) {
        this->leader = from.from.instance;
        this->hooks.onLeaderHeartbeat();
    } else if (this->leader == from.from.instance) {
        this->leader.reset();
        this->hooks.onLeaderLoss();
    }
    if (this->options.usesPeerQuorum) {
        this->sendSnapshotIfBehind(message);
        this->peerConfigs[from.from.instance] = {message.configOffset, now};
        this->updatePeerConfirmation(message, now);
    }
}

void PeerExchange::updatePeerConfirmation(const HeartbeatMessage &message, TimePoint now)
{
    if (message.configOffset > this->hooks.configOffset()) {
        return;
    }
    if (message.hasFreshConfig) {
        this->peerConfirmedAt = now;
        this->quorumMembers.clear();
    }
    this->updateQuorumMembers();
    if (this->hasQuorum(now)) {
        this->peerConfirmedAt = now;
    }
}

void PeerExchange::updateQuorumMembers()
{
    if (this->hooks.hasFreshConfig()) {
        this->quorumMembers.clear();
    }
    // While no instance reads the log, silent members still count: they may be in another partition that reaches the log.
    for (const auto &[id, member] : this->members.members()) {
        if (member.isTerminated) {
            this->quorumMembers.erase(id);
        } else {
            this->quorumMembers.insert(id);
        }
    }
}

bool PeerExchange::hasQuorum(TimePoint now) const
{
    const std::size_t known = this->quorumMembers.size() + 1;
    std::size_t agreeing = 1;
    for (const InstanceId &id : this->quorumMembers) {
        const auto config = this->peerConfigs.find(id);
        const bool isRecent
            = config != this->peerConfigs.end() && now - config->second.updatedAt <= this->options.timing.receiveTimeout();
        if (isRecent && config->second.offset <= this->hooks.configOffset()) {
            ++agreeing;
        }
    }
    return 2 * agreeing > known;
}

void PeerExchange::sendSnapshotIfBehind(const HeartbeatMessage &message)
{
    const auto previous = this->peerConfigs.find(message.heartbeat.from.instance);
    // A peer that reads the log catches up between two heartbeats. One whose offset does not change cannot read it.
    const bool isStalled = previous != this->peerConfigs.end() && previous->second.offset == message.configOffset;
    if (!isStalled || message.configOffset >= this->hooks.configOffset() || !this->isSnapshotSenderFor(message)) {
        return;
    }
    const auto link = this->links.find(message.heartbeat.address);
    if (link != this->links.end()) {
        // Without a connection, the next heartbeat triggers another attempt.
        const Result<void> ignored = link->second->send(ConfigSnapshotMessage{this->hooks.configSnapshot()});
        static_cast<void>(ignored);
    }
}

bool PeerExchange::isSnapshotSenderFor(const HeartbeatMessage &message) const
{
    const std::uint64_t key = hash64(message.heartbeat.from.text());
    const std::uint64_t own = rendezvousWeight(this->options.self.text(), key);
    const std::vector<Heartbeat> serving = this->members.serving();
    return std::none_of(serving.begin(), serving.end(), [&](const Heartbeat &other) {
        const auto config = this->peerConfigs.find(other.from.instance);
        const bool isAhead = config != this->peerConfigs.end() && config->second.offset > message.configOffset;
        return isAhead && rendezvousWeight(other.from.text(), key) > own;
    });
}

void PeerExchange::onServersRequest(const HelloMessage &from, std::uint64_t offset)
{
    this->sendToInstance(from.from.instance, this->hooks.serversSince(offset));
}

void PeerExchange::onCountsMessage(const HelloMessage &from, const UsageCountsMessage &message)
{
    this->hooks.onCounts(message.record, [this, instance = from.from.instance, sequence = message.sequence] {
        this->sendToInstance(instance, UsageCountsAckMessage{sequence});
    });
}

void PeerExchange::sendToInstance(const InstanceId &instance, const PeerMessage &message)
{
    const Member *member = this->members.find(instance);
    if (member != nullptr) {
        this->sendTo(member->lastHeartbeat.address, message);
    }
}

void PeerExchange::updateRelays()
{
    this->relays.clear();
    bool isRelayNow = false;
    for (const Incarnation &relay : this->members.relays(this->options.dataCentre, this->options.relaysPerDataCentre)) {
        const Member *member = this->members.find(relay.instance);
        if (member != nullptr) {
            this->relays.push_back(member->lastHeartbeat.address);
        } else {
            isRelayNow = true;
        }
    }
    // A draining instance is no relay unless there is no other one.
    isRelayNow = isRelayNow || this->relays.empty();
    if (isRelayNow != this->actsAsRelay) {
        this->actsAsRelay = isRelayNow;
        logEvent(LogLevel::Info, "control", isRelayNow ? "this instance is a relay" : "this instance is no relay",
            {{"known_instances", std::to_string(this->members.members().size())}});
    }
}

void PeerExchange::refreshLinks()
{
    std::set<Endpoint> wanted(this->options.seeds.begin(), this->options.seeds.end());
    for (const Endpoint &contact : this->members.contactAddresses()) {
        wanted.insert(contact);
    }
    for (const auto &[id, address] : this->verifiedInstances()) {
        wanted.insert(address);
    }
    wanted.erase(this->localEndpoint());
    std::erase_if(this->links, [&wanted](const auto &entry) {
        return !wanted.contains(entry.first);
    });
    for (const Endpoint &endpoint : wanted) {
        if (!this->links.contains(endpoint)) {
            this->openLink(endpoint);
        }
    }
}

void PeerExchange::openLink(const Endpoint &endpoint)
{
    PeerLinkOptions linkOptions;
    linkOptions.peer = endpoint;
    linkOptions.timing = this->options.timing;
    linkOptions.seed = hash64(endpoint.text(), this->options.seed);
    auto link = std::make_unique<PeerLink>(this->context, linkOptions, this->linkHooks(endpoint));
    link->start();
    this->links.emplace(endpoint, std::move(link));
}

PeerLinkHooks PeerExchange::linkHooks(const Endpoint &peer)
{
    PeerLinkHooks linkHooks;
    linkHooks.hello = [this] {
        return HelloMessage{this->options.self, this->options.dataCentre, ++this->connectionCount, this->forwardAddress};
    };
    linkHooks.heartbeat = [this] {
        return this->currentHeartbeat;
    };
    linkHooks.initialMessages = [this] {
        return this->greeting();
    };
    linkHooks.onRelayProgress = [this, peer](const StoreProgress &progress, TimePoint sentAt) {
        const bool isSameDataCentre = std::find(this->relays.begin(), this->relays.end(), peer) != this->relays.end();
        this->hooks.onRelayProgress(peer, isSameDataCentre, progress, sentAt);
    };
    return linkHooks;
}

HeartbeatMessage PeerExchange::nextHeartbeat()
{
    HeartbeatMessage message;
    message.heartbeat = this->members.nextHeartbeat();
    message.configOffset = this->hooks.configOffset();
    message.hasFreshConfig = this->hooks.hasFreshConfig();
    message.isLeader = this->hooks.isLeader();
    this->hooks.fillTrafficState(message);
    this->hooks.onDemands(message.demands);
    return message;
}

std::vector<PeerMessage> PeerExchange::greeting() const
{
    std::vector<PeerMessage> messages;
    messages.emplace_back(TombstonesMessage{this->hooks.tombstones()});
    messages.emplace_back(messageOf(this->verifiedInstances()));
    QuarantinesMessage deaths = this->hooks.deathCounts();
    if (!deaths.deathCounts.empty() || !deaths.quarantinedParts.empty()) {
        messages.emplace_back(std::move(deaths));
    }
    return messages;
}

void PeerExchange::broadcast(const PeerMessage &message)
{
    for (const auto &[endpoint, link] : this->links) {
        // A disconnected peer receives this in the greeting of its next connection.
        const Result<void> ignored = link->send(message);
        static_cast<void>(ignored);
    }
}

void PeerExchange::reportPeerLoads()
{
    std::map<BackendServerId, ServerLoad> sums;
    for (const BackendServerId &id : this->reportedServers) {
        sums[id].server = id;
    }
    this->reportedServers.clear();
    for (const auto &[instance, serverLoads] : this->onPeerLoads) {
        if (!this->members.isLive(instance)) {
            continue;
        }
        for (const ServerLoad &load : serverLoads) {
            ServerLoad &sum = sums[load.server];
            sum.server = load.server;
            sum.inFlight += load.inFlight;
            sum.backlogTokens += load.backlogTokens;
            this->reportedServers.insert(load.server);
        }
    }
    std::vector<ServerLoad> all;
    all.reserve(sums.size());
    for (const auto &[server, sum] : sums) {
        all.push_back(sum);
    }
    this->hooks.onLoads(all);
}

void PeerExchange::reportWaitingTiers()
{
    std::map<std::pair<ModelName, ServiceName>, std::int32_t> mostUrgent;
    for (const auto &[instance, tiers] : this->peerWaitingTiers) {
        if (!this->members.isLive(instance)) {
            continue;
        }
        for (const WaitingTier &known : tiers) {
            const auto entry = mostUrgent.try_emplace({known.model, known.service}, known.tier).first;
            entry->second = std::min(entry->second, known.tier);
        }
    }
    std::vector<WaitingTier> all;
    all.reserve(mostUrgent.size());
    for (const auto &[target, tier] : mostUrgent) {
        all.push_back({target.first, target.second, tier});
    }
    this->hooks.onWaitingTiers(all);
}

std::map<InstanceId, Endpoint> PeerExchange::verifiedInstances() const
{
    std::map<InstanceId, Endpoint> verified;
    for (const auto &[id, member] : this->members.members()) {
        if (member.state != MemberState::Gone) {
            verified.emplace(id, member.lastHeartbeat.address);
        }
    }
    return verified;
}

void PeerExchange::gossipInstances()
{
    std::map<InstanceId, Endpoint> verified = this->verifiedInstances();
    std::map<InstanceId, Endpoint> added;
    std::set_difference(verified.begin(), verified.end(), this->announcedInstances.begin(), this->announcedInstances.end(),
        std::inserter(added, added.end()));
    if (!added.empty()) {
        this->broadcast(messageOf(added));
    }
    this->announcedInstances = std::move(verified);
}

void PeerExchange::updateServingCount()
{
    const std::size_t count = this->members.serving().size() + 1;
    if (count == this->servingCount) {
        return;
    }
    this->servingCount = count;
    this->hooks.onServingCount(count);
    logEvent(LogLevel::Info, "control", "serving instances changed", {{"count", std::to_string(count)}});
}

void PeerExchange::updatePeerPaths()
{
    const TimePoint now = RuntimeClock::now();
    std::erase_if(this->peerPaths, [this, now](const auto &known) {
        return now - known.second.heardAt > this->options.maxPeerPathAge;
    });
    std::vector<PeerPath> usable;
    for (const auto &[instance, known] : this->peerPaths) {
        const Member *member = this->members.find(instance);
        if (member != nullptr && member->state == MemberState::Serving) {
            usable.push_back(known.path);
        }
    }
    if (usable != this->reportedPaths) {
        this->reportedPaths = std::move(usable);
        this->hooks.onPeerPaths(this->reportedPaths);
    }
}

void PeerExchange::updateSharingInstances()
{
    const TimePoint now = RuntimeClock::now();
    std::vector<InstanceId> sharing = this->members.sharingInstances(now);
    // Without any other instance, this one shares nothing; but at its start it may only not have heard them yet.
    const bool isUnknown = sharing.empty() && now < this->startedAt + this->options.membership.heartbeatTimeout;
    if (!isUnknown && sharing != this->sharingInstances) {
        this->sharingInstances = std::move(sharing);
        this->hooks.onSharingInstances(*this->sharingInstances);
    }
}

} // namespace flamingosaddle
