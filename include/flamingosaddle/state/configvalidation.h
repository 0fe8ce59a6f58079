#pragma once

#include <flamingosaddle/base/result.h>
#include <flamingosaddle/state/configstate.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

/**
 * The rules of the configuration. An operator's client asks them before it appends a change, and ConfigState asks them
 * again when the change is applied. Every failure is of the kind InvalidConfiguration, or Conflict for a change made
 * against an old revision, and names the field and the remedy.
 */
namespace flamingosaddle
{

struct ConfigLimits {
    static constexpr std::size_t maxNameBytes = 128;
    static constexpr std::size_t maxPathPrefixBytes = 1024;
    static constexpr std::size_t maxClasses = 32;
    static constexpr std::size_t maxNames = 256; ///< models or services of one object
    static constexpr std::uint32_t maxSlots = 65536;
    static constexpr int maxTier = 15;
    static constexpr std::chrono::milliseconds maxDuration = std::chrono::hours(24);
    static constexpr double maxShare = 1e6;
};

// Rules for one object by itself.

Result<void> validate(const Template &value);
Result<void> validate(const ClientAccount &value);
Result<void> validate(const Route &value);
Result<void> validate(const BackendServer &value);
Result<void> validate(const ClientKey &value);

/**
 * Whether @p change may be applied to @p state: its own values, what it refers to, and its expected revision.
 */
Result<void> checkChange(const ConfigState &state, const ConfigChange &change);

/**
 * The classes of a client account: those of @p base with the client account's own parameters laid over them.
 */
std::vector<RequestClass> effectiveClasses(const Template &base, const ClientAccount &clientAccount);

} // namespace flamingosaddle
