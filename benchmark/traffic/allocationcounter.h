#pragma once

#include <cstdint>

namespace flamingosaddle::simulation
{

/** Returns the number of calls of operator new so far, in a program that links allocationcounter.cpp. */
std::uint64_t allocationCount();

} // namespace flamingosaddle::simulation
