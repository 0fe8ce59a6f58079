#pragma once

#include <string>
#include <vector>

namespace flamingosaddle::simulation
{

/**
 * One measurement of a policy in a scenario.
 */
struct Figure {
    std::string row;
    std::string policy; ///< "flamingosaddle" or the baseline
    std::string name;
    double value = 0.0;

    friend bool operator==(const Figure &, const Figure &) = default;
};

/** Runs every scenario with its baselines. Deterministic. */
std::vector<Figure> runPolicyRows();

} // namespace flamingosaddle::simulation
