#pragma once

#include <flamingosaddle/peer/message.h>
#include <flamingosaddle/relay/asyncdispatcher.h>

#include <cstddef>
#include <vector>

namespace flamingosaddle
{

/** Converts reports of servers' deaths to and from the notices of a message. */
std::vector<DeathNotice> toMessage(const ServerDeath &death);
std::vector<ServerDeath> fromMessage(const std::vector<DeathNotice> &notices);
/** Converts the quarantine of a part of prompts to its message. */
PromptPartNotice toMessage(const PromptPartChange &change, TimePoint now);

/**
 * Translates between what instances tell each other of their traffic and the decisions behind the gate. Used on the control
 * thread.
 */
class PeerTraffic
{
public:
    /** @param gate outlives the object */
    explicit PeerTraffic(AsyncDispatcher &gate);

    // Commands.

    /** The backend servers whose load is described. */
    void setServers(const std::vector<BackendServer> &servers);

    /** Fills in what this instance runs and served since the last call. */
    void describe(HeartbeatMessage &message);

    void takeLoads(const std::vector<ServerLoad> &loads);
    void takeWaiting(const std::vector<WaitingTier> &waiting);
    void takeServices(const std::vector<ServedTokens> &services);
    void takePrefills(const std::vector<PromptPrefill> &reads);
    void takeQuarantines(const QuarantinesMessage &message);
    /** Returns the deaths of backend servers that a newly connected peer may have missed. */
    QuarantinesMessage deathCounts();
    void takeServingCount(std::size_t count);
    /** Applies the rate limits that a peer reports. Returns those that changed. */
    std::vector<ServerRateLimit> applyRateLimits(const std::vector<RateLimitReport> &reports);
    /** Applies a peer's reports. Returns those of targets that had no limit before. */
    std::vector<TargetRejectionLimit> applyRejectionLimits(const std::vector<RejectionLimitReport> &reports);
    /** Sets the peers that take forwarded requests. */
    void setPeerPaths(const DataCentre &ownDataCentre, const std::vector<PeerPath> &peers);
    /** Passes on that the servers' entries are those of @p confirmedAt. */
    void onServersConfirmed(TimePoint confirmedAt);
    void setInstances(const InstanceId &self, const std::vector<InstanceId> &peers);

private:
    AsyncDispatcher &gate;
    std::vector<BackendServerId> servers;
    std::vector<ServedTokensReport> served; // kept for its memory
    std::vector<ServerRateLimit> rateLimits; // a member to reuse its memory
};

} // namespace flamingosaddle
