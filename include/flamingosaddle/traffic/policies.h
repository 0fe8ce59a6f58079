#pragma once

#include <flamingosaddle/traffic/admission.h>
#include <flamingosaddle/traffic/fairqueue.h>
#include <flamingosaddle/traffic/selection.h>

#include <functional>

namespace flamingosaddle
{

/** Returns whether a request that has been attempted @p attempts times may be retried. */
using RetryPolicy = std::function<bool(std::uint32_t attempts)>;

/**
 * Policies that replace the corresponding rules of the dispatcher where they are set. They exist to compare the dispatcher's
 * rules with simpler ones in benchmarks.
 */
struct DispatcherPolicies {
    AdmissionPolicy admission; ///< replaces meetsTarget()
    QueueOrderPolicy queueOrder; ///< replaces the order by floors, tiers and fair shares
    SelectionPolicy selection; ///< replaces the rules of Selector
    RetryPolicy retry; ///< replaces RetryBudget
    bool detectsStragglers = true; ///< whether stragglers are avoided
    bool allowsEviction = true; ///< whether a waiting request can be evicted in favour of a higher tier
};

} // namespace flamingosaddle
