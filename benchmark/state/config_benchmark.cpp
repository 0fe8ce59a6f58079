#include <flamingosaddle/state/configstate.h>

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <string>
#include <vector>

using namespace flamingosaddle;

namespace
{

constexpr int keysPerAccount = 3;

/**
 * Returns the number of bytes allocated on the heap of the process.
 */
double allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

Template chatTemplate()
{
    Template value{TemplateName("chat"), 1, {}};
    for (const char *name : {"interactive", "standard", "batch"}) {
        value.classes.emplace_back().name = ClassName(name);
    }
    return value;
}

ClientAccount clientAccount(int number, double share = 1.0)
{
    ClientAccount value;
    value.id = ClientAccountId("client-account-" + std::to_string(number));
    value.templateName = TemplateName("chat");
    value.share = share;
    ClassOverrides &overrides = value.classes.emplace_back();
    overrides.name = ClassName("batch");
    overrides.tier = 2;
    for (int model = 0; model < 8; ++model) {
        value.models.emplace_back("model-" + std::to_string(model));
    }
    return value;
}

ClientKey clientKey(int account, int number)
{
    const std::string id = "key-" + std::to_string(account) + "-" + std::to_string(number);
    return {KeyId(id), ClientAccountId("client-account-" + std::to_string(account)), KeyDigest::of(id, "secret")};
}

BackendServer backendServer(int number)
{
    BackendServer value;
    value.id = BackendServerId("backend-server-" + std::to_string(number));
    value.endpoint = {"10.1.2.3", 8000};
    value.dataCentre = DataCentre("ke-central-a");
    value.models = {ModelName("model-" + std::to_string(number % 8))};
    return value;
}

ConfigChange change(std::uint64_t number, ConfigChangeBody body)
{
    return {ChangeId("operator-" + std::to_string(number)), std::nullopt, "operator", std::move(body)};
}

ConfigState makeConfigState(int accounts, int servers)
{
    ConfigState state;
    const auto apply = [&state](ConfigChangeBody body) {
        state.apply(state.nextOffset(), change(state.nextOffset(), std::move(body)));
    };
    apply(PutTemplate{chatTemplate()});
    for (int account = 0; account < accounts; ++account) {
        apply(PutClientAccount{clientAccount(account)});
        for (int key = 0; key < keysPerAccount; ++key) {
            apply(GiveKey{clientKey(account, key)});
        }
    }
    for (int server = 0; server < servers; ++server) {
        apply(PutBackendServer{backendServer(server)});
    }
    return state;
}

ConfigState configStateFor(const benchmark::State &run)
{
    return makeConfigState(static_cast<int>(run.range(0)), static_cast<int>(run.range(1)));
}

void decodeChange(benchmark::State &run)
{
    const std::string text = encodeConfigChange(change(1, PutClientAccount{clientAccount(1)}));
    for (auto step : run) {
        benchmark::DoNotOptimize(decodeConfigChange(text));
    }
    run.counters["record_bytes"] = static_cast<double>(text.size());
}

void applyAccountChange(benchmark::State &run)
{
    ConfigState state = configStateFor(run);
    std::uint64_t number = state.nextOffset();
    for (auto step : run) {
        const auto account = static_cast<int>(number % static_cast<std::uint64_t>(run.range(0)));
        state.apply(number, change(number, PutClientAccount{clientAccount(account, 2.0)}));
        ++number;
    }
}

void applyKeyGivenAndWithdrawn(benchmark::State &run)
{
    ConfigState state = configStateFor(run);
    std::uint64_t number = state.nextOffset();
    for (auto step : run) {
        const ClientKey key = clientKey(0, static_cast<int>(number));
        state.apply(number, change(number, GiveKey{key}));
        state.apply(number + 1, change(number + 1, WithdrawKey{key.id}));
        number += 2;
    }
}

void copyState(benchmark::State &run)
{
    const ConfigState state = configStateFor(run);
    for (auto step : run) {
        benchmark::DoNotOptimize(ConfigState(state));
    }
}

void encodeSnapshot(benchmark::State &run)
{
    const ConfigState state = configStateFor(run);
    for (auto step : run) {
        benchmark::DoNotOptimize(encodeConfigSnapshot(state));
    }
    run.counters["snapshot_bytes"] = static_cast<double>(encodeConfigSnapshot(state).size());
}

void loadSnapshot(benchmark::State &run)
{
    const std::string text = encodeConfigSnapshot(configStateFor(run));
    for (auto step : run) {
        benchmark::DoNotOptimize(decodeConfigSnapshot(text));
    }
    const double before = allocatedBytes();
    const auto state = decodeConfigSnapshot(text);
    run.counters["state_bytes"] = allocatedBytes() - before;
}

/** Measures the cost of withdrawn keys, which are never removed. */
void loadTombstones(benchmark::State &run)
{
    ConfigState state = makeConfigState(1, 0);
    for (int key = 0; key < run.range(0); ++key) {
        const ClientKey value = clientKey(0, keysPerAccount + key);
        state.apply(state.nextOffset(), change(state.nextOffset(), GiveKey{value}));
        state.apply(state.nextOffset(), change(state.nextOffset(), WithdrawKey{value.id}));
    }
    const std::string text = encodeConfigSnapshot(state);
    for (auto step : run) {
        benchmark::DoNotOptimize(decodeConfigSnapshot(text));
    }
    const double before = allocatedBytes();
    const auto loaded = decodeConfigSnapshot(text);
    run.counters["state_bytes"] = allocatedBytes() - before;
    run.counters["snapshot_bytes"] = static_cast<double>(text.size());
}

void sizes(benchmark::internal::Benchmark *registered)
{
    registered->ArgNames({"accounts", "servers"});
    for (const int accounts : {69, 230, 690}) {
        registered->Args({accounts, 20});
    }
    registered->Args({690, 1200})->Args({690, 12000})->Unit(benchmark::kMicrosecond);
}

BENCHMARK(decodeChange)->Unit(benchmark::kMicrosecond);
BENCHMARK(applyAccountChange)->Apply(sizes);
BENCHMARK(applyKeyGivenAndWithdrawn)->Apply(sizes)->Iterations(20000);
BENCHMARK(copyState)->Apply(sizes);
BENCHMARK(encodeSnapshot)->Apply(sizes);
BENCHMARK(loadSnapshot)->Apply(sizes);
BENCHMARK(loadTombstones)->Arg(10000)->Arg(30000)->Arg(100000)->Unit(benchmark::kMicrosecond);

} // namespace
