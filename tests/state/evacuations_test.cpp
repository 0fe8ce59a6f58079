// Guards against requests that are sent to an evacuated data centre because a record was applied out of order, read twice or lost
// with a store that was restored, and against data centres that stay without work after they were taken back.

#include <flamingosaddle/state/evacuations.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

using namespace flamingosaddle;
using namespace std::chrono_literals;

namespace
{

const DataCentre a("a");
const DataCentre b("b");
constexpr TimePoint start(100s);

EvacuationRecords recordsOf(std::vector<EvacuationChange> changes)
{
    return {std::move(changes), false, 0, 0};
}

/** The list of newest records, as read at @p nextOffset in a store whose epoch begins at @p epochBegin. */
EvacuationRecords listOf(std::vector<EvacuationChange> changes, std::uint64_t nextOffset, std::uint64_t epochBegin = 0)
{
    return {std::move(changes), true, nextOffset, epochBegin};
}

} // namespace

TEST(Evacuations, ADataCentreIsEvacuatedUntilItIsTakenBack)
{
    Evacuations evacuations;
    EXPECT_EQ(evacuations.apply(recordsOf({{a, true, 3}}), start), (std::vector<DataCentre>{a}));
    EXPECT_EQ(evacuations.states().at(a), (EvacuationState{true, 3, start}));
    EXPECT_EQ(evacuations.apply(recordsOf({{b, true, 4}}), start + 1s), (std::vector<DataCentre>{b}));
    EXPECT_EQ(evacuations.evacuated(), (std::set<DataCentre>{a, b}));
    EXPECT_EQ(evacuations.apply(recordsOf({{a, false, 5}}), start + 2s), (std::vector<DataCentre>{a}));
    EXPECT_EQ(evacuations.states().at(a), (EvacuationState{false, 5, start + 2s}));
    EXPECT_FALSE(evacuations.isEvacuated(a));
    EXPECT_TRUE(evacuations.isEvacuated(b));
}

TEST(Evacuations, TheNewestOfSeveralRecordsInOneReadHolds)
{
    Evacuations evacuations;
    EXPECT_EQ(evacuations.apply(recordsOf({{a, true, 3}, {a, false, 4}, {a, true, 5}}), start), (std::vector<DataCentre>{a}));
    EXPECT_EQ(evacuations.states().at(a), (EvacuationState{true, 5, start}));
    EXPECT_EQ(evacuations.apply(recordsOf({{b, true, 6}, {b, false, 7}}), start), (std::vector<DataCentre>{b}))
        << "the servers may have become cold";
    EXPECT_EQ(evacuations.states().at(b), (EvacuationState{false, 7, start}));
}

TEST(Evacuations, ARepeatedEvacuationHoldsSinceTheFirst)
{
    Evacuations evacuations;
    evacuations.apply(recordsOf({{a, true, 3}}), start);
    evacuations.apply(recordsOf({{a, true, 9}}), start + 5s);
    EXPECT_EQ(evacuations.states().at(a), (EvacuationState{true, 9, start}));
}

TEST(Evacuations, RecordsThatAreReadAgainChangeNothing)
{
    Evacuations evacuations;
    evacuations.apply(recordsOf({{a, true, 3}, {a, false, 4}}), start);
    EXPECT_TRUE(evacuations.apply(recordsOf({{a, true, 3}}), start + 1s).empty());
    EXPECT_FALSE(evacuations.isEvacuated(a));
    evacuations.apply(recordsOf({{a, true, 6}}), start + 1s);
    EXPECT_TRUE(evacuations.apply(recordsOf({{a, false, 4}}), start + 2s).empty());
    EXPECT_TRUE(evacuations.isEvacuated(a));
}

TEST(Evacuations, TakingBackWhatIsNotEvacuatedIsNoReturn)
{
    Evacuations evacuations;
    EXPECT_TRUE(evacuations.apply(recordsOf({{a, false, 3}}), start).empty());
    evacuations.apply(recordsOf({{a, true, 4}, {a, false, 5}}), start);
    EXPECT_TRUE(evacuations.apply(recordsOf({{a, false, 6}}), start).empty());
}

// After the store has forgotten its history, the newest record of each key is read; a key that was dropped is not there.
TEST(Evacuations, AListWithoutADataCentreTakesItBack)
{
    Evacuations evacuations;
    evacuations.apply(recordsOf({{a, true, 3}, {b, true, 4}}), start);
    EXPECT_EQ(evacuations.apply(listOf({{b, true, 4}}, 9), start + 1s), (std::vector<DataCentre>{a}));
    EXPECT_EQ(evacuations.states().at(a), (EvacuationState{false, 8, start + 1s}));
    EXPECT_EQ(evacuations.states().at(b), (EvacuationState{true, 4, start}));
    EXPECT_EQ(evacuations.apply(recordsOf({{a, true, 9}}), start + 2s), (std::vector<DataCentre>{a})) << "the next record";
}

// The pages of a list are no snapshot: a later page may hold a record beyond the end that the first page states, and the reader
// goes on at that end.
TEST(Evacuations, RecordsBeforeAListedOneChangeNothing)
{
    Evacuations evacuations;
    evacuations.apply(listOf({{a, true, 8}}, 5), start);
    EXPECT_TRUE(evacuations.apply(recordsOf({{a, true, 6}, {a, false, 7}, {a, true, 8}}), start).empty());
    EXPECT_TRUE(evacuations.isEvacuated(a));
    EXPECT_EQ(evacuations.apply(recordsOf({{a, false, 9}}), start), (std::vector<DataCentre>{a}));
}

TEST(Evacuations, AnEvacuationThatARestoredStoreLacksHoldsUntilARecordEndsIt)
{
    constexpr std::uint64_t epoch = 1000;
    Evacuations evacuations;
    evacuations.apply(recordsOf({{a, true, 3}}), start);
    EXPECT_TRUE(evacuations.apply(listOf({}, epoch + 2, epoch), start + 1s).empty());
    EXPECT_TRUE(evacuations.isEvacuated(a));
    EXPECT_EQ(evacuations.apply(recordsOf({{a, false, epoch + 2}}), start + 2s), (std::vector<DataCentre>{a}));
    EXPECT_FALSE(evacuations.isEvacuated(a));
}

TEST(Evacuations, AnEvacuationThatARestoredStoreHasEndsWithAListThatLacksIt)
{
    constexpr std::uint64_t epoch = 1000;
    Evacuations evacuations;
    evacuations.apply(recordsOf({{a, true, 3}}), start);
    evacuations.apply(listOf({{a, true, epoch + 1}}, epoch + 2, epoch), start + 1s);
    EXPECT_EQ(evacuations.apply(listOf({}, epoch + 7, epoch), start + 2s), (std::vector<DataCentre>{a}));
}

// Instances read the same log in reads of any length, with repetitions and lists in between, and must agree in the end.
TEST(Evacuations, ReadersAgreeHoweverTheyRead)
{
    std::mt19937 random(1);
    for (int round = 0; round < 300; ++round) {
        std::vector<EvacuationChange> log;
        for (std::uint64_t offset = 1; offset <= 20; ++offset) {
            log.push_back({random() % 2 == 0 ? a : b, random() % 2 == 0, offset});
        }
        Evacuations reader;
        std::size_t next = 0;
        while (next < log.size()) {
            const std::size_t end = std::min(log.size(), next + 1 + random() % 6);
            if (random() % 4 == 0) {
                std::map<DataCentre, EvacuationChange> newest;
                for (std::size_t i = 0; i < end; ++i) {
                    newest.insert_or_assign(log[i].dataCentre, log[i]);
                }
                std::vector<EvacuationChange> listed;
                for (const auto &[dataCentre, change] : newest) {
                    if (change.isEvacuated) {
                        listed.push_back(change);
                    }
                }
                reader.apply(listOf(listed, end + 1), start);
            } else {
                const std::size_t from = next - random() % (next + 1);
                reader.apply(
                    recordsOf({log.begin() + static_cast<std::ptrdiff_t>(from), log.begin() + static_cast<std::ptrdiff_t>(end)}),
                    start);
            }
            next = end;
        }
        for (const DataCentre &dataCentre : {a, b}) {
            const auto last = std::find_if(log.rbegin(), log.rend(), [&dataCentre](const EvacuationChange &change) {
                return change.dataCentre == dataCentre;
            });
            EXPECT_EQ(reader.isEvacuated(dataCentre), last != log.rend() && last->isEvacuated) << "round " << round;
        }
    }
}
