#pragma once

#include <flamingosaddle/state/configstate.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingosaddle
{

/**
 * Limits on the number of backend servers of a service that are ordered, and their prices. The limits apply to each data
 * centre, to ordinary and cheap servers together.
 */
struct ScalingRules {
    std::uint32_t minServers = 0;
    std::uint32_t maxServers = 0;
    std::chrono::milliseconds startupTime{0}; ///< from an order until the server serves
    std::optional<double> cheapPriceRatio{}; ///< price of a cheap server relative to an ordinary one; nothing if there are none
    std::map<DataCentre, double> ordinaryPrices; ///< price of an ordinary server per second

    friend bool operator==(const ScalingRules &, const ScalingRules &) = default;
};

/**
 * An operator's settings of a service.
 */
struct ServiceRules {
    ServiceName name;
    std::uint32_t maxConnections = 0; ///< limit of one server for the connections of all callers; 0 for no limit
    bool isEngine = false; ///< whether its servers generate tokens
    std::uint64_t kvCapacityTokens = 0; ///< capacity of one engine's KV cache, in tokens of prompts and completions
    std::optional<ScalingRules> scaling;
    double coldRequestsPerSecond = 0.0; ///< requests that a cold server bears from all callers; 0 if its servers are never cold

    friend bool operator==(const ServiceRules &, const ServiceRules &) = default;
};

/**
 * Limits on what callers send. A limit that is zero is not set.
 */
struct PublishedLimits {
    std::uint64_t maxHeaderBytes = 0;
    std::uint64_t maxBodyBytes = 0;
    std::chrono::milliseconds headerTimeout{0};
    std::chrono::milliseconds idleTimeout{0};

    friend bool operator==(const PublishedLimits &, const PublishedLimits &) = default;
};

/**
 * A complete configuration as an operator publishes it.
 */
struct PublishedConfig {
    std::uint64_t version = 0; ///< increases with each configuration, not always by one
    std::uint64_t offset = 0; ///< offset of its record
    ConfigObjects objects; ///< without backend servers, which register themselves
    std::vector<ServiceRules> services;
    PublishedLimits limits{};

    friend bool operator==(const PublishedConfig &, const PublishedConfig &) = default;
};

} // namespace flamingosaddle
