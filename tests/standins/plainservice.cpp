#include "plainservice.h"

namespace flamingosaddle::standins
{

PlainService::PlainService(std::chrono::milliseconds workTime, BackendFront &front)
    : workTime(workTime)
    , front(front)
{
}

boost::asio::awaitable<void> PlainService::run(BackendFront::Call call)
{
    // The effect comes first: whoever goes away now cannot know whether it took place.
    const Json body = this->perform(call.exchange.request());
    const TimePoint finished = RuntimeClock::now() + this->workTime;
    while (RuntimeClock::now() < finished && !call.wait.isCallerGone()) {
        co_await call.wait.until(finished);
    }
    if (call.loseAnswer) {
        this->front.runs().end(call.run, RunEnd::ResponseLost);
        co_await call.wait.closeUnanswered(call.exchange);
        co_return;
    }
    const std::string text = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    HttpResponse answer = jsonResponse(200, text);
    addHeaders(answer, this->front.answerHeaders());
    const Result<void> answered = co_await call.exchange.respond(std::move(answer));
    this->front.runs().end(call.run, answered.has_error() ? RunEnd::Cancelled : RunEnd::Whole);
}

Json PlainService::perform(const HttpRequest &request)
{
    const std::string requestId(request.headers.find("X-Request-Id"));
    const std::string idempotencyKey(request.headers.find("Idempotency-Key"));
    Json answer = {{"method", request.method}, {"target", request.target}, {"echo", request.body}, {"requestId", requestId},
        {"idempotencyKey", idempotencyKey}};
    if (request.method == "GET" || request.method == "HEAD") {
        return answer;
    }
    answer["runsOfRequestId"] = ++this->runsByRequestId[requestId];
    if (!idempotencyKey.empty()) {
        answer["runsOfIdempotencyKey"] = ++this->runsByIdempotencyKey[idempotencyKey];
    }
    return answer;
}

} // namespace flamingosaddle::standins
