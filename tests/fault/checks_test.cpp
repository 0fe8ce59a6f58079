#include "checks.h"

#include "callerfixture.h"

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace flamingosaddle::test;

namespace
{

std::string completeResponse()
{
    std::string response = "HTTP/1.1 200 OK\r\n\r\n";
    for (int i = 0; i < responseTokens; ++i) {
        response += "data: {\"content\":\"t" + std::to_string(i) + "\"}\n\n";
    }
    return response + "data: [DONE]\n\n\r\n0\r\n\r\n";
}

CellObservation validObservation()
{
    CellObservation observation;
    observation.runs.resize(1);
    observation.runsAtResponse = 1;
    observation.response = completeResponse();
    return observation;
}

using Mutation = std::function<void(CellObservation &)>;

const std::vector<std::pair<std::string, Mutation>> &violationCases()
{
    static const std::vector<std::pair<std::string, Mutation>> all = {
        {"the request did not end",
            [](CellObservation &observation) {
                observation.ended = false;
            }},
        {"a non-idempotent request ran more than once",
            [](CellObservation &observation) {
                observation.runs.resize(2);
            }},
        {"a request that ran was refused as not run",
            [](CellObservation &observation) {
                observation.response = "HTTP/1.1 503 x\r\nX-Flamingosaddle-Run-State: not-run\r\n\r\n";
            }},
        {"an incorrect response looks complete",
            [](CellObservation &observation) {
                observation.response.replace(observation.response.find("t1"), 2, "t0");
            }},
        {"an incorrect response looks complete",
            [](CellObservation &observation) {
                observation.response.erase(observation.response.find("data: [DONE]"), 12);
            }},
        {"the response is neither a stream nor an error",
            [](CellObservation &observation) {
                observation.response = "HTTP/1.1 302 x\r\n\r\n";
            }},
        {"an engine saw the caller's key",
            [](CellObservation &observation) {
                observation.runs[0].headers.add("X-Other", std::string("Bearer ") + validKey);
            }},
        {"an engine saw the caller's key",
            [](CellObservation &observation) {
                observation.runs[0].body = validKey;
            }},
        {"the gate still holds a request that has ended",
            [](CellObservation &observation) {
                observation.unreleasedRequests = 1;
            }},
        {"a withdrawn key's request completed",
            [](CellObservation &observation) {
                observation.withdrawn = true;
            }},
    };
    return all;
}

} // namespace

TEST(FaultChecks, AValidObservationHasNoViolations)
{
    EXPECT_EQ(violations(validObservation()), std::vector<std::string>());
}

TEST(FaultChecks, EachKindOfViolationIsDetected)
{
    for (const auto &[expected, mutate] : violationCases()) {
        CellObservation observation = validObservation();
        mutate(observation);
        EXPECT_EQ(violations(observation), std::vector<std::string>{expected});
    }
}
