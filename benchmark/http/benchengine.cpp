#include "benchengine.h"

#include <flamingosaddle/base/timer.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace flamingosaddle::bench
{

namespace asio = boost::asio;

namespace
{

// Events with the format and size of those of an OpenAI-compatible engine.
constexpr std::string_view eventStart
    = R"(data: {"id":"chatcmpl-0af7651916cd43dd8448eb211c80319c","object":"chat.completion.chunk",)"
      R"("created":1764800000,"model":"m","choices":[{"index":0,"delta":{"content":")";
constexpr std::string_view eventEnd = R"("},"logprobs":null,"finish_reason":null}]})"
                                      "\n\n";
constexpr std::string_view streamEnd = "data: [DONE]\n\n";

asio::awaitable<void> stream(HttpExchange &exchange, StreamShape shape)
{
    HttpHeaders headers;
    headers.add("Content-Type", "text/event-stream");
    Result<void> written = co_await exchange.beginStream(200, std::move(headers));
    Timer timer(co_await asio::this_coro::executor);
    TimePoint next = RuntimeClock::now();
    std::string event;
    for (int i = 0; i < shape.tokens && written.has_value(); ++i) {
        if (shape.interval > Duration::zero()) {
            next += shape.interval;
            timer.expires_at(next);
            boost::system::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        event = eventStart;
        event += std::to_string(RuntimeClock::now().time_since_epoch().count());
        event += eventEnd;
        written = co_await exchange.writePiece(event);
    }
    if (written.has_value()) {
        written = co_await exchange.writePiece(streamEnd);
    }
    if (written.has_value()) {
        written = co_await exchange.endStream();
    }
}

} // namespace

test::FakeBackend::Handler timestampedStream(StreamShape shape)
{
    return [shape](HttpExchange &exchange) {
        return stream(exchange, shape);
    };
}

std::vector<std::unique_ptr<test::FakeBackend>> makeEngines(std::size_t count, StreamShape shape)
{
    std::vector<std::unique_ptr<test::FakeBackend>> list;
    for (std::size_t i = 0; i < count; ++i) {
        list.push_back(std::make_unique<test::FakeBackend>(timestampedStream(shape)));
    }
    return list;
}

} // namespace flamingosaddle::bench
