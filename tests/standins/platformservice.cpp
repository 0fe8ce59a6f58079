#include "platformservice.h"

#include "standinserver.h"

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <sstream>

namespace flamingosaddle::standins
{

namespace
{

constexpr std::size_t defaultReadLimit = 1000;

std::vector<std::string> segments(std::string_view path)
{
    std::vector<std::string> result;
    std::istringstream stream{std::string(path)};
    std::string segment;
    while (std::getline(stream, segment, '/')) {
        if (!segment.empty()) {
            result.push_back(segment);
        }
    }
    return result;
}

/** The interface that a path belongs to, as PlatformFaults names it, or an empty text. */
std::string interfaceOf(const std::vector<std::string> &path)
{
    if (path.size() == 2 && path[0] == "log") {
        return "log";
    }
    if (path.size() == 3 && path[0] == "data-centres") {
        return "orders";
    }
    if (path.size() == 1 && path[0] == "usage-reports") {
        return "usage";
    }
    return path.size() == 1 && path[0] == "instances" ? "instances" : "";
}

std::uint64_t numberOr(const std::string &text, std::uint64_t fallback)
{
    return text.empty() ? fallback : std::strtoull(text.c_str(), nullptr, 10);
}

HttpResponse ok(const Json &body = Json::object())
{
    return jsonResponse(200, body.dump());
}

} // namespace

boost::asio::awaitable<void> PlatformService::handle(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const std::vector<std::string> path = segments(request.path());
    const std::string interface = interfaceOf(path);
    if (interface.empty()) {
        const bool isAdmin = path.size() == 2 && path[0] == "admin";
        const HttpResponse response
            = isAdmin ? this->admin(request, path[1]) : errorResponse(404, "not_found", "no such interface");
        const Result<void> ignored = co_await exchange.respond(response);
        co_return;
    }
    const auto executor = co_await boost::asio::this_coro::executor;
    const auto wait = CallWait::of(exchange, executor);
    const TimePoint start = RuntimeClock::now() + this->faults.of(interface).delay;
    while (RuntimeClock::now() < start && !wait->isCallerGone()) {
        co_await wait->until(start);
    }
    if (this->faults.of(interface).down) {
        co_await wait->closeUnanswered(exchange);
        co_return;
    }
    HttpResponse response;
    if (interface == "log" && request.method == "GET") {
        response = co_await this->readLog(request, path[1], *wait);
    } else {
        response = this->call(request, path);
    }
    const bool isLost = request.method == "POST" && this->faults.takeLostAnswer(interface);
    if (isLost || this->faults.of(interface).down) {
        co_await wait->closeUnanswered(exchange);
        co_return;
    }
    const Result<void> ignored = co_await exchange.respond(response);
}

boost::asio::awaitable<HttpResponse> PlatformService::readLog(
    const HttpRequest &request, const std::string &stream, CallWait &wait)
{
    if (!this->log.hasStream(stream)) {
        co_return errorResponse(404, "not_found", "no stream of this name");
    }
    const std::uint64_t from = numberOr(request.query("from"), 0);
    const std::size_t limit = numberOr(request.query("limit"), defaultReadLimit);
    const TimePoint deadline = RuntimeClock::now() + std::chrono::milliseconds(numberOr(request.query("waitMs"), 0));
    this->readers.insert(&wait);
    while (limit != 0 && this->log.head(stream) <= from && RuntimeClock::now() < deadline && !wait.isCallerGone()
        && !this->faults.of("log").down) {
        co_await wait.until(deadline);
    }
    this->readers.erase(&wait);
    const std::uint64_t first = this->log.first(stream);
    const std::uint64_t head = this->log.head(stream);
    if (from < first && limit != 0) {
        const Json error = {{"kind", "trimmed"}, {"message", "the record has expired"}};
        co_return jsonResponse(410, Json{{"error", error}, {"first", first}, {"head", head}}.dump());
    }
    Json records = Json::array();
    for (const StoredRecord &record : this->log.read(stream, from, limit)) {
        records.push_back({{"offset", record.offset}, {"body", record.body}});
    }
    const std::uint64_t next = from + records.size();
    const Json body = {{"first", first}, {"next", next}, {"head", head}, {"records", std::move(records)}};
    co_return ok(body);
}

HttpResponse PlatformService::call(const HttpRequest &request, const std::vector<std::string> &path)
{
    if (path[0] == "log") {
        return this->append(path[1], request.body);
    }
    if (path[0] == "instances") {
        return this->instanceCall(request);
    }
    return path[0] == "usage-reports" ? this->usageCall(request) : this->dataCentreCall(request, path[1], path[2]);
}

HttpResponse PlatformService::append(const std::string &stream, const std::string &body)
{
    Json(body).dump(); // throws when the record is no UTF-8, which a JSON answer could not carry
    const std::optional<std::uint64_t> offset = this->log.append(stream, body);
    if (!offset) {
        return errorResponse(404, "not_found", "no stream of this name");
    }
    this->wakeReaders();
    return ok({{"offset", *offset}});
}

HttpResponse PlatformService::instanceCall(const HttpRequest &request)
{
    if (request.method == "GET") {
        return ok({{"instances", this->instances.visible(RuntimeClock::now())}});
    }
    this->instances.put(Json::parse(request.body), RuntimeClock::now());
    return ok();
}

HttpResponse PlatformService::dataCentreCall(const HttpRequest &request, const std::string &dataCentre, const std::string &what)
{
    if (request.method == "GET" && what == "machines") {
        return ok({{"machines", this->machines.machines(dataCentre)}});
    }
    if (request.method != "POST" || what != "orders") {
        return errorResponse(404, "not_found", "no such interface");
    }
    switch (this->machines.order(dataCentre, Json::parse(request.body))) {
    case DeskAnswer::Done:
        return ok();
    case DeskAnswer::StaleFencing:
        return errorResponse(409, "stale_fencing", "a newer fencing number was seen");
    case DeskAnswer::NoSpare:
        return errorResponse(503, "unavailable", "no machine of this kind is to be had");
    case DeskAnswer::UnknownKind:
        break;
    }
    return errorResponse(400, "invalid_request", "no order of this kind");
}

HttpResponse PlatformService::usageCall(const HttpRequest &request)
{
    Json report = Json::parse(request.body);
    for (const char *field : {"clientAccount", "window", "requests", "promptTokens", "completionTokens", "fencing", "holder"}) {
        static_cast<void>(report.at(field)); // throws when the field is missing
    }
    report["arrival"] = this->usageReports.size();
    this->usageReports.push_back(std::move(report));
    return ok();
}

HttpResponse PlatformService::admin(const HttpRequest &request, const std::string &what)
{
    if (what == "audit" && request.method == "GET") {
        return ok({{"appends", this->log.audit()}, {"orders", this->machines.audit()}, {"usageReports", this->usageReports}});
    }
    const Json body = Json::parse(request.body);
    if (what == "faults") {
        this->setFaults(body);
    } else if (what == "trim") {
        this->log.trim(body.at("stream").get<std::string>(), body.at("first"));
    } else if (what == "instances") {
        this->instances.setLag(std::chrono::milliseconds(body.value("lagMs", 0)));
        this->instances.replace(body.at("instances"), RuntimeClock::now());
    } else if (what == "machines") {
        this->changeMachines(body);
    } else {
        return errorResponse(404, "not_found", "no such switch");
    }
    return ok();
}

void PlatformService::setFaults(const Json &faults)
{
    this->faults.set(faults);
    if (faults.contains("checkFencing")) {
        this->machines.setFencingCheck(faults.at("checkFencing"));
    }
    if (faults.contains("retention")) {
        this->log.setRetention(faults.at("retention"));
    }
    this->wakeReaders();
}

void PlatformService::changeMachines(const Json &change)
{
    for (const Json &machine : change.value("add", Json::array())) {
        this->machines.add(machine);
    }
    for (const Json &machine : change.value("spare", Json::array())) {
        this->machines.addSpare(machine);
    }
    for (const Json &id : change.value("remove", Json::array())) {
        this->machines.remove(id);
    }
    if (change.contains("reclaim")) {
        this->machines.noticeReclaim(change.at("reclaim"));
    }
}

void PlatformService::wakeReaders()
{
    for (CallWait *reader : this->readers) {
        reader->wake();
    }
}

} // namespace flamingosaddle::standins
