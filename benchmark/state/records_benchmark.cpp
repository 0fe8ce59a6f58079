#include <flamingosaddle/state/claimstate.h>
#include <flamingosaddle/state/leasestate.h>
#include <flamingosaddle/state/membership.h>
#include <flamingosaddle/state/orderledger.h>
#include <flamingosaddle/state/usageledger.h>

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

using namespace flamingosaddle;

namespace
{

const Incarnation writer{InstanceId("instance-1"), 1764800000000};
const TimePoint start{std::chrono::hours(1)};

/** Reads and applies renewals of as many roles as the argument says. */
void readLeaseRenewal(benchmark::State &run)
{
    LeaseTable table;
    std::vector<std::string> renewals;
    for (int i = 0; i < run.range(0); ++i) {
        LeaseRecord record;
        record.id = {writer, 1};
        record.role = Role("orders/data-centre-" + std::to_string(i));
        record.duration = std::chrono::seconds(10);
        table.apply(table.nextOffset(), record, start);
        record.kind = LeaseRecordKind::Renew;
        record.epoch = table.nextOffset();
        renewals.push_back(encodeLeaseRecord(record));
    }
    for (auto step : run) {
        const std::uint64_t offset = table.nextOffset();
        const auto record = decodeLeaseRecord(renewals[offset % renewals.size()]);
        benchmark::DoNotOptimize(table.apply(offset, record.value(), start));
    }
    run.counters["record_bytes"] = static_cast<double>(renewals.front().size());
}

/** Writes, reads and applies starts of new keys while as many are remembered as the argument says. */
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

/** Writes, reads and applies batches with one count for each of as many client accounts as the argument says. */
void writeAndReadUsageBatch(benchmark::State &run)
{
    UsageLedger ledger{std::chrono::hours(1)};
    UsageRecord record;
    for (int i = 0; i < run.range(0); ++i) {
        record.counts.push_back({ClientAccountId("client-account-" + std::to_string(i)), 1764799200, {13, 20000, 5500}});
    }
    record.id.writer = writer;
    std::size_t recordBytes = 0;
    for (auto step : run) {
        record.id.sequence = ledger.nextOffset() + 1;
        const std::string text = encodeUsageRecord(record);
        recordBytes = text.size();
        benchmark::DoNotOptimize(ledger.apply(ledger.nextOffset(), decodeUsageRecord(text).value()));
    }
    run.counters["record_bytes"] = static_cast<double>(recordBytes);
}

/** Writes, reads and applies an intent and its outcome while as many other intents are open as the argument says. */
void writeAndReadOrderPair(benchmark::State &run)
{
    OrderLedger ledger;
    OrderRecord record;
    record.id = {writer, 1};
    record.order.dataCentre = DataCentre("ke-central-a");
    record.order.fencing = 7;
    const auto applyNext = [&](OrderRecordKind kind, std::string id) {
        record.kind = kind;
        record.order.id = std::move(id);
        const std::string text = encodeOrderRecord(record);
        benchmark::DoNotOptimize(ledger.apply(ledger.nextOffset(), decodeOrderRecord(text).value()));
    };
    for (int i = 0; i < run.range(0); ++i) {
        applyNext(OrderRecordKind::Intent, "open-" + std::to_string(i));
    }
    for (auto step : run) {
        const std::string id = "order-" + std::to_string(ledger.nextOffset());
        applyNext(OrderRecordKind::Intent, id);
        applyNext(OrderRecordKind::Outcome, id);
    }
}

/** Heartbeats of as many peers as the argument says. */
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

/** The check for silent members, with as many peers as the argument says. */
void advanceMembership(benchmark::State &run)
{
    Membership membership({writer, 1, MemberState::Serving, {"10.0.0.1", 7000}, DataCentre("ke-central-a")}, {});
    for (int i = 0; i < run.range(0); ++i) {
        const Incarnation peer{InstanceId("peer-" + std::to_string(i)), 1};
        const Endpoint address{"10.0.1.1", static_cast<std::uint16_t>(7000 + i)};
        membership.apply({peer, 1, MemberState::Serving, address, DataCentre("ke-central-a")}, start);
    }
    for (auto step : run) {
        membership.advance(start);
    }
}

BENCHMARK(readLeaseRenewal)->Arg(3)->Arg(21)->Arg(63);
BENCHMARK(writeAndReadClaim)->Arg(1000)->Arg(10000)->Arg(100000);
BENCHMARK(writeAndReadUsageBatch)->Arg(7)->Arg(69)->Arg(690);
BENCHMARK(writeAndReadOrderPair)->Arg(0)->Arg(10)->Arg(100);
BENCHMARK(applyHeartbeat)->Arg(4)->Arg(41)->Arg(870);
BENCHMARK(advanceMembership)->Arg(4)->Arg(41)->Arg(870);

} // namespace
