#pragma once

#include <flamingosaddle/traffic/admission.h>
#include <flamingosaddle/traffic/fairqueue.h>
#include <flamingosaddle/traffic/selection.h>

#include <functional>

namespace flamingosaddle
{

/** Whether a request that was attempted @p attempts times may be tried again. */
using MayRetry = std::function<bool(std::uint32_t attempts)>;

/**
 * Rules that replace those of the dispatcher, each where it is set. They exist to measure the dispatcher's own rules
 * against simpler ones.
 */
struct DispatcherPolicies {
    AdmitRequest admit; ///< instead of meetsTarget()
    ServeBefore serveBefore; ///< instead of floors, tiers and fair shares
    ChooseServer chooseServer; ///< instead of the rules of Selector
    MayRetry mayRetry; ///< instead of RetryBudget
    bool judgesSpeed = true; ///< whether stragglers are passed over
    bool mayEvict = true; ///< whether a waiting request gives its place to one of a higher tier
};

} // namespace flamingosaddle
