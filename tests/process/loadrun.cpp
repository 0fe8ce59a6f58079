#include "loadrun.h"

#include <algorithm>
#include <array>
#include <limits>
#include <map>

namespace flamingosaddle::process
{

namespace
{

constexpr unsigned streamTokens = 60;
constexpr unsigned plainTokens = 20;
constexpr std::array kinds{LoadKind::StreamedChat, LoadKind::Deposit, LoadKind::PlainChat, LoadKind::Lookup};

HttpRequest requestOf(LoadKind kind, const std::string &name)
{
    switch (kind) {
    case LoadKind::StreamedChat:
        return chatRequest(name, streamTokens, true);
    case LoadKind::PlainChat:
        return chatRequest(name, plainTokens, false);
    case LoadKind::Lookup:
        return getRequest("/catalogue/" + name);
    case LoadKind::Deposit:
        break;
    }
    HttpRequest deposit = postRequest("/deposits/" + name, {{"amount", 250}});
    deposit.headers.set("Idempotency-Key", name);
    return deposit;
}

Violations checkContent(LoadKind kind, const HttpRequest &request, const std::string &body)
{
    switch (kind) {
    case LoadKind::StreamedChat:
        return checkStreamedAnswer(chatPath, request.body, body);
    case LoadKind::PlainChat:
        return checkPlainAnswer(chatPath, request.body, body);
    case LoadKind::Lookup:
    case LoadKind::Deposit:
        break;
    }
    const Json answer = Json::parse(body, nullptr, false);
    const bool isOwn
        = answer.is_object() && answer.value("target", "") == request.target && answer.value("echo", "") == request.body;
    return isOwn ? Violations{} : Violations{"the answer to " + request.target + " is " + body.substr(0, 80)};
}

bool isWhole(const LoadOutcome &outcome)
{
    return outcome.status == 200 && outcome.violations.empty();
}

bool isNotRun(const LoadOutcome &outcome)
{
    return outcome.failure == ErrorKind::Unreachable || (outcome.status >= 400 && outcome.runState == "not-run");
}

} // namespace

LoadRun::LoadRun(const std::deque<DaemonProcess> &daemons, std::string key, unsigned callersPerDaemon)
    : key(std::move(key))
{
    for (const DaemonProcess &daemon : daemons) {
        this->targets.push_back({daemon.instanceId, daemon.caller});
    }
    for (std::size_t target = 0; target < this->targets.size(); ++target) {
        for (unsigned caller = 0; caller < callersPerDaemon; ++caller) {
            this->threads.emplace_back([this, target, caller]() {
                this->runCaller(target, caller);
            });
        }
    }
}

LoadRun::~LoadRun()
{
    this->finish();
}

bool LoadRun::waitForAnswers(const std::vector<std::string> &instanceIds, unsigned count)
{
    std::vector<unsigned> goals;
    goals.reserve(instanceIds.size());
    for (const std::string &instanceId : instanceIds) {
        goals.push_back(this->answered(instanceId) + count);
    }
    return waitUntil([&]() {
        for (std::size_t index = 0; index < instanceIds.size(); ++index) {
            if (this->answered(instanceIds[index]) < goals[index]) {
                return false;
            }
        }
        return true;
    });
}

std::vector<LoadOutcome> LoadRun::finish()
{
    this->stopping = true;
    for (std::thread &thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
    return this->outcomes;
}

void LoadRun::runCaller(std::size_t target, unsigned caller)
{
    for (unsigned index = caller; !this->stopping; ++index) {
        const LoadKind kind = kinds[index % kinds.size()];
        const std::string name = this->targets[target].instanceId + "-" + std::to_string(caller) + "-" + std::to_string(index);
        const Target &own = this->targets[target];
        const LoadOutcome outcome = sendLoad(own.instanceId, own.caller, this->key, kind, name);
        this->record(outcome);
        if (kind == LoadKind::Deposit && !isWhole(outcome)) {
            // Never to the first daemon, which the tests disturb: a frozen one would hold up the callers of another.
            const std::size_t next = target + 1 < this->targets.size() ? target + 1 : 1;
            const Target &other = this->targets[next];
            this->record(sendLoad(other.instanceId, other.caller, this->key, kind, name));
        }
    }
}

namespace
{

LoadOutcome outcomeOf(const std::string &instanceId, LoadKind kind, const std::string &name, const HttpRequest &request,
    const Result<HttpResponse> &response)
{
    LoadOutcome outcome;
    outcome.instanceId = instanceId;
    outcome.kind = kind;
    outcome.name = name;
    outcome.isBegun = response.has_value();
    if (response.has_error()) {
        outcome.failure = response.error().kind();
        outcome.detail = name + ": " + response.error().text();
        return outcome;
    }
    const HttpResponse &answer = response.value();
    outcome.status = answer.status;
    outcome.requestId = answer.headers.find("X-Request-Id");
    outcome.runState = answer.headers.find("X-Flamingosaddle-Run-State");
    outcome.detail = name + ": " + std::to_string(answer.status) + " " + answer.body.substr(0, 160);
    if (answer.status == 200) {
        outcome.violations = checkContent(kind, request, answer.body);
    }
    return outcome;
}

Result<HttpResponseHead> headOfAnswer(TestConnection &connection, const HttpRequest &request, Duration timeout)
{
    BOOST_OUTCOME_TRY(connection.send(request, RuntimeClock::now() + timeout));
    return connection.readHead(timeout);
}

Result<HttpResponse> wholeAnswer(TestConnection &connection, const Result<HttpResponseHead> &head, Duration timeout)
{
    BOOST_OUTCOME_TRY(received, head);
    BOOST_OUTCOME_TRY(body, connection.readRest(timeout));
    return HttpResponse{received.status, received.headers, body};
}

} // namespace

LoadOutcome sendLoad(const std::string &instanceId, const Endpoint &caller, const std::string &key, LoadKind kind,
    const std::string &name, Duration timeout)
{
    const HttpRequest request = withKey(requestOf(kind, name), key);
    return outcomeOf(instanceId, kind, name, request, call(caller, request, timeout));
}

LoadOutcome sendLoadOn(TestConnection &connection, const std::string &instanceId, const std::string &key, LoadKind kind,
    const std::string &name, Duration timeout)
{
    const HttpRequest request = withKey(requestOf(kind, name), key);
    const Result<HttpResponseHead> head = headOfAnswer(connection, request, timeout);
    LoadOutcome outcome = outcomeOf(instanceId, kind, name, request, wholeAnswer(connection, head, timeout));
    outcome.isBegun = head.has_value();
    return outcome;
}

void LoadRun::record(LoadOutcome outcome)
{
    const std::lock_guard lock(this->mutex);
    this->outcomes.push_back(std::move(outcome));
}

unsigned LoadRun::answered(const std::string &instanceId)
{
    const std::lock_guard lock(this->mutex);
    std::map<LoadKind, unsigned> counts;
    for (const LoadOutcome &outcome : this->outcomes) {
        if (outcome.instanceId == instanceId && isWhole(outcome)) {
            ++counts[outcome.kind];
        }
    }
    unsigned fewest = std::numeric_limits<unsigned>::max();
    for (const LoadKind kind : kinds) {
        fewest = std::min(fewest, counts[kind]);
    }
    return fewest;
}

std::vector<std::string> closedWithoutAnswer(const std::vector<LoadOutcome> &outcomes, const std::set<std::string> &excused)
{
    std::vector<std::string> names;
    for (const LoadOutcome &outcome : outcomes) {
        if (outcome.failure == ErrorKind::ConnectionLost && !outcome.isBegun && !excused.contains(outcome.instanceId)) {
            names.push_back(outcome.name);
        }
    }
    return names;
}

Violations unservedRequests(const std::vector<LoadOutcome> &outcomes)
{
    Violations violations;
    for (const LoadOutcome &outcome : outcomes) {
        if (isWhole(outcome) || isNotRun(outcome)) {
            continue;
        }
        violations.push_back(outcome.instanceId + ": " + outcome.detail);
        violations.insert(violations.end(), outcome.violations.begin(), outcome.violations.end());
    }
    return violations;
}

std::vector<std::string> notRunRequestIds(const std::vector<LoadOutcome> &outcomes)
{
    std::vector<std::string> ids;
    for (const LoadOutcome &outcome : outcomes) {
        if (outcome.status >= 400 && outcome.runState == "not-run") {
            ids.push_back(outcome.requestId);
        }
    }
    return ids;
}

} // namespace flamingosaddle::process
