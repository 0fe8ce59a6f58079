// Measures the cost of one full decision: admission, scheduling, server selection and completion of a request.

#include "allocationcounter.h"
#include "decisionload.h"
#include "promptload.h"

#include <benchmark/benchmark.h>

using namespace flamingosaddle::simulation;

static void fullDecision(benchmark::State &state)
{
    DecisionLoad load;
    const std::uint64_t before = allocationCount();
    for (auto iteration : state) {
        load.step();
    }
    const auto allocations = static_cast<double>(allocationCount() - before);
    state.counters["allocations"] = benchmark::Counter(allocations / static_cast<double>(state.iterations()));
    state.counters["waiting"] = static_cast<double>(load.waiting());
}
BENCHMARK(fullDecision)->Unit(benchmark::kMicrosecond)->Iterations(300000);

static void promptDecision(benchmark::State &state)
{
    PromptLoad load;
    const std::uint64_t before = allocationCount();
    for (auto iteration : state) {
        load.step();
    }
    const auto allocations = static_cast<double>(allocationCount() - before);
    state.counters["allocations"] = benchmark::Counter(allocations / static_cast<double>(state.iterations()));
}
BENCHMARK(promptDecision)->Unit(benchmark::kMicrosecond)->Iterations(100000);

BENCHMARK_MAIN();
