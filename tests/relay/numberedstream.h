#pragma once

#include "callerfixture.h"

#include <string>

namespace flamingosaddle::test
{

inline constexpr const char *resumeHeader = "X-Resume-After";

/** Returns the OpenAI adapter, changed to streams whose events carry ids and that end with their body. */
inline ProtocolAdapter numberedStreamAdapter()
{
    ProtocolAdapter adapter = openAiAdapter(secret, RequestClass());
    adapter.streamsEndWithDoneEvent = false;
    adapter.streamErrorEvent = [](const Error &) {
        return std::string();
    };
    adapter.buildBackendRequest = [](const BackendRequestContext &context) {
        HttpRequest request;
        request.method = context.callerRequest.method;
        request.target = context.callerRequest.target;
        request.body = context.callerRequest.body;
        if (context.resumeAfter.has_value()) {
            request.headers.add(resumeHeader, std::to_string(*context.resumeAfter));
        }
        return request;
    };
    return adapter;
}

inline std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: text " + std::to_string(number) + "\n\n";
}

/** Sends the events with ids from @p first to @p last, then ends the stream or closes the connection within the next event. */
inline boost::asio::awaitable<void> send(HttpExchange &exchange, int first, int last, bool interrupts)
{
    HttpHeaders headers;
    headers.add("Content-Type", "text/event-stream");
    Result<void> written = co_await exchange.beginStream(200, std::move(headers));
    for (int number = first; number <= last && written.has_value(); ++number) {
        const std::string piece = event(number);
        written = co_await exchange.writePiece(piece);
    }
    if (interrupts) {
        const std::string half = event(last + 1).substr(0, 5);
        written = co_await exchange.writePiece(half);
        exchange.abortHandle()();
        co_return;
    }
    written = co_await exchange.endStream();
}

} // namespace flamingosaddle::test
