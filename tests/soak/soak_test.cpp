#include "soak.h"

#include <gtest/gtest.h>

#include <cstdlib>

using namespace flamingosaddle;
using namespace flamingosaddle::process;

namespace
{

constexpr Duration shortRun = std::chrono::seconds(4);
constexpr Duration longRun = std::chrono::seconds(10);

std::uint64_t numberField(const char *variable)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? 0 : std::strtoull(text, nullptr, 10);
}

void runSeed(std::uint64_t seed, Duration duration)
{
    Soak soak(seed);
    const Violations wrong = soak.run(duration);
    EXPECT_EQ(wrong, Violations{}) << soak.report();
}

} // namespace

TEST(Soak, AShortRun)
{
    runSeed(1, shortRun);
}

/** By hand: scripts/soak COUNT [FIRST]. */
TEST(Soak, ManySeeds)
{
    const std::uint64_t first = numberField("FLAMINGOSADDLE_SOAK_FIRST");
    const std::uint64_t count = numberField("FLAMINGOSADDLE_SOAK_COUNT");
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        runSeed(seed, longRun);
    }
}
