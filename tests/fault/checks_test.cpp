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
    for (int i = 0; i < responseTokens; ++i) {
        answer += "data: {\"content\":\"t" + std::to_string(i) + "\"}\n\n";
    }
    return answer + "data: [DONE]\n\n\r\n0\r\n\r\n";
}

CellObservation goodRecord()
{
    CellObservation record;
    record.runs.resize(1);
    record.runsAtResponse = 1;
    record.response = wholeAnswer();
    return record;
}

using Forgery = std::function<void(CellObservation &)>;

const std::vector<std::pair<std::string, Forgery>> &forgeries()
{
    static const std::vector<std::pair<std::string, Forgery>> all = {
        {"the request did not end",
            [](CellObservation &record) {
                record.ended = false;
            }},
        {"a non-idempotent request ran more than once",
            [](CellObservation &record) {
                record.runs.resize(2);
            }},
        {"a request that ran was refused as not run",
            [](CellObservation &record) {
                record.response = "HTTP/1.1 503 x\r\nX-Flamingosaddle-Run-State: not-run\r\n\r\n";
            }},
        {"a wrong or broken answer looks like a whole one",
            [](CellObservation &record) {
                record.response.replace(record.response.find("t1"), 2, "t0");
            }},
        {"a wrong or broken answer looks like a whole one",
            [](CellObservation &record) {
                record.response.erase(record.response.find("data: [DONE]"), 12);
            }},
        {"the answer is neither a stream nor an error",
            [](CellObservation &record) {
                record.response = "HTTP/1.1 302 x\r\n\r\n";
            }},
        {"an engine saw the caller's key",
            [](CellObservation &record) {
                record.runs[0].headers.add("X-Other", std::string("Bearer ") + validKey);
            }},
        {"an engine saw the caller's key",
            [](CellObservation &record) {
                record.runs[0].body = validKey;
            }},
        {"the gate holds a request that has ended",
            [](CellObservation &record) {
                record.unreleasedRequests = 1;
            }},
        {"a withdrawn key's request completed",
            [](CellObservation &record) {
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
        CellObservation record = goodRecord();
        forge(record);
        EXPECT_EQ(violations(record), std::vector<std::string>{expected});
    }
}
