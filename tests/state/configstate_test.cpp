#include "configsamples.h"

#include <gtest/gtest.h>

using namespace flamingosaddle;
using samples::change;

namespace
{

class ConfigStateTest : public testing::Test
{
protected:
    ChangeOutcome apply(const ConfigChange &record)
    {
        this->last = this->state.apply(this->state.nextOffset(), record);
        return this->last.outcome;
    }

    void SetUp() override
    {
        this->apply(change("t", PutTemplate{samples::chatTemplate()}));
        this->apply(change("a", PutClientAccount{samples::clientAccount()}));
    }

    ConfigState state;
    ChangeResult last;
};

/**
 * Applies @p log as a reader that receives some earlier records again, in any order, and sometimes restarts from a snapshot.
 */
ConfigState replayWithRepetitionsAndRestarts(const std::vector<ConfigChange> &log)
{
    ConfigState state;
    for (std::uint64_t offset = 0; offset < log.size(); ++offset) {
        const auto repeated = *rc::gen::inRange<std::uint64_t>(0, offset + 1);
        state.apply(offset, log[offset]);
        state.apply(repeated, log[repeated]);
        if (*rc::gen::inRange(0, 4) == 0) {
            state = decodeConfigSnapshot(encodeConfigSnapshot(state)).value();
        }
    }
    return state;
}

} // namespace

TEST_F(ConfigStateTest, OfTwoRacingChangesExactlyOneIsAccepted)
{
    const std::uint64_t revision = this->state.findClientAccount(ClientAccountId("a0"))->revision;
    ClientAccount first = samples::clientAccount();
    first.share = 2.0;
    ClientAccount second = samples::clientAccount();
    second.share = 3.0;
    EXPECT_EQ(this->apply(change("c1", PutClientAccount{first}, revision)), ChangeOutcome::Accepted);
    EXPECT_EQ(this->apply(change("c2", PutClientAccount{second}, revision)), ChangeOutcome::Conflict);
    EXPECT_NE(this->last.detail.find("read the object again"), std::string::npos);
    EXPECT_EQ(this->state.findClientAccount(ClientAccountId("a0"))->value, first);
}

TEST_F(ConfigStateTest, AnObjectSetByTheFirstRecordHasANonzeroRevision)
{
    ConfigState fresh;
    fresh.apply(0, change("r", PutRoute{samples::route()}, 0));
    EXPECT_EQ(fresh.findRoute(RouteId("r0"))->revision, 1U);
    EXPECT_EQ(fresh.apply(1, change("r2", PutRoute{samples::route()}, 0)).outcome, ChangeOutcome::Conflict);
}

TEST_F(ConfigStateTest, ARepeatedChangeKeepsItsFirstOutcome)
{
    const ConfigChange put = change("c1", PutRoute{samples::route()});
    EXPECT_EQ(this->apply(put), ChangeOutcome::Accepted);
    const ChangeResult first = this->last;
    EXPECT_EQ(this->apply(change("c2", RemoveRoute{RouteId("r0")})), ChangeOutcome::Accepted);
    EXPECT_EQ(this->apply(put), ChangeOutcome::Duplicate);
    EXPECT_EQ(this->state.findRoute(RouteId("r0")), nullptr);
    EXPECT_EQ(this->state.findResult(ChangeId("c1")), first);
}

TEST_F(ConfigStateTest, APublishedTemplateVersionNeverChanges)
{
    Template changed = samples::chatTemplate();
    changed.classes.pop_back();
    EXPECT_EQ(this->apply(change("c1", PutTemplate{changed})), ChangeOutcome::Invalid);
    changed.version = 2;
    EXPECT_EQ(this->apply(change("c2", PutTemplate{changed})), ChangeOutcome::Accepted);
    EXPECT_EQ(this->state.findTemplate(TemplateName("chat"), 1)->value, samples::chatTemplate());
}

TEST_F(ConfigStateTest, RefusesReferencesToMissingObjects)
{
    ClientAccount account = samples::clientAccount("a1");
    account.templateVersion = 9;
    EXPECT_EQ(this->apply(change("c1", PutClientAccount{account})), ChangeOutcome::Invalid);
    EXPECT_EQ(this->apply(change("c2", GiveKey{samples::clientKey("k0", "nobody")})), ChangeOutcome::Invalid);
    EXPECT_EQ(this->apply(change("c3", RemoveRoute{RouteId("r9")})), ChangeOutcome::Invalid);
    account = samples::clientAccount("a1");
    account.classes = {{.name = ClassName("other"), .tier = 1}};
    EXPECT_EQ(this->apply(change("c4", PutClientAccount{account})), ChangeOutcome::Invalid);
}

TEST_F(ConfigStateTest, TwoRoutesNeverShareAPathPrefix)
{
    EXPECT_EQ(this->apply(change("c1", PutRoute{samples::route("r0", "/p")})), ChangeOutcome::Accepted);
    EXPECT_EQ(this->apply(change("c2", PutRoute{samples::route("r1", "/p")})), ChangeOutcome::Invalid);
    EXPECT_EQ(this->apply(change("c3", PutRoute{samples::route("r0", "/p")})), ChangeOutcome::Accepted);
}

TEST_F(ConfigStateTest, AKeyWithdrawnBeforeItWasGivenIsNeverGiven)
{
    EXPECT_EQ(this->apply(change("c1", WithdrawKey{KeyId("k0")})), ChangeOutcome::Accepted);
    EXPECT_EQ(this->apply(change("c2", GiveKey{samples::clientKey()})), ChangeOutcome::Invalid);
}

TEST_F(ConfigStateTest, AWithdrawalIgnoresItsExpectedRevision)
{
    EXPECT_EQ(this->apply(change("c1", GiveKey{samples::clientKey()})), ChangeOutcome::Accepted);
    EXPECT_EQ(this->apply(change("c2", WithdrawKey{KeyId("k0")}, 99)), ChangeOutcome::Accepted);
    EXPECT_EQ(this->state.findKey(KeyId("k0")), nullptr);
}

TEST_F(ConfigStateTest, ADigestCannotBeGivenUnderAnotherIdEvenAfterWithdrawal)
{
    ClientKey key = samples::clientKey();
    EXPECT_EQ(this->apply(change("c1", GiveKey{key})), ChangeOutcome::Accepted);
    key.id = KeyId("k1");
    EXPECT_EQ(this->apply(change("c2", GiveKey{key})), ChangeOutcome::Invalid);
    EXPECT_EQ(this->apply(change("c3", WithdrawKey{KeyId("k0")})), ChangeOutcome::Accepted);
    EXPECT_EQ(this->apply(change("c4", GiveKey{key})), ChangeOutcome::Invalid);
}

TEST_F(ConfigStateTest, RemovingAClientAccountWithdrawsItsKeys)
{
    EXPECT_EQ(this->apply(change("c1", GiveKey{samples::clientKey()})), ChangeOutcome::Accepted);
    EXPECT_EQ(this->apply(change("c2", RemoveClientAccount{ClientAccountId("a0")})), ChangeOutcome::Accepted);
    EXPECT_TRUE(this->state.isWithdrawn(KeyId("k0")));
    EXPECT_EQ(this->apply(change("c3", PutClientAccount{samples::clientAccount()})), ChangeOutcome::Accepted);
    EXPECT_EQ(this->apply(change("c4", GiveKey{samples::clientKey()})), ChangeOutcome::Invalid);
}

TEST_F(ConfigStateTest, AppliesOverridesToTheTemplatesClasses)
{
    ClientAccount account = samples::clientAccount();
    account.classes = {{.name = ClassName("batch"), .tier = 2, .floorShare = 0.25, .idempotent = false}};
    EXPECT_EQ(this->apply(change("c1", PutClientAccount{account})), ChangeOutcome::Accepted);
    std::vector<RequestClass> expected = samples::chatTemplate().classes;
    expected[1].tier = 2;
    expected[1].floorShare = 0.25;
    expected[1].idempotent = false;
    EXPECT_EQ(this->state.classesOf(ClientAccountId("a0")), expected);
    EXPECT_TRUE(this->state.classesOf(ClientAccountId("nobody")).empty());
}

TEST_F(ConfigStateTest, RemovesTheOldestResultsFromTheHistoryFirst)
{
    for (std::size_t i = 0; i < ConfigState::maxHistoryEntries; ++i) {
        this->apply(change("c" + std::to_string(i), WithdrawKey{KeyId("k0")}));
    }
    EXPECT_EQ(this->state.history().size(), ConfigState::maxHistoryEntries);
    EXPECT_FALSE(this->state.findResult(ChangeId("t")).has_value());
    EXPECT_TRUE(this->state.findResult(ChangeId("c0")).has_value());
}

TEST(ConfigStateProperties, EveryReaderReachesTheSameState)
{
    EXPECT_TRUE(rc::check("duplicates, restarts from snapshots and old offsets change nothing", [] {
        const std::vector<ConfigChange> log = samples::anyLog();
        RC_ASSERT(replayWithRepetitionsAndRestarts(log) == samples::replay(log));
    }));
}

TEST(ConfigStateProperties, ASnapshotOfAnyPrefixAndTheTailEqualTheWholeLog)
{
    EXPECT_TRUE(rc::check("snapshot + tail", [] {
        const std::vector<ConfigChange> log = samples::anyLog();
        const auto cut = *rc::gen::inRange<std::size_t>(0, log.size() + 1);
        const ConfigState before = samples::replay({log.begin(), log.begin() + static_cast<std::ptrdiff_t>(cut)});
        ConfigState state = decodeConfigSnapshot(encodeConfigSnapshot(before)).value();
        RC_ASSERT(state == before);
        for (std::size_t offset = cut; offset < log.size(); ++offset) {
            state.apply(offset, log[offset]);
        }
        RC_ASSERT(state == samples::replay(log));
    }));
}

TEST(ConfigStateProperties, AWithdrawnKeyIsNeverRestoredAndReferencesStayValid)
{
    EXPECT_TRUE(rc::check("after every record", [] {
        ConfigState state;
        std::set<KeyId> withdrawn;
        for (const ConfigChange &record : samples::anyLog()) {
            const std::uint64_t before = state.nextOffset();
            state.apply(before, record);
            RC_ASSERT(state.nextOffset() == before + 1);
            withdrawn.insert(state.withdrawnKeys().begin(), state.withdrawnKeys().end());
            RC_ASSERT(withdrawn == state.withdrawnKeys());
            for (const auto &[id, key] : state.keys()) {
                RC_ASSERT(!withdrawn.contains(id));
                RC_ASSERT(state.findClientAccount(key.value.clientAccount) != nullptr);
            }
            for (const auto &[id, account] : state.clientAccounts()) {
                RC_ASSERT(!state.classesOf(id).empty());
            }
        }
    }));
}
