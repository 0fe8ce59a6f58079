#pragma once

#include <cstdint>

namespace flamingosaddle::simulation
{

/** Calls of operator new so far, in a program that allocationcounter.cpp is linked into. */
std::uint64_t allocationCount();

} // namespace flamingosaddle::simulation
