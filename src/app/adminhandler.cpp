#include <flamingosaddle/app/adminhandler.h>

#include <flamingosaddle/app/controlmetrics.h>

#include <nlohmann/json.hpp>

#include <string_view>
#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::string_view changesPrefix = "/v1/changes/";
constexpr std::string_view readinessPath = "/readyz";

HttpResponse errorResponse(int status, std::string_view message)
{
    const nlohmann::json body = {{"error", {{"message", message}, {"type", "invalid_request"}}}};
    return jsonResponse(status, body.dump());
}

HttpResponse textResponse(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers.set("Content-Type", "text/plain; charset=utf-8");
    response.body = std::move(body);
    return response;
}

nlohmann::json toJson(const ChangeResult &result)
{
    return {
        {"id", result.id.text()}, {"offset", result.offset}, {"outcome", toString(result.outcome)}, {"detail", result.detail}};
}

nlohmann::json coldServersOf(const std::vector<ColdServerStatus> &servers)
{
    nlohmann::json list = nlohmann::json::array();
    for (const ColdServerStatus &server : servers) {
        nlohmann::json entry = {{"id", server.server.text()}, {"reason", toString(server.reason.value_or(ColdReason::Stated))},
            {"share", server.share}};
        if (server.remaining.has_value()) {
            entry["remainingMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(*server.remaining).count();
        }
        list.push_back(std::move(entry));
    }
    return list;
}

nlohmann::json evacuationsOf(const Controller &controller)
{
    nlohmann::json evacuations = nlohmann::json::array();
    for (const auto &[dataCentre, state] : controller.evacuations()) {
        if (state.isEvacuated) {
            const auto ago = std::chrono::duration_cast<std::chrono::milliseconds>(RuntimeClock::now() - state.since);
            evacuations.push_back({{"dataCentre", dataCentre.text()}, {"offset", state.offset}, {"forMs", ago.count()}});
        }
    }
    return evacuations;
}

nlohmann::json accountsOf(const WindowCounts &counts)
{
    nlohmann::json accounts = nlohmann::json::array();
    for (const AccountCount &account : counts.accounts) {
        const TokenCounts tokens = account.tokens.value_or(TokenCounts());
        accounts.push_back({{"clientAccount", account.clientAccount.text()}, {"requests", account.requests},
            {"promptTokens", tokens.prompt}, {"completionTokens", tokens.completion}});
    }
    return accounts;
}

} // namespace

AdminHandler::AdminHandler(Controller &controller, MetricsRegistry &metrics, std::function<TrafficStatus()> trafficStatus,
    std::function<std::uint32_t(const BackendServerId &)> inFlight)
    : controller(controller)
    , metrics(metrics)
    , trafficStatus(std::move(trafficStatus))
    , inFlight(std::move(inFlight))
{
}

boost::asio::awaitable<void> AdminHandler::handle(HttpExchange &exchange)
{
    HttpResponse response = this->answer(exchange.request());
    // A caller that is gone needs no answer.
    const Result<void> ignored = co_await exchange.respond(std::move(response));
    static_cast<void>(ignored);
}

boost::asio::awaitable<void> AdminHandler::handleReadiness(HttpExchange &exchange)
{
    const bool known = exchange.request().method == "GET" && exchange.request().path() == readinessPath;
    HttpResponse response = known ? this->readinessResponse() : errorResponse(404, "only /readyz is answered here");
    const Result<void> ignored = co_await exchange.respond(std::move(response));
    static_cast<void>(ignored);
}

HttpResponse AdminHandler::answer(const HttpRequest &request)
{
    if (request.method == "GET") {
        return this->query(request);
    }
    if (request.method == "POST" && request.path() == "/v1/tombstones") {
        return this->withdraw(request);
    }
    return errorResponse(405, "no such command; POST /v1/tombstones withdraws a key, everything else is GET");
}

HttpResponse AdminHandler::query(const HttpRequest &request) const
{
    const std::string_view path = request.path();
    if (path == "/healthz") {
        return textResponse(200, "ok\n");
    }
    if (path == readinessPath) {
        return this->readinessResponse();
    }
    if (path == "/metrics") {
        updateControlMetrics(this->metrics, this->controller, this->trafficStatus());
        return textResponse(200, this->metrics.prometheusText());
    }
    if (path == "/v1/status") {
        return this->statusResponse();
    }
    if (path == "/v1/config") {
        return jsonResponse(200, encodeConfigSnapshot(*this->controller.config()));
    }
    if (path == "/v1/leases") {
        return this->leasesResponse();
    }
    if (path == "/v1/usage") {
        return this->usageResponse();
    }
    if (path == "/v1/backends") {
        return this->backendsResponse();
    }
    if (path == "/v1/history") {
        return this->historyResponse();
    }
    if (path.starts_with(changesPrefix)) {
        return this->changeResponse(ChangeId(std::string(path.substr(changesPrefix.size()))));
    }
    return errorResponse(404, "no such page; docs/PROTOCOL.md lists the calls of the admin address");
}

HttpResponse AdminHandler::statusResponse() const
{
    const TrafficStatus traffic = this->trafficStatus();
    const ConfigReplica &tail = this->controller.configReplica();
    const nlohmann::json body = {
        {"instance", this->controller.options().self.instance.text()},
        {"dataCentre", this->controller.options().dataCentre.text()},
        {"ready", this->controller.isReady()},
        {"draining", traffic.draining},
        {"configOffset", this->controller.config()->nextOffset()},
        {"configGap", tail.hasGap()},
        {"fresh", this->controller.freshUntil() > RuntimeClock::now()},
        {"servingInstances", this->controller.peerExchange().membership().serving().size() + 1},
        {"callerConnections", traffic.callerConnections},
        {"activeExchanges", traffic.activeExchanges},
        {"waiting", traffic.waiting},
        {"running", traffic.running},
        {"coldServers", coldServersOf(traffic.coldServers)},
        {"evacuated", evacuationsOf(this->controller)},
    };
    return jsonResponse(200, body.dump());
}

HttpResponse AdminHandler::readinessResponse() const
{
    if (this->trafficStatus().draining) {
        return textResponse(503, "draining\n");
    }
    if (!this->controller.isReady()) {
        return textResponse(503, "the configuration has not been read yet\n");
    }
    if (this->controller.freshUntil() <= RuntimeClock::now()) {
        return textResponse(503, "neither the log nor enough peers answer\n");
    }
    return textResponse(200, "ready\n");
}

HttpResponse AdminHandler::leasesResponse() const
{
    const DutyLog &duties = this->controller.dutyLog();
    nlohmann::json leases = nlohmann::json::array();
    if (duties.newestLeadership().has_value()) {
        leases.push_back({{"role", "duties"}, {"holder", duties.newestLeadership()->id.writer.text()},
            {"released", duties.newestLeadership()->released}, {"heldHere", duties.isLeading()},
            {"fence", duties.fencingToken().fencingNumber}});
    }
    return jsonResponse(200, nlohmann::json{{"leases", std::move(leases)}}.dump());
}

HttpResponse AdminHandler::usageResponse() const
{
    const UsageReporter &reporter = this->controller.usageReporter();
    const UsageReporter::FixedWindows fixed = reporter.fixedWindows();
    const std::uint64_t reportedBefore = reporter.reportedBefore(fixed);
    nlohmann::json windows = nlohmann::json::array();
    for (const auto &[number, window] : fixed) {
        windows.push_back({{"window", number}, {"reported", number < reportedBefore}, {"accounts", accountsOf(window.counts)}});
    }
    const nlohmann::json body
        = {{"unappended", this->controller.usageMeter().pendingRecordCount()}, {"windows", std::move(windows)}};
    return jsonResponse(200, body.dump());
}

HttpResponse AdminHandler::backendsResponse() const
{
    nlohmann::json backends = nlohmann::json::array();
    const auto isEvacuated = [this](const DataCentre &dataCentre) {
        const auto known = this->controller.evacuations().find(dataCentre);
        return known != this->controller.evacuations().end() && known->second.isEvacuated;
    };
    for (const BackendServer &server : backendServersOf(*this->controller.config())) {
        backends.push_back({{"id", server.id.text()}, {"endpoint", server.endpoint.text()},
            {"dataCentre", server.dataCentre.text()}, {"leaving", server.leaving}, {"cheap", server.cheap},
            {"evacuated", isEvacuated(server.dataCentre)}, {"slots", server.slots}, {"inFlightHere", this->inFlight(server.id)}});
    }
    return jsonResponse(200, nlohmann::json{{"backends", std::move(backends)}}.dump());
}

HttpResponse AdminHandler::historyResponse() const
{
    nlohmann::json changes = nlohmann::json::array();
    for (const ChangeResult &result : this->controller.configReplica().state()->history()) {
        changes.push_back(toJson(result));
    }
    return jsonResponse(200, nlohmann::json{{"changes", std::move(changes)}}.dump());
}

HttpResponse AdminHandler::changeResponse(const ChangeId &id) const
{
    const std::optional<ChangeResult> result = this->controller.configReplica().state()->findResult(id);
    if (!result) {
        return errorResponse(
            404, "this instance has not applied such a change; ask again, or publish it again under the same id");
    }
    return jsonResponse(200, toJson(*result).dump());
}

HttpResponse AdminHandler::withdraw(const HttpRequest &request)
{
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("id") || !body["id"].is_string()
        || body["id"].get_ref<const std::string &>().empty()) {
        return errorResponse(400, "the body is no key id; send {\"id\": \"KEY-ID\"}");
    }
    this->controller.withdrawKey(KeyId(body["id"].get<std::string>()));
    return jsonResponse(200, "{}");
}

} // namespace flamingosaddle
