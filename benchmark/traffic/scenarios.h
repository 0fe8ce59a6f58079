#pragma once

#include <string>
#include <vector>

namespace flamingosaddle::simulation
{

/**
 * One measurement of a policy in a scenario.
 */
struct Measurement {
    std::string scenario;
    std::string policy; ///< "flamingosaddle" or the baseline
    std::string name;
    double value = 0.0;

    friend bool operator==(const Measurement &, const Measurement &) = default;
};

/** Runs every scenario with its baselines. Deterministic. */
std::vector<Measurement> runScenarios();

} // namespace flamingosaddle::simulation
