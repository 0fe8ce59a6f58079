#include "configsamples.h"

#include <flamingosaddle/state/claimtable.h>
#include <flamingosaddle/state/leadership.h>
#include <flamingosaddle/state/usageaggregator.h>

#include <gtest/gtest.h>

using namespace flamingosaddle;

namespace
{

const RecordId recordId{{InstanceId("i1"), 1}, 7};

std::uint64_t anyBelow(std::uint64_t end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint64_t>(0, end));
}

/** Repositions up to three parts of @p text: bytes by a digit, JSON character or arbitrary byte, or removes a range. */
std::string damaged(std::string text)
{
    const std::string jsonCharacters = "0123456789{}[],:\"-e.";
    for (std::uint64_t edits = anyBelow(4); edits > 0 && !text.empty(); --edits) {
        const std::uint64_t position = anyBelow(text.size());
        switch (anyBelow(4)) {
        case 0:
            text[position] = static_cast<char>(anyBelow(256));
            break;
        case 1:
            text.erase(position, anyBelow(20));
            break;
        default:
            text[position] = jsonCharacters[anyBelow(jsonCharacters.size())];
            break;
        }
    }
    return text;
}

/** Calls @p use with many damaged variants of @p text. Errors show up as crashes or sanitizer reports. */
template <typename Use>
void fuzz(const std::string &text, Use use)
{
    EXPECT_TRUE(rc::check("damaged text", [&] {
        for (int i = 0; i < 20; ++i) {
            use(damaged(text));
        }
    }));
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
    record.windows.push_back({3600, {{ClientAccountId("a0"), 1, TokenCounts{2, 3}}}});
    record.completeBefore = 3600;
    return record;
}

} // namespace

TEST(RecordFuzz, Leadership)
{
    Leadership leadership(recordId.writer, LeadershipTiming());
    std::uint64_t offset = 0;
    fuzz(encodeLeadershipRecord({recordId, 3, false}), [&](const std::string &text) {
        const auto record = decodeLeadershipRecord(text);
        if (record.has_value()) {
            leadership.apply(record.value(), offset++, TimePoint{});
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
    UsageAggregator aggregator;
    fuzz(encodeUsageRecord(usageRecord()), [&aggregator](const std::string &text) {
        const auto record = decodeUsageRecord(text);
        if (record.has_value()) {
            aggregator.apply(record.value());
            (void)aggregator.countsOf(3600);
            (void)aggregator.isComplete(3600);
        }
    });
    fuzz(encodeFinalizedWindow({usageRecord().windows.front(), 3600}), [](const std::string &text) {
        (void)decodeFinalizedWindow(text);
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
                restored.value().findResult(result.id);
            }
        }
    });
}
