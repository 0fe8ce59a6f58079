#include "checkers.h"

#include "generation.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace flamingosaddle::process
{

namespace
{

bool isRepeatable(const Json &run)
{
    const std::string method = run.at("method");
    return method == "GET" || method == "HEAD" || run.at("target").get<std::string>().starts_with("/v1/");
}

/**
 * Sees fencing numbers in the order of arrival and finds those that two processes used or that came too late.
 */
class EpochOrder
{
public:
    Violations see(std::uint64_t epoch, const std::string &holder, const std::string &what)
    {
        Violations violations;
        const std::string &first = this->holders.emplace(epoch, holder).first->second;
        if (first != holder) {
            violations.push_back(what + ": epoch " + std::to_string(epoch) + " used by " + first + " and " + holder);
        }
        if (epoch < this->newest) {
            violations.push_back(what + ": epoch " + std::to_string(epoch) + " after " + std::to_string(this->newest));
        }
        this->newest = std::max(this->newest, epoch);
        return violations;
    }

private:
    std::map<std::uint64_t, std::string> holders;
    std::uint64_t newest = 0;
};

void append(Violations &violations, const Violations &more)
{
    violations.insert(violations.end(), more.begin(), more.end());
}

Violations compareText(const standins::GenerationRequest &request, const std::string &text)
{
    const std::string expected = standins::answerText(request.mark, 0, request.maxTokens);
    if (text == expected) {
        return {};
    }
    return {"expected " + std::to_string(expected.size()) + " bytes of " + request.mark + ", got " + std::to_string(text.size())
        + " bytes: " + text.substr(0, 80)};
}

} // namespace

Violations checkRunAtMostOnce(const std::vector<Json> &backendAudits)
{
    std::map<std::string, unsigned> runs;
    for (const Json &audit : backendAudits) {
        for (const Json &run : audit.at("runs")) {
            if (run.at("end") == "notRun" || isRepeatable(run)) {
                continue;
            }
            ++runs["request id " + run.at("requestId").get<std::string>()];
            const std::string idempotencyKey = run.at("idempotencyKey");
            if (!idempotencyKey.empty()) {
                ++runs["idempotency key " + idempotencyKey];
            }
        }
    }
    Violations violations;
    for (const auto &[name, count] : runs) {
        if (count > 1) {
            violations.push_back(name + " ran " + std::to_string(count) + " times");
        }
    }
    return violations;
}

Violations checkNotRun(const std::vector<Json> &backendAudits, const std::vector<std::string> &requestIds)
{
    const std::set<std::string> refused(requestIds.begin(), requestIds.end());
    Violations violations;
    if (refused.contains("")) {
        violations.emplace_back("a refusal has no request id");
    }
    for (const Json &audit : backendAudits) {
        for (const Json &run : audit.at("runs")) {
            const std::string requestId = run.at("requestId");
            if (run.at("end") != "notRun" && !requestId.empty() && refused.contains(requestId)) {
                violations.push_back("request id " + requestId + " was refused as not run and ran");
            }
        }
    }
    return violations;
}

Violations checkLost(const std::vector<Json> &backendAudits, const std::vector<std::string> &names)
{
    Violations violations;
    for (const std::string &name : names) {
        const std::string quoted = '"' + name + '"';
        for (const Json &audit : backendAudits) {
            for (const Json &run : audit.at("runs")) {
                const bool hasName = run.at("target").get<std::string>().ends_with('/' + name)
                    || run.at("body").get<std::string>().find(quoted) != std::string::npos;
                if (hasName && run.at("end") != "notRun") {
                    violations.push_back("request " + name + " ran, and its connection was closed without an answer");
                }
            }
        }
    }
    return violations;
}

Violations checkNoKeySeen(const std::vector<Json> &backendAudits, const std::vector<std::string> &keys)
{
    Violations violations;
    for (const Json &audit : backendAudits) {
        for (const Json &run : audit.at("runs")) {
            const std::string received = run.dump();
            for (const std::string &key : keys) {
                if (received.find(key) != std::string::npos) {
                    violations.push_back("request " + run.at("requestId").get<std::string>() + " carried a caller's key");
                }
            }
        }
    }
    return violations;
}

Violations checkRateLimit(const Json &backendAudit, double requestsPerSecond, std::chrono::milliseconds from)
{
    constexpr std::chrono::seconds window(4);
    constexpr double toleratedFactor = 1.5;
    constexpr double toleratedExtra = 5.0;
    const double allowed = requestsPerSecond * window.count() * toleratedFactor + toleratedExtra;
    std::vector<std::int64_t> arrivals;
    for (const Json &run : backendAudit.at("runs")) {
        if (run.at("arrivalMs").get<std::int64_t>() >= from.count()) {
            arrivals.push_back(run.at("arrivalMs"));
        }
    }
    std::sort(arrivals.begin(), arrivals.end());
    Violations violations;
    std::size_t first = 0;
    std::size_t most = 0;
    for (std::size_t last = 0; last < arrivals.size(); ++last) {
        while (arrivals[last] - arrivals[first] >= std::chrono::milliseconds(window).count()) {
            ++first;
        }
        most = std::max(most, last + 1 - first);
    }
    if (static_cast<double>(most) > allowed) {
        violations.push_back("a server with a limit of " + std::to_string(requestsPerSecond) + " a second got "
            + std::to_string(most) + " requests in " + std::to_string(window.count()) + " s, allowed " + std::to_string(allowed));
    }
    return violations;
}

Violations checkArrivals(const Json &backendAudit, std::chrono::milliseconds from, std::size_t allowed)
{
    const Json &runs = backendAudit.at("runs");
    const auto late = std::count_if(runs.begin(), runs.end(), [from](const Json &run) {
        return run.at("arrivalMs").get<std::int64_t>() >= from.count();
    });
    if (static_cast<std::size_t>(late) <= allowed) {
        return {};
    }
    return {"a server got " + std::to_string(late) + " requests when it wanted at most " + std::to_string(allowed)};
}

Violations checkStreamVersions(const Json &firstAudit, const Json &secondAudit)
{
    constexpr const char *resumeField = "\"flamingosaddle_resume_tokens\":";
    struct Part {
        std::int64_t arrival;
        int engine;
        bool resumes;
    };
    std::map<std::string, std::vector<Part>> requests;
    int engine = 0;
    for (const Json *audit : {&firstAudit, &secondAudit}) {
        ++engine;
        for (const Json &run : audit->at("runs")) {
            if (run.at("tokens") > 0) {
                const bool resumes = run.at("body").get<std::string>().find(resumeField) != std::string::npos;
                requests[run.at("requestId")].push_back({run.at("arrivalMs"), engine, resumes});
            }
        }
    }
    Violations violations;
    for (auto &[request, parts] : requests) {
        std::sort(parts.begin(), parts.end(), [](const Part &left, const Part &right) {
            return left.arrival < right.arrival;
        });
        for (std::size_t i = 1; i < parts.size(); ++i) {
            if (parts[i].resumes && parts[i].engine != parts[i - 1].engine) {
                violations.push_back("request " + request + " went on at another software version");
            }
        }
    }
    return violations;
}

StreamedAnswer parseStream(const std::string &body)
{
    StreamedAnswer answer;
    std::istringstream lines(body);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.starts_with("data: ")) {
            continue;
        }
        if (line == "data: [DONE]") {
            answer.done = true;
            continue;
        }
        const Json event = Json::parse(line.substr(6), nullptr, false);
        for (const Json &choice : event.value("choices", Json::array())) {
            answer.text += choice.value("text", "") + choice.value("delta", Json::object()).value("content", "");
        }
    }
    return answer;
}

Violations checkStreamedAnswer(const std::string &path, const std::string &request, const std::string &body)
{
    const StreamedAnswer answer = parseStream(body);
    Violations violations = compareText(standins::parseGenerationRequest(path, request), answer.text);
    if (!answer.done) {
        violations.emplace_back("the stream has no end mark");
    }
    return violations;
}

Violations checkPlainAnswer(const std::string &path, const std::string &request, const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("choices")) {
        return {"not a completion: " + body.substr(0, 80)};
    }
    const Json &choice = json.at("choices").at(0);
    const std::string text = choice.value("text", "") + choice.value("message", Json::object()).value("content", "");
    return compareText(standins::parseGenerationRequest(path, request), text);
}

Violations checkOrders(const Json &orders)
{
    Violations violations;
    std::map<std::string, EpochOrder> epochs;
    for (const Json &order : orders) {
        if (order.at("outcome") == "applied") {
            const std::string service = order.at("service");
            append(violations, epochs[service].see(order.at("epoch"), order.at("holder"), "order for " + service));
        }
    }
    return violations;
}

Violations checkUsageReports(const Json &reports)
{
    Violations violations;
    EpochOrder epochs;
    std::map<std::uint64_t, Json> windows;
    for (const Json &report : reports) {
        if (report.at("outcome") != "applied") {
            continue;
        }
        const std::uint64_t number = report.at("window");
        const std::string window = "window " + std::to_string(number);
        append(violations, epochs.see(report.at("epoch"), report.at("holder"), window));
        if (windows.emplace(number, report.at("counts")).first->second != report.at("counts")) {
            violations.push_back(window + " reported with different counts");
        }
    }
    return violations;
}

} // namespace flamingosaddle::process
