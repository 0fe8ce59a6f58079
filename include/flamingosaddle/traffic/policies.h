#pragma once

#include <flamingosaddle/traffic/admission.h>
#include <flamingosaddle/traffic/fairqueue.h>
#include <flamingosaddle/traffic/selection.h>

#include <functional>

namespace flamingosaddle
{

/** Returns whether a request that has been attempted @p attempts times may be retried. */
using MayRetry = std::function<bool(std::uint32_t attempts)>;

/**
 * Policies that replace the corresponding rules of the dispatcher where they are set. They exist to compare the dispatcher's
 * rules with simpler ones in benchmarks.
 */
struct DispatcherPolicies {
    AdmitRequest admit; ///< replaces meetsTarget()
    ServeBefore serveBefore; ///< replaces the order by floors, tiers and fair shares
    ChooseServer chooseServer; ///< replaces the rules of Selector
    MayRetry mayRetry; ///< replaces RetryBudget
    bool judgesSpeed = true; ///< whether stragglers are avoided
    bool mayEvict = true; ///< whether a waiting request can be evicted in favour of a higher tier
};

} // namespace flamingosaddle
