#include "scriptedengine.h"

#include "checks.h"

#include <flamingosaddle/base/timer.h>

#include <nlohmann/json.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>

namespace flamingosaddle::test
{

namespace asio = boost::asio;

namespace
{

constexpr std::array checkpoints = {RequestStep::BodySent, RequestStep::FirstToken, RequestStep::MidStream};

std::vector<std::string> eventsFrom(int from)
{
    std::vector<std::string> events{R"({"choices":[{"delta":{"role":"assistant","content":""}}]})"};
    for (int i = from; i < responseTokens; ++i) {
        events.push_back(R"({"choices":[{"delta":{"content":"t)" + std::to_string(i) + R"("},"finish_reason":null}]})");
    }
    events.emplace_back(R"({"choices":[{"delta":{},"finish_reason":"stop"}]})");
    events.emplace_back("[DONE]");
    for (std::string &event : events) {
        event.insert(0, "data: ").append("\n\n");
    }
    return events;
}

} // namespace

void EngineScript::setFault(EngineFault fault)
{
    this->fault = fault;
}

void EngineScript::onStepReached(RequestStep step)
{
    const std::scoped_lock lock(this->mutex);
    this->reached.insert(step);
    for (const std::function<void()> &wake : this->waiters) {
        wake();
    }
    this->waiters.clear();
}

FakeBackend::Handler EngineScript::responder()
{
    return [this](HttpExchange &exchange) {
        return this->run(exchange);
    };
}

asio::awaitable<void> EngineScript::run(HttpExchange &exchange)
{
    const int from = nlohmann::json::parse(exchange.request().body).value("flamingosaddle_resume_tokens", 0);
    const std::vector<std::string> events = eventsFrom(from);
    HttpHeaders headers;
    headers.add("Content-Type", "text/event-stream");
    Result<void> written = success();
    for (std::size_t i = 0; i < events.size() && written.has_value(); ++i) {
        if (i < checkpoints.size()) {
            co_await this->waitFor(checkpoints.at(i), exchange);
            const bool faultApplied = co_await this->applyFault(exchange, events[i]);
            if (faultApplied) {
                co_return;
            }
        }
        if (i == 0) {
            written = co_await exchange.beginStream(200, headers);
        }
        if (written.has_value()) {
            written = co_await exchange.writePiece(events[i]);
        }
    }
    if (written.has_value()) {
        written = co_await exchange.endStream();
    }
}

asio::awaitable<void> EngineScript::waitFor(RequestStep step, HttpExchange &exchange)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const auto timer = std::make_shared<Timer>(executor, TimePoint::max());
    exchange.onGone([timer]() {
        timer->cancel();
    });
    while (!exchange.isPeerGone()) {
        {
            const std::scoped_lock lock(this->mutex);
            if (this->reached.contains(step)) {
                break;
            }
            // The posted handler runs after the wait below has begun, since the context has one thread. The pointer is weak
            // because the script outlives the context, which destroys the timer.
            this->waiters.emplace_back([weak = std::weak_ptr<Timer>(timer), executor]() {
                asio::post(executor, [weak]() {
                    if (const std::shared_ptr<Timer> held = weak.lock()) {
                        held->cancel();
                    }
                });
            });
        }
        boost::system::error_code ignored;
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<bool> EngineScript::applyFault(HttpExchange &exchange, std::string nextEvent)
{
    const EngineFault current = this->fault.exchange(EngineFault::None);
    if (current == EngineFault::LoseResponse) {
        exchange.abortHandle()();
    }
    if (current == EngineFault::StopResponding) {
        co_await neverRespond(exchange);
    }
    if (current == EngineFault::Truncate) {
        Result<void> written = success();
        if (!exchange.isStarted()) {
            HttpHeaders headers;
            headers.add("Content-Type", "text/event-stream");
            written = co_await exchange.beginStream(200, headers);
        }
        if (written.has_value()) {
            written = co_await exchange.writePiece(nextEvent.substr(0, nextEvent.size() / 2));
        }
        if (written.has_value()) {
            written = co_await exchange.endStream();
        }
    }
    co_return current != EngineFault::None;
}

} // namespace flamingosaddle::test
