#include "fakes.h"

#include <flamingosaddle/cli/changefile.h>
#include <flamingosaddle/cli/submission.h>

#include <gtest/gtest.h>

using namespace flamingosaddle;

namespace
{

std::vector<ConfigChange> changes(const std::string &text, const std::string &kind, const std::string &id)
{
    return readValues(text, kind, ChangeOrigin{ChangeId(id), "me"}).value();
}

ConfigState stateWith(const std::vector<ConfigChange> &applied)
{
    ConfigState state;
    for (const ConfigChange &change : applied) {
        state.apply(state.nextOffset(), change);
    }
    return state;
}

const ConfigChange publishedTemplate = changes(templateText, "putTemplate", "t").front();
const ConfigChange createdAccount = changes(accountText, "putClientAccount", "a").front();

} // namespace

TEST(PlanChanges, ChecksEachChangeWithTheEarlierOnesApplied)
{
    const auto plan = planChanges(ConfigState(), {publishedTemplate, createdAccount}, RevisionRule::AsWritten, std::nullopt);
    EXPECT_EQ(plan[0].stage, SubmissionStage::Planned);
    EXPECT_EQ(plan[1].stage, SubmissionStage::Planned) << plan[1].detail;
}

TEST(PlanChanges, AppendsNothingWhenOneChangeIsInvalid)
{
    const auto plan = planChanges(ConfigState(), {createdAccount, publishedTemplate}, RevisionRule::AsWritten, std::nullopt);
    EXPECT_EQ(plan[0].stage, SubmissionStage::Invalid);
    EXPECT_FALSE(plan[0].detail.empty());
    EXPECT_EQ(plan[1].stage, SubmissionStage::NotAppended);
    EXPECT_EQ(exitCodeOf(plan), ExitCode::Invalid);
}

TEST(PlanChanges, GivesAKnownChangeItsOutcome)
{
    const auto plan = planChanges(stateWith({publishedTemplate}), {publishedTemplate}, RevisionRule::AsWritten, std::nullopt);
    EXPECT_EQ(plan[0].stage, SubmissionStage::Accepted);
    EXPECT_EQ(plan[0].offset, 0U);
}

TEST(PlanChanges, TakesTheRevisionThatTheRuleNames)
{
    const ConfigState state = stateWith({publishedTemplate, createdAccount});
    const auto again = changes(accountText, "putClientAccount", "b");
    EXPECT_EQ(planChanges(state, again, RevisionRule::MustBeNew, std::nullopt)[0].stage, SubmissionStage::Conflict);
    const auto inForce = planChanges(state, again, RevisionRule::InForce, std::nullopt);
    EXPECT_EQ(inForce[0].stage, SubmissionStage::Planned);
    EXPECT_EQ(inForce[0].change.expectedRevision, 2U);
    EXPECT_EQ(planChanges(state, again, RevisionRule::InForce, 1)[0].stage, SubmissionStage::Conflict);
    const ConfigState templateOnly = stateWith({publishedTemplate});
    EXPECT_EQ(planChanges(templateOnly, again, RevisionRule::InForce, std::nullopt)[0].stage, SubmissionStage::Invalid);
}

TEST(ExitCodes, AreThoseOfTheGravestOutcome)
{
    const auto of = [](const std::vector<SubmissionStage> &stages) {
        std::vector<Submission> list;
        list.reserve(stages.size());
        for (const SubmissionStage stage : stages) {
            list.push_back({publishedTemplate, stage, std::nullopt, ""});
        }
        return exitCodeOf(list);
    };
    using Stage = SubmissionStage;
    EXPECT_EQ(of({Stage::Accepted, Stage::Valid, Stage::Appended}), ExitCode::Accepted);
    EXPECT_EQ(of({Stage::Accepted, Stage::NotAppended}), ExitCode::Unreachable);
    EXPECT_EQ(of({Stage::NotAppended, Stage::Unknown}), ExitCode::Unknown);
    EXPECT_EQ(of({Stage::Unknown, Stage::Conflict}), ExitCode::Conflict);
    EXPECT_EQ(of({Stage::Conflict, Stage::Invalid}), ExitCode::Invalid);
}
