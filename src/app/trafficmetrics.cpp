#include <flamingosaddle/app/trafficmetrics.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace flamingosaddle
{

namespace
{

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

const char *runStateText(const std::optional<RunState> &state)
{
    return state == RunState::NotRun ? "not-run" : "unknown";
}

const char *labelOf(const PathChange &change)
{
    if (change.loss == PathLoss::NoSlot) {
        return change.isReachable ? "served_here" : "left_to_peers";
    }
    return change.isReachable ? "reachable" : "unreachable";
}

} // namespace

TrafficMetrics::TrafficMetrics(MetricsRegistry &registry, const SharedRoutingSnapshot &board, DataCentre ownDataCentre)
    : registry(registry)
    , board(board)
    , ownDataCentre(std::move(ownDataCentre))
{
}

void TrafficMetrics::observe(const RequestOutcome &outcome)
{
    const MetricLabels labels = {{"class", outcome.className.text()}};
    this->registry.counter("flamingosaddle_requests_total", "Requests that ended.", labels).add();
    this->registry.counter("flamingosaddle_attempts_total", "Backend servers that were asked.", labels).add(outcome.attempts);
    this->registry.counter("flamingosaddle_wasted_tokens_total", "Tokens generated and not part of a whole answer.", labels)
        .add(outcome.wastedTokens);
    this->observeTraffic(outcome);
    if (outcome.complete) {
        this->observeAnswer(outcome, labels);
    } else if (outcome.status == 0) {
        this->registry.counter("flamingosaddle_callers_gone_total", "Requests whose caller left before the end.", labels).add();
    } else {
        this->observeRefusal(outcome);
    }
}

void TrafficMetrics::observeRateLimitChange(std::string_view source)
{
    this->registry
        .counter("flamingosaddle_rate_limit_changes_total", "Changes of a backend server's known rate limit.",
            {{"source", std::string(source)}})
        .add();
}

void TrafficMetrics::observeServerDeath(std::string_view source)
{
    this->registry
        .counter("flamingosaddle_server_deaths_total", "Requests that were running when their backend server died.",
            {{"source", std::string(source)}})
        .add();
}

void TrafficMetrics::observePathChange(const PathChange &change)
{
    this->registry
        .counter("flamingosaddle_path_changes_total", "Targets whose backend servers became reachable or unreachable.",
            {{"target", change.target.text()}, {"change", labelOf(change)}})
        .add();
}

void TrafficMetrics::observeColdServerChange(const ColdServerChange &change)
{
    this->registry
        .counter("flamingosaddle_cold_server_changes_total", "Backend servers that turned cold or warm.",
            {{"change", change.reason.has_value() ? toString(*change.reason) : "warm"}})
        .add();
}

void TrafficMetrics::observePromptPartChange(const PromptPartChange &change)
{
    this->registry
        .counter("flamingosaddle_prompt_part_changes_total", "Parts of prompts that were quarantined or cleared of suspicion.",
            {{"change", change.quarantinedUntil.has_value() ? "quarantined" : "cleared"}})
        .add();
}

const RequestClass *TrafficMetrics::classOf(const RoutingSnapshot &snapshot, const RequestOutcome &outcome) const
{
    const std::vector<RequestClass> *classes = snapshot.classesOf(outcome.clientAccount);
    if (classes == nullptr) {
        return nullptr;
    }
    const auto found = std::find_if(classes->begin(), classes->end(), [&outcome](const RequestClass &requestClass) {
        return requestClass.name == outcome.className;
    });
    return found == classes->end() ? nullptr : &*found;
}

void TrafficMetrics::observeAnswer(const RequestOutcome &outcome, const MetricLabels &labels)
{
    this->registry.counter("flamingosaddle_goodput_tokens_total", "Tokens of whole answers.", labels).add(outcome.relayedTokens);
    this->registry
        .counter("flamingosaddle_account_tokens_total", "Tokens of whole answers by client account.",
            {{"account", outcome.clientAccount.text()}})
        .add(outcome.relayedTokens);
    if (!outcome.firstTokenAt) {
        return;
    }
    const Duration wait = *outcome.firstTokenAt - outcome.arrival;
    this->registry.distribution("flamingosaddle_first_token_seconds", "From arrival to the first byte of the answer.", labels)
        .observe(seconds(wait));
    const std::shared_ptr<const RoutingSnapshot> snapshot = this->board.current();
    const RequestClass *requestClass = snapshot ? this->classOf(*snapshot, outcome) : nullptr;
    if (requestClass != nullptr && wait <= requestClass->firstTokenTarget) {
        this->registry.counter("flamingosaddle_attained_total", "Whole answers whose first byte met the class's target.", labels)
            .add();
    }
}

void TrafficMetrics::observeTraffic(const RequestOutcome &outcome)
{
    for (const AttemptTraffic &attempt : outcome.traffic) {
        const MetricLabels labels
            = {{"target", outcome.target.text()}, {"place", attempt.dataCentre == this->ownDataCentre ? "own" : "other"}};
        this->registry
            .counter("flamingosaddle_data_centre_attempts_total",
                "Backend servers that were asked, in the instance's own data centre and in others.", labels)
            .add();
        this->registry
            .counter("flamingosaddle_data_centre_sent_bytes_total",
                "Bytes of requests' bodies sent to backend servers in the instance's own data centre and in others.", labels)
            .add(attempt.sentBytes);
        this->registry
            .counter("flamingosaddle_data_centre_received_bytes_total",
                "Bytes of responses' bodies received from backend servers in the instance's own data centre and in others.",
                labels)
            .add(attempt.receivedBytes);
    }
}

void TrafficMetrics::observeRefusal(const RequestOutcome &outcome)
{
    const MetricLabels labels = {
        {"class", outcome.className.text()},
        {"status", std::to_string(outcome.status)},
        {"reason", outcome.refusal ? toString(*outcome.refusal) : "none"},
        {"run_state", runStateText(outcome.runState)},
    };
    this->registry.counter("flamingosaddle_refusals_total", "Requests that ended without a whole answer.", labels).add();
}

} // namespace flamingosaddle
