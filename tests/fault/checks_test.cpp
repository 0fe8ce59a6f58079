#include "checks.h"

#include "callerfixture.h"

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace flamingosaddle::test;

namespace
{

std::string wholeAnswer()
{
    std::string answer = "HTTP/1.1 200 OK\r\n\r\n";
    for (int i = 0; i < answerTokens; ++i) {
        answer += "data: {\"content\":\"t" + std::to_string(i) + "\"}\n\n";
    }
    return answer + "data: [DONE]\n\n\r\n0\r\n\r\n";
}

CellRecord goodRecord()
{
    CellRecord record;
    record.runs.resize(1);
    record.runsAtAnswer = 1;
    record.answer = wholeAnswer();
    return record;
}

using Forgery = std::function<void(CellRecord &)>;

const std::vector<std::pair<std::string, Forgery>> &forgeries()
{
    static const std::vector<std::pair<std::string, Forgery>> all = {
        {"the request did not end",
            [](CellRecord &record) {
                record.ended = false;
            }},
        {"a non-idempotent request ran more than once",
            [](CellRecord &record) {
                record.runs.resize(2);
            }},
        {"a request that ran was refused as not run",
            [](CellRecord &record) {
                record.answer = "HTTP/1.1 503 x\r\nX-Flamingosaddle-Run-State: not-run\r\n\r\n";
            }},
        {"a wrong or broken answer looks like a whole one",
            [](CellRecord &record) {
                record.answer.replace(record.answer.find("t1"), 2, "t0");
            }},
        {"a wrong or broken answer looks like a whole one",
            [](CellRecord &record) {
                record.answer.erase(record.answer.find("data: [DONE]"), 12);
            }},
        {"the answer is neither a stream nor an error",
            [](CellRecord &record) {
                record.answer = "HTTP/1.1 302 x\r\n\r\n";
            }},
        {"an engine saw the caller's key",
            [](CellRecord &record) {
                record.runs[0].headers.add("X-Other", std::string("Bearer ") + validKey);
            }},
        {"an engine saw the caller's key",
            [](CellRecord &record) {
                record.runs[0].body = validKey;
            }},
        {"the gate holds a request that has ended",
            [](CellRecord &record) {
                record.held = 1;
            }},
        {"a withdrawn key's request completed",
            [](CellRecord &record) {
                record.withdrawn = true;
            }},
    };
    return all;
}

} // namespace

TEST(FaultChecks, AGoodRecordPasses)
{
    EXPECT_EQ(violations(goodRecord()), std::vector<std::string>());
}

TEST(FaultChecks, EachForgedViolationIsFound)
{
    for (const auto &[expected, forge] : forgeries()) {
        CellRecord record = goodRecord();
        forge(record);
        EXPECT_EQ(violations(record), std::vector<std::string>{expected});
    }
}
