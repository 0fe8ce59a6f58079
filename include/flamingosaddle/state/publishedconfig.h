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
 * How many backend servers of a service may be ordered, and what they cost. The bounds hold for each data centre, ordinary
 * and cheap servers together.
 */
struct ScalingRules {
    std::uint32_t fewest = 0;
    std::uint32_t most = 0;
    std::chrono::milliseconds startTime{0}; ///< from an order until the server serves
    std::optional<double> cheapPrice{}; ///< of a cheap server, as a part of an ordinary one's; nothing when there are none
    std::map<DataCentre, double> prices; ///< of an ordinary server's second

    friend bool operator==(const ScalingRules &, const ScalingRules &) = default;
};

/**
 * What an operator says of a service.
 */
struct ServiceRules {
    ServiceName name;
    std::uint32_t maxConnections = 0; ///< that one server accepts from all callers together; 0 for no limit
    bool isEngine = false; ///< whether its servers generate tokens
    std::uint64_t memoryTokens = 0; ///< of one engine: tokens of prompts and answers that it holds
    std::optional<ScalingRules> scaling;

    friend bool operator==(const ServiceRules &, const ServiceRules &) = default;
};

/**
 * A configuration as an operator publishes it in one piece.
 */
struct PublishedConfig {
    std::uint64_t version = 0; ///< rises with each configuration, in uneven steps
    std::uint64_t offset = 0; ///< of its record
    ConfigObjects objects; ///< without backend servers, which register themselves
    std::vector<ServiceRules> services;

    friend bool operator==(const PublishedConfig &, const PublishedConfig &) = default;
};

} // namespace flamingosaddle
