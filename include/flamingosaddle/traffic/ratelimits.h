#pragma once

#include <flamingosaddle/traffic/types.h>

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

namespace flamingosaddle
{

/**
 * This instance's share of a server's rate limit, as parameters of a TokenBucket.
 */
struct RateShare {
    double requestsPerSecond = 0.0; ///< 0 if other instances share the whole limit
    double burst = 1.0; ///< requests that may be sent at once after a pause
    double initialTokens = 0.0;

    friend bool operator==(const RateShare &, const RateShare &) = default;
};

/**
 * The rate limits that backend servers state in their responses, and their division among the instances.
 *
 * A limit binds all instances together, but only the instance that receives a response reads it. Each instance therefore reports
 * the limits that it was the last to read to the others.
 *
 * An instance may send a request after a pause without regard to the others' requests, so the number of instances that share a
 * limit is bounded by the burst that the server is expected to bear: the requests of burstSeconds and minBurst more. If there are
 * more instances, rendezvous hashing selects those that use the server, for each server anew. All instances derive the same
 * shares from the same membership without communication. The shares start with different fractions of a token, so that the
 * instances do not send their first requests at the same time.
 */
class RateLimits
{
public:
    static constexpr double burstSeconds = 1.0;
    static constexpr std::uint32_t minBurst = 4; ///< requests
    static constexpr double shareBurstSeconds = 0.25; ///< burst of one instance, if that is more than one request
    /** Rate at which all instances together use a server with a lower limit, since only its responses can lift the limit. */
    static constexpr double minRequestsPerSecond = 0.1;
    /** Number of instances that share a limit, assumed until setInstances() is called. */
    static constexpr std::uint32_t assumedInstances = 8;
    /** How long the limit of a server that is not configured is kept; entries of servers may vanish for seconds. */
    static constexpr Duration absentRetention = std::chrono::minutes(1);
    /** How long a lifted limit is kept, so that delayed reports of the limit are recognised as outdated. */
    static constexpr Duration liftedRetention = std::chrono::seconds(10);

    // Commands.

    /**
     * Applies the limit that a server stated in the response to a request sent at @p sentAt. Returns whether the known limit
     * changed. A response to a request that was sent before the known limit was stated may be older than that statement, so it
     * can only lower the limit.
     */
    bool applyResponse(const ServerRateLimit &stated, TimePoint sentAt);

    /** Applies a peer's report. The newest statement of a server counts. Returns whether the known limit changed. */
    bool applyPeerReport(const ServerRateLimit &report);

    /** Sets the instances that share the limits. */
    void setInstances(const InstanceId &self, const std::vector<InstanceId> &peers);

    /** Removes limits that were lifted long ago, and those of servers that have not been configured for long. */
    void expire(const std::function<bool(const BackendServerId &)> &isConfigured, TimePoint now);

    // Queries.

    /** Returns the number of servers with a limit. */
    std::size_t size() const;

    /** Returns the servers with a limit. */
    std::vector<BackendServerId> servers() const;

    /** Returns this instance's share of the server's limit, or nothing for a server without one. */
    std::optional<RateShare> share(const BackendServerId &server) const;

    /** Replaces the contents of @p reports with the limits, also lifted ones, that this instance was the last to read. */
    void ownReports(std::vector<ServerRateLimit> &reports) const;

private:
    struct Entry {
        ServerRateLimit limit;
        bool readHere = false; // whether the newest statement was in a response to this instance
    };

    bool update(const ServerRateLimit &limit, bool readHere);

    std::map<BackendServerId, Entry> entries;
    InstanceId self;
    std::optional<std::vector<InstanceId>> peers; // empty until setInstances() is called
};

} // namespace flamingosaddle
