#pragma once

#include <flamingosaddle/base/result.h>
#include <flamingosaddle/state/configstate.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

/**
 * Validation of configuration changes. An operator's client validates a change before it appends it, and ConfigState
 * validates it again when it is applied. Errors are of kind InvalidConfiguration, or Conflict for a change that was made
 * against an old revision, and name the field and a remedy.
 */
namespace flamingosaddle
{

struct ConfigLimits {
    static constexpr std::size_t maxNameBytes = 128;
    static constexpr std::size_t maxPathPrefixBytes = 1024;
    static constexpr std::size_t maxClasses = 32;
    static constexpr std::size_t maxNames = 256; ///< maximum number of models or services of one object
    static constexpr std::uint32_t maxSlots = 65536;
    static constexpr int maxTier = 15;
    static constexpr std::chrono::milliseconds maxDuration = std::chrono::hours(24);
    static constexpr double maxShare = 1e6;
};

// Rules for a single object.

Result<void> validate(const Template &value);
Result<void> validate(const ClientAccount &value);
Result<void> validate(const Route &value);
Result<void> validate(const BackendServer &value);
Result<void> validate(const ClientKey &value);

/**
 * Checks whether @p change can be applied to @p state: its values, its references and its expected revision.
 */
Result<void> checkChange(const ConfigState &state, const ConfigChange &change);

/**
 * Returns the classes of a client account: those of its template @p base with the account's overrides applied.
 */
std::vector<RequestClass> effectiveClasses(const Template &base, const ClientAccount &clientAccount);

} // namespace flamingosaddle
