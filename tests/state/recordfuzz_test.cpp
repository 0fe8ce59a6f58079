#include "configsamples.h"

#include <flamingosaddle/state/claimstate.h>
#include <flamingosaddle/state/leasestate.h>
#include <flamingosaddle/state/orderledger.h>
#include <flamingosaddle/state/usageledger.h>

#include <gtest/gtest.h>

using namespace flamingosaddle;

namespace
{

const RecordId recordId{{InstanceId("i1"), 1}, 7};

std::uint64_t anyBelow(std::uint64_t end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint64_t>(0, end));
}

/** A digit, a sign of JSON or any byte in place of a few bytes, or a part cut out. */
std::string damaged(std::string text)
{
    const std::string likely = "0123456789{}[],:\"-e.";
    for (std::uint64_t damages = anyBelow(4); damages > 0 && !text.empty(); --damages) {
        const std::uint64_t place = anyBelow(text.size());
        switch (anyBelow(4)) {
        case 0:
            text[place] = static_cast<char>(anyBelow(256));
            break;
        case 1:
            text.erase(place, anyBelow(20));
            break;
        default:
            text[place] = likely[anyBelow(likely.size())];
            break;
        }
    }
    return text;
}

/** Runs @p use on many damaged forms of @p text; a fault shows as a crash or under a sanitizer. */
template <typename Use>
void fuzz(const std::string &text, Use use)
{
    EXPECT_TRUE(rc::check("damaged text", [&] {
        for (int i = 0; i < 20; ++i) {
            use(damaged(text));
        }
    }));
}

LeaseRecord leaseRecord()
{
    LeaseRecord record;
    record.id = recordId;
    record.role = Role("usage");
    record.duration = std::chrono::seconds(10);
    return record;
}

ClaimRecord claimRecord()
{
    ClaimRecord record;
    record.id = recordId;
    record.key = {ClientAccountId("a0"), 77};
    record.writtenAt = std::chrono::seconds(1000);
    return record;
}

UsageRecord usageRecord()
{
    UsageRecord record;
    record.id = recordId;
    record.counts.push_back({ClientAccountId("a0"), 3600, {1, 2, 3}});
    return record;
}

OrderRecord orderRecord()
{
    OrderRecord record;
    record.id = recordId;
    record.order.id = "o1";
    record.order.dataCentre = DataCentre("d0");
    return record;
}

} // namespace

TEST(RecordFuzz, Leases)
{
    LeaseTable table;
    table.apply(0, leaseRecord(), TimePoint{});
    fuzz(encodeLeaseRecord(leaseRecord()), [&table](const std::string &text) {
        const auto record = decodeLeaseRecord(text);
        if (record.has_value()) {
            table.apply(table.nextOffset(), record.value(), TimePoint{});
        }
    });
    fuzz(encodeLeaseSnapshot(table), [](const std::string &text) {
        auto restored = decodeLeaseSnapshot(text, {}, TimePoint{});
        if (restored.has_value()) {
            restored.value().apply(restored.value().nextOffset(), leaseRecord(), TimePoint{});
            restored.value().mayClaim(Role("usage"), TimePoint{});
        }
    });
}

TEST(RecordFuzz, Claims)
{
    ClaimTable table;
    table.apply(0, claimRecord());
    fuzz(encodeClaimRecord(claimRecord()), [&table](const std::string &text) {
        const auto record = decodeClaimRecord(text);
        if (record.has_value()) {
            table.apply(table.nextOffset(), record.value());
        }
    });
    fuzz(encodeClaimSnapshot(table), [](const std::string &text) {
        auto restored = decodeClaimSnapshot(text, {});
        if (restored.has_value()) {
            restored.value().apply(restored.value().nextOffset(), claimRecord());
            RC_ASSERT(restored.value().claims().size() == restored.value().size());
        }
    });
}

TEST(RecordFuzz, Usage)
{
    UsageLedger ledger{std::chrono::hours(1)};
    ledger.apply(0, usageRecord());
    fuzz(encodeUsageRecord(usageRecord()), [&ledger](const std::string &text) {
        const auto record = decodeUsageRecord(text);
        if (record.has_value()) {
            ledger.apply(ledger.nextOffset(), record.value());
        }
    });
    fuzz(encodeUsageSnapshot(ledger), [](const std::string &text) {
        auto restored = decodeUsageSnapshot(text);
        if (restored.has_value()) {
            restored.value().apply(restored.value().nextOffset(), usageRecord());
            restored.value().pendingReports();
        }
    });
}

TEST(RecordFuzz, Orders)
{
    OrderLedger ledger;
    ledger.apply(0, orderRecord());
    fuzz(encodeOrderRecord(orderRecord()), [&ledger](const std::string &text) {
        const auto record = decodeOrderRecord(text);
        if (record.has_value()) {
            ledger.apply(ledger.nextOffset(), record.value());
        }
    });
    fuzz(encodeOrderSnapshot(ledger), [](const std::string &text) {
        auto restored = decodeOrderSnapshot(text);
        if (restored.has_value()) {
            restored.value().apply(restored.value().nextOffset(), orderRecord());
            restored.value().maySend("o1", 0);
        }
    });
}

TEST(RecordFuzz, ConfigurationSnapshots)
{
    ConfigState state = samples::replay({samples::change("t", PutTemplate{samples::chatTemplate()}),
        samples::change("a", PutClientAccount{samples::clientAccount()}), samples::change("k", GiveKey{samples::clientKey()}),
        samples::change("s", PutBackendServer{samples::backendServer()}), samples::change("w", WithdrawKey{KeyId("k1")})});
    fuzz(encodeConfigSnapshot(state), [](const std::string &text) {
        auto restored = decodeConfigSnapshot(text);
        if (restored.has_value()) {
            const std::uint64_t next = restored.value().nextOffset();
            restored.value().apply(next, samples::change("c", RemoveClientAccount{ClientAccountId("a0")}));
            restored.value().classesOf(ClientAccountId("a0"));
            for (const ChangeResult &result : restored.value().history()) {
                restored.value().resultOf(result.id);
            }
        }
    });
}
