#include "checks.h"

#include "callerfixture.h"

namespace flamingosaddle::test
{

namespace
{

bool has(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

std::string contentIn(const std::string &answer)
{
    std::string content;
    constexpr std::string_view before = "\"content\":\"";
    for (std::size_t at = answer.find(before); at != std::string::npos; at = answer.find(before, at + 1)) {
        const std::size_t start = at + before.size();
        content += answer.substr(start, answer.find('"', start) - start);
    }
    return content;
}

bool isRight(const std::string &answer)
{
    std::string expected;
    for (int i = 0; i < responseTokens; ++i) {
        expected += "t" + std::to_string(i);
    }
    return contentIn(answer) == expected && has(answer, "data: [DONE]") && answer.ends_with("0\r\n\r\n")
        && !has(answer, "\"error\"");
}

bool showsKey(const HttpRequest &request)
{
    bool shown = has(request.body, validKey) || has(request.target, validKey);
    for (const HttpHeader &field : request.headers.fields()) {
        shown = shown || has(field.value, validKey);
    }
    return shown;
}

} // namespace

bool looksComplete(const std::string &answer)
{
    return statusOf(answer) == 200 && (has(answer, "data: [DONE]") || answer.ends_with("0\r\n\r\n"));
}

std::vector<std::string> violations(const CellObservation &record)
{
    std::vector<std::string> found;
    const auto check = [&found](bool holds, const char *violation) {
        if (!holds) {
            found.emplace_back(violation);
        }
    };
    check(record.ended, "the request did not end");
    check(record.idempotent || record.runs.size() <= 1, "a non-idempotent request ran more than once");
    check(!has(record.response, "X-Flamingosaddle-Run-State: not-run") || record.runsAtResponse == 0,
        "a request that ran was refused as not run");
    check(!looksComplete(record.response) || isRight(record.response), "a wrong or broken answer looks like a whole one");
    const int status = statusOf(record.response);
    check(status == 0 || status == 200 || status >= 400, "the answer is neither a stream nor an error");
    bool keyShown = false;
    for (const HttpRequest &request : record.runs) {
        keyShown = keyShown || showsKey(request);
    }
    check(!keyShown, "an engine saw the caller's key");
    check(record.unreleasedRequests == 0, "the gate holds a request that has ended");
    check(!record.withdrawn || !looksComplete(record.response), "a withdrawn key's request completed");
    return found;
}

} // namespace flamingosaddle::test
