#include "backendfront.h"

#include "standinserver.h"

#include <boost/asio/this_coro.hpp>

namespace flamingosaddle::standins
{

BackendFront::BackendFront(bool checkFencing)
    : checkFencing(checkFencing)
{
}

void BackendFront::setHooks(Hooks hooks)
{
    this->hooks = std::move(hooks);
}

RunAudit &BackendFront::runs()
{
    return this->audit;
}

const BackendFaults &BackendFront::faults() const
{
    return this->activeFaults;
}

HttpHeaders BackendFront::answerHeaders() const
{
    HttpHeaders headers;
    if (this->activeFaults.rateLimit.has_value()) {
        headers.add("X-Flamingosaddle-Rate-Limit", std::to_string(*this->activeFaults.rateLimit));
    }
    return headers;
}

void addHeaders(HttpResponse &response, const HttpHeaders &headers)
{
    for (const HttpHeader &field : headers.fields()) {
        response.headers.set(field.name, field.value);
    }
}

void BackendFront::restart(Duration duration)
{
    this->downUntil = RuntimeClock::now() + duration;
    for (const auto &[wait, exchange] : this->waits) {
        exchange->abortHandle()();
    }
}

boost::asio::awaitable<void> BackendFront::handle(HttpExchange &exchange)
{
    if (exchange.request().path().starts_with("/admin/")) {
        const Result<void> ignored = co_await exchange.respond(this->admin(exchange.request()));
        co_return;
    }
    const auto executor = co_await boost::asio::this_coro::executor;
    const auto wait = CallWait::of(exchange, executor);
    this->waits.emplace(wait.get(), &exchange);
    const std::shared_ptr<void> removal(nullptr, [this, &wait](void *) {
        this->waits.erase(wait.get());
    });
    co_await this->serve(exchange, *wait);
}

boost::asio::awaitable<void> BackendFront::serve(HttpExchange &exchange, CallWait &wait)
{
    if (this->activeFaults.down || RuntimeClock::now() < this->downUntil) {
        co_await wait.closeUnanswered(exchange);
        co_return;
    }
    const HttpRequest &request = exchange.request();
    std::optional<HttpResponse> response = this->hooks.status(request);
    if (!response && request.path() == "/orders") {
        response = this->order(request);
    }
    if (!response) {
        co_await this->receive(exchange, wait);
        co_return;
    }
    while (this->activeFaults.silent && !wait.isCallerGone()) {
        co_await wait.untilWoken();
    }
    const Result<void> ignored = co_await exchange.respond(*response);
}

boost::asio::awaitable<void> BackendFront::receive(HttpExchange &exchange, CallWait &wait)
{
    const RunAudit::Run run = this->audit.begin(exchange.request());
    const TimePoint start = RuntimeClock::now() + this->activeFaults.delay;
    while ((RuntimeClock::now() < start || this->activeFaults.silent) && !wait.isCallerGone()) {
        co_await wait.until(this->activeFaults.silent ? TimePoint::max() : start);
    }
    if (wait.isCallerGone() || takeOne(this->activeFaults.closeBeforeAnswer)) {
        this->audit.end(run, RunEnd::NotRun);
        co_await wait.closeUnanswered(exchange);
        co_return;
    }
    if (this->activeFaults.status != 0) {
        this->audit.end(run, RunEnd::NotRun);
        HttpResponse response = errorResponse(this->activeFaults.status, "fault", "switched on by the test");
        if (this->activeFaults.retryAfter > 0) {
            response.headers.set("Retry-After", std::to_string(this->activeFaults.retryAfter));
        }
        const Result<void> ignored = co_await exchange.respond(response);
        co_return;
    }
    const bool loseAnswer = takeOne(this->activeFaults.loseAnswer);
    co_await this->hooks.run(Call{exchange, wait, run, loseAnswer});
}

HttpResponse BackendFront::admin(const HttpRequest &request)
{
    if (request.path() == "/admin/audit") {
        return jsonResponse(200,
            Json{{"runs", this->audit.json()}, {"orders", this->orders}}.dump(-1, ' ', false, Json::error_handler_t::replace));
    }
    if (request.path() != "/admin/faults") {
        return errorResponse(404, "not_found", "no such switch");
    }
    this->activeFaults.set(Json::parse(request.body));
    for (const auto &[wait, exchange] : this->waits) {
        wait->wake();
    }
    return jsonResponse(200, "{}");
}

HttpResponse BackendFront::order(const HttpRequest &request)
{
    Json order = Json::parse(request.body);
    const OrderOutcome outcome = this->gate.judge(order.at("id"), order.at("fencing"), this->checkFencing);
    order["arrival"] = this->orders.size();
    order["outcome"] = toString(outcome);
    if (outcome == OrderOutcome::Applied && order.at("kind") == "loadModel") {
        this->hooks.loadModel(order.at("model"));
    }
    this->orders.push_back(std::move(order));
    if (outcome == OrderOutcome::Refused) {
        return errorResponse(409, "stale_fencing", "a newer fencing number was seen");
    }
    return jsonResponse(200, "{}");
}

} // namespace flamingosaddle::standins
