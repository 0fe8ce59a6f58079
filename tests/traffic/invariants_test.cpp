// Guards against violated dispatcher invariants, such as exceeded slots or a repeated non-idempotent request, that only arise
// from unusual sequences of submissions, ends, retries and changes of the servers.

#include "dispatcherharness.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace flamingosaddle;

namespace
{

constexpr int maxOperations = 600; // operations

// Checks that any sequence of operations preserves the invariants checked by DispatcherHarness.
void checkAnyOperations(const HarnessSettings &settings)
{
    std::uint64_t starts = 0;
    EXPECT_TRUE(rc::check("invariants hold after any operations", [&]() {
        const auto operations
            = *rc::gen::resize(maxOperations, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, 1U << 30)));
        DispatcherHarness harness(settings);
        for (const std::uint32_t operation : operations) {
            harness.step(operation);
            if (!harness.violations().empty()) {
                RC_FAIL(harness.violations().front());
            }
        }
        starts += harness.starts();
    }));
    EXPECT_GT(starts, 1000U) << "the operations must start requests";
}

} // namespace

TEST(DispatcherInvariants, HoldUnderStrictTiers)
{
    checkAnyOperations(HarnessSettings());
}

TEST(DispatcherInvariants, HoldWithFloors)
{
    HarnessSettings settings;
    settings.floorShare = 0.2;
    settings.detectsStragglers = true;
    checkAnyOperations(settings);
}

TEST(DispatcherInvariants, HoldWhenTheQueueIsSmall)
{
    HarnessSettings settings;
    settings.options.maxWaiting = 4;
    settings.options.reservePercent = 0;
    settings.floorShare = 0.2;
    settings.firstTokenTarget = std::chrono::hours(1);
    checkAnyOperations(settings);
}

TEST(DispatcherInvariants, HoldWithManyAttempts)
{
    HarnessSettings settings;
    settings.options.maxAttempts = 100;
    settings.options.retryPercent = 50;
    settings.detectsStragglers = true;
    checkAnyOperations(settings);
}
