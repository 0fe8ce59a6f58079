#include "dispatcherworld.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace flamingosaddle;

namespace
{

constexpr int maxOperations = 600; // operations

// Checks that any sequence of operations preserves the invariants checked by DispatcherHarness.
void checkAnyOperations(const WorldSettings &settings)
{
    std::uint64_t starts = 0;
    EXPECT_TRUE(rc::check("invariants hold after any operations", [&]() {
        const auto operations
            = *rc::gen::resize(maxOperations, rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, 1U << 30)));
        DispatcherWorld world(settings);
        for (const std::uint32_t operation : operations) {
            world.step(operation);
            if (!world.breaches().empty()) {
                RC_FAIL(world.breaches().front());
            }
        }
        starts += world.starts();
    }));
    EXPECT_GT(starts, 1000U) << "the operations must start requests";
}

} // namespace

TEST(DispatcherInvariants, HoldUnderStrictTiers)
{
    checkAnyOperations(WorldSettings());
}

TEST(DispatcherInvariants, HoldWithFloors)
{
    WorldSettings settings;
    settings.floorShare = 0.2;
    settings.measuresSpeeds = true;
    checkAnyOperations(settings);
}

TEST(DispatcherInvariants, HoldWhenTheQueueIsSmall)
{
    WorldSettings settings;
    settings.options.maxWaiting = 4;
    settings.options.reservePercent = 0;
    settings.floorShare = 0.2;
    settings.firstTokenTarget = std::chrono::hours(1);
    checkAnyOperations(settings);
}

TEST(DispatcherInvariants, HoldWithManyAttempts)
{
    WorldSettings settings;
    settings.options.maxAttempts = 100;
    settings.options.retryPercent = 50;
    settings.measuresSpeeds = true;
    checkAnyOperations(settings);
}
