#pragma once

#include <cstdint>

namespace flamingosaddle
{

/** Mixes the bits of @p value with the finaliser of splitmix64. */
inline std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

} // namespace flamingosaddle
