#include "platformservice.h"

#include "standinserver.h"

#include <boost/asio/this_coro.hpp>

#include <utility>

namespace flamingosaddle::standins
{

namespace
{

constexpr std::string_view adminPrefix = "/admin/";

/** The interface that a call belongs to, as PlatformFaults names it, or an empty text. */
std::string interfaceOf(const HttpRequest &request)
{
    if (StoreCalls::isGroupCall(request)) {
        return "instances";
    }
    return StoreCalls::isStoreCall(request) ? "log" : ApiDesk::interfaceOf(request.path());
}

HttpResponse ok(const Json &body = Json::object())
{
    return jsonResponse(200, body.dump());
}

} // namespace

boost::asio::awaitable<void> PlatformService::handle(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const std::string interface = interfaceOf(request);
    if (interface.empty()) {
        const bool isAdmin = request.path().starts_with(adminPrefix);
        const HttpResponse response = isAdmin ? this->admin(request) : errorResponse(404, "not_found", "no such interface");
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
    co_await this->waitForRecord(request, *wait);
    const bool isDown = this->faults.of(interface).down;
    const HttpResponse response = isDown ? HttpResponse() : this->call(request);
    const bool isLost = request.method == "POST" && this->faults.takeLostAnswer(interface);
    if (isLost || isDown) {
        co_await wait->closeUnanswered(exchange);
        co_return;
    }
    const Result<void> ignored = co_await exchange.respond(response);
}

boost::asio::awaitable<void> PlatformService::waitForRecord(const HttpRequest &request, CallWait &wait)
{
    const TimePoint deadline = RuntimeClock::now() + this->store.waitOf(request);
    this->readers.insert(&wait);
    while (this->store.waitOf(request).count() > 0 && RuntimeClock::now() < deadline && !wait.isCallerGone()
        && !this->faults.of("log").down) {
        co_await wait.until(deadline);
    }
    this->readers.erase(&wait);
}

HttpResponse PlatformService::call(const HttpRequest &request)
{
    std::optional<HttpResponse> response = this->store.answer(request, RuntimeClock::now());
    if (!response.has_value()) {
        response = this->api.answer(request);
    }
    if (request.method == "POST") {
        this->wakeReaders();
    }
    return response.has_value() ? *std::move(response) : errorResponse(404, "not_found", "no such interface");
}

HttpResponse PlatformService::admin(const HttpRequest &request)
{
    const std::string_view what = request.path().substr(adminPrefix.size());
    if (what == "audit" && request.method == "GET") {
        return ok(
            {{"appends", this->store.log.audit()}, {"orders", this->api.orders()}, {"usageReports", this->api.usageReports()}});
    }
    const Json body = Json::parse(request.body);
    if (what == "faults") {
        this->setFaults(body);
    } else if (what == "trim") {
        this->store.log.trim(body.at("topic").get<std::string>(), body.at("first"));
    } else {
        return errorResponse(404, "not_found", "no such switch");
    }
    return ok();
}

void PlatformService::setFaults(const Json &faults)
{
    this->faults.set(faults);
    if (faults.contains("checkFencing")) {
        this->api.setFencingCheck(faults.at("checkFencing"));
    }
    if (faults.contains("retention")) {
        this->store.log.setRetention(faults.at("retention"));
    }
    this->wakeReaders();
}

void PlatformService::wakeReaders()
{
    for (CallWait *reader : this->readers) {
        reader->wake();
    }
}

} // namespace flamingosaddle::standins
