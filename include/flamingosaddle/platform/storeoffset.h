#pragma once

#include <cstdint>

namespace flamingosaddle
{

/**
 * Offsets in the logs of a store that may be restored from a backup. The records written since the backup are then lost, and new
 * records reuse their positions. Each restoration begins a new epoch, which is in the upper bits of an offset. Offsets of a later
 * epoch are therefore greater than those of an earlier one, and an offset identifies a single record.
 */
inline constexpr unsigned epochShift = 40; // a log has up to 2^40 records
inline constexpr std::uint64_t maxEpoch = (std::uint64_t{1} << (64 - epochShift)) - 1;

constexpr std::uint64_t makeOffset(std::uint64_t epoch, std::uint64_t position)
{
    return (epoch << epochShift) + position;
}

constexpr std::uint64_t epochOf(std::uint64_t offset)
{
    return offset >> epochShift;
}

constexpr std::uint64_t positionOf(std::uint64_t offset)
{
    return offset & ((std::uint64_t{1} << epochShift) - 1);
}

} // namespace flamingosaddle
