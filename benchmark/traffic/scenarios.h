#pragma once

#include <string>
#include <vector>

namespace flamingosaddle::simulation
{

/**
 * One measured figure of a policy row.
 */
struct Figure {
    std::string row;
    std::string policy; ///< "flamingosaddle" or the baseline
    std::string name;
    double value = 0.0;

    friend bool operator==(const Figure &, const Figure &) = default;
};

/** Runs every policy row and its baselines; the same figures each time. */
std::vector<Figure> runPolicyRows();

} // namespace flamingosaddle::simulation
