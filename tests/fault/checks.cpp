#include "checks.h"

#include "callerfixture.h"

namespace flamingosaddle::test
{

namespace
{

bool contains(const std::string &text, std::string_view substring)
{
    return text.find(substring) != std::string::npos;
}

std::string contentOf(const std::string &response)
{
    std::string content;
    constexpr std::string_view before = "\"content\":\"";
    for (std::size_t at = response.find(before); at != std::string::npos; at = response.find(before, at + 1)) {
        const std::size_t start = at + before.size();
        content += response.substr(start, response.find('"', start) - start);
    }
    return content;
}

bool isCorrect(const std::string &response)
{
    std::string expected;
    for (int i = 0; i < responseTokens; ++i) {
        expected += "t" + std::to_string(i);
    }
    return contentOf(response) == expected && contains(response, "data: [DONE]") && response.ends_with("0\r\n\r\n")
        && !contains(response, "\"error\"");
}

bool containsKey(const HttpRequest &request)
{
    bool found = contains(request.body, validKey) || contains(request.target, validKey);
    for (const HttpHeader &field : request.headers.fields()) {
        found = found || contains(field.value, validKey);
    }
    return found;
}

} // namespace

bool looksComplete(const std::string &response)
{
    return statusOf(response) == 200 && (contains(response, "data: [DONE]") || response.ends_with("0\r\n\r\n"));
}

std::vector<std::string> violations(const CellObservation &observation)
{
    std::vector<std::string> found;
    const auto check = [&found](bool holds, const char *violation) {
        if (!holds) {
            found.emplace_back(violation);
        }
    };
    check(observation.ended, "the request did not end");
    check(observation.idempotent || observation.runs.size() <= 1, "a non-idempotent request ran more than once");
    check(!contains(observation.response, "X-Flamingosaddle-Run-State: not-run") || observation.runsAtResponse == 0,
        "a request that ran was refused as not run");
    check(!looksComplete(observation.response) || isCorrect(observation.response), "an incorrect response looks complete");
    const int status = statusOf(observation.response);
    check(status == 0 || status == 200 || status >= 400, "the response is neither a stream nor an error");
    bool keyExposed = false;
    for (const HttpRequest &request : observation.runs) {
        keyExposed = keyExposed || containsKey(request);
    }
    check(!keyExposed, "an engine saw the caller's key");
    check(observation.unreleasedRequests == 0, "the gate still holds a request that has ended");
    check(!observation.withdrawn || !looksComplete(observation.response), "a withdrawn key's request completed");
    return found;
}

} // namespace flamingosaddle::test
