#include <flamingosaddle/state/claimtable.h>
#include <flamingosaddle/state/membership.h>
#include <flamingosaddle/state/usageaggregator.h>

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

using namespace flamingosaddle;

namespace
{

const Incarnation writer{InstanceId("instance-1"), 1764800000000};
const TimePoint start{std::chrono::hours(1)};

/** Encodes, decodes and applies Start records of new keys. The argument is the number of claims in the table. */
void writeAndReadClaim(benchmark::State &run)
{
    ClaimLimits limits;
    limits.retention = std::chrono::seconds(run.range(0));
    ClaimTable table(limits);
    ClaimRecord record;
    record.key.clientAccount = ClientAccountId("client-account-1");
    std::size_t recordBytes = 0;
    const auto applyNext = [&] {
        const std::uint64_t offset = table.nextOffset();
        record.id = {writer, offset};
        record.key.keyHash = offset * 0x9e3779b97f4a7c15;
        record.writtenAt = std::chrono::seconds(1764800000 + offset);
        const std::string text = encodeClaimRecord(record);
        recordBytes = text.size();
        benchmark::DoNotOptimize(table.apply(offset, decodeClaimRecord(text).value()));
    };
    while (table.size() < static_cast<std::size_t>(run.range(0))) {
        applyNext();
    }
    for (auto step : run) {
        applyNext();
    }
    run.counters["record_bytes"] = static_cast<double>(recordBytes);
}

/** Encodes, decodes and applies usage records. The argument is the number of client accounts, with one count each. */
void writeAndReadUsageBatch(benchmark::State &run)
{
    UsageAggregator aggregator;
    UsageRecord record;
    WindowCounts counts{352959840, {}};
    for (int i = 0; i < run.range(0); ++i) {
        counts.accounts.push_back({ClientAccountId("client-account-" + std::to_string(i)), 13, TokenCounts{20000, 5500}});
    }
    record.windows.push_back(std::move(counts));
    record.id.writer = writer;
    std::size_t recordBytes = 0;
    for (auto step : run) {
        ++record.id.sequence;
        const std::string text = encodeUsageRecord(record);
        recordBytes = text.size();
        aggregator.apply(decodeUsageRecord(text).value());
    }
    run.counters["record_bytes"] = static_cast<double>(recordBytes);
}

/** Applies heartbeats. The argument is the number of peers. */
void applyHeartbeat(benchmark::State &run)
{
    Membership membership({writer, 1, MemberState::Serving, {"10.0.0.1", 7000}, DataCentre("ke-central-a")}, {});
    std::vector<Heartbeat> heartbeats;
    for (int i = 0; i < run.range(0); ++i) {
        const Incarnation peer{InstanceId("peer-" + std::to_string(i)), 1};
        const Endpoint address{"10.0.1.1", static_cast<std::uint16_t>(7000 + i)};
        heartbeats.push_back({peer, 1, MemberState::Serving, address, DataCentre("ke-central-a")});
    }
    std::size_t next = 0;
    for (auto step : run) {
        Heartbeat &heartbeat = heartbeats[next];
        ++heartbeat.sequence;
        benchmark::DoNotOptimize(membership.apply(heartbeat, start));
        next = next + 1 == heartbeats.size() ? 0 : next + 1;
    }
}

/** Checks for members without recent heartbeats. The argument is the number of peers. */
void advanceMembership(benchmark::State &run)
{
    Membership membership({writer, 1, MemberState::Serving, {"10.0.0.1", 7000}, DataCentre("ke-central-a")}, {});
    for (int i = 0; i < run.range(0); ++i) {
        const Incarnation peer{InstanceId("peer-" + std::to_string(i)), 1};
        const Endpoint address{"10.0.1.1", static_cast<std::uint16_t>(7000 + i)};
        membership.apply({peer, 1, MemberState::Serving, address, DataCentre("ke-central-a")}, start);
    }
    for (auto step : run) {
        membership.expire(start);
    }
}

BENCHMARK(writeAndReadClaim)->Arg(1000)->Arg(10000)->Arg(100000);
BENCHMARK(writeAndReadUsageBatch)->Arg(7)->Arg(69)->Arg(690);
BENCHMARK(applyHeartbeat)->Arg(4)->Arg(41)->Arg(870);
BENCHMARK(advanceMembership)->Arg(4)->Arg(41)->Arg(870);

} // namespace
