#include "clientconnection.h"

#include <flamingosaddle/http/client.h>
#include <flamingosaddle/http/deadlineguard.h>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <utility>

namespace flamingosaddle
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

Error unreachable(const Endpoint &endpoint, const std::string &reason)
{
    return {ErrorKind::Unreachable, endpoint.text() + " cannot be reached: " + reason, "check that the server runs there"};
}

Error nothingSent(const Error &error)
{
    if (error.kind() == ErrorKind::Cancelled) {
        return error;
    }
    return {ErrorKind::Unreachable, error.message(), "send the request again"};
}

asio::awaitable<Result<void>> sendPermitted(
    HttpConnection &connection, const HttpRequest &request, Duration timeout, const std::function<Duration()> &permission)
{
    const TimePoint deadline = RuntimeClock::now() + timeout;
    if (!permission) {
        const Result<void> sent = co_await connection.send(request, timeout, deadline);
        co_return sent;
    }
    // The guard comes before the check, so that a stop of the process between check and write is covered.
    std::optional<DeadlineGuard> guard;
    if (DeadlineGuard::isSupported()) {
        guard.emplace(connection.nativeHandle(), permission());
    }
    if ((guard.has_value() && !guard->isArmed()) || permission() <= Duration::zero()) {
        co_return fail(ErrorKind::Cancelled, "the permission to send was over", "nothing was sent; ask for a new permission");
    }
    const Result<void> sent = co_await connection.send(request, timeout, deadline);
    if (sent.has_value() && !connection.isRequestSent()) {
        // The permission does not cover what would be written after this call.
        connection.close();
        co_return fail(ErrorKind::ConnectionLost, "the server responded before it had the whole request", "look at its log");
    }
    co_return sent;
}

asio::awaitable<Result<void>> readWholeBody(HttpConnection &connection, Duration timeout, std::size_t maxBytes, std::string &body)
{
    std::string piece;
    while (true) {
        const Result<bool> more = co_await connection.readBody(piece, timeout);
        if (!more.has_value()) {
            co_return fail(more.error());
        }
        if (!more.value()) {
            co_return success();
        }
        if (body.size() + piece.size() > maxBytes) {
            co_return fail(ErrorKind::TooLarge, "the answer is over " + std::to_string(maxBytes) + " bytes", "ask for less");
        }
        body.append(piece);
    }
}

} // namespace

asio::awaitable<Result<std::unique_ptr<HttpConnection>>> HttpConnection::connect(Endpoint endpoint, Duration timeout)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error) {
        co_return fail(unreachable(endpoint, error.message()));
    }
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    tcp::socket socket(executor);
    Watchdog watchdog(executor, [&socket]() {
        boost::system::error_code ignored;
        socket.close(ignored);
    });
    watchdog.arm(timeout);
    co_await socket.async_connect(tcp::endpoint(address, endpoint.port), asio::redirect_error(asio::use_awaitable, error));
    if (watchdog.hasExpired()) {
        co_return fail(unreachable(endpoint, "no answer in time"));
    }
    if (error) {
        co_return fail(unreachable(endpoint, error.message()));
    }
    co_return std::unique_ptr<HttpConnection>(std::make_unique<ClientConnection>(std::move(socket), endpoint.text()));
}

asio::awaitable<Result<HttpResponse>> fetch(Endpoint endpoint, HttpRequest request, FetchOptions options)
{
    const Result<std::unique_ptr<HttpConnection>> connected = co_await HttpConnection::connect(endpoint, options.connectTimeout);
    if (!connected.has_value()) {
        co_return fail(connected.error());
    }
    HttpConnection &connection = *connected.value();
    request.headers.set("Connection", "close");
    const Result<void> sent = co_await sendPermitted(connection, request, options.timeout, options.permission);
    if (!sent.has_value()) {
        co_return fail(connection.anyByteSent() ? sent.error() : nothingSent(sent.error()));
    }
    Result<HttpResponseHead> head = co_await connection.readHead(options.timeout);
    if (!head.has_value()) {
        co_return fail(head.error());
    }
    HttpResponse response{head.value().status, std::move(head.value().headers), {}};
    const Result<void> body = co_await readWholeBody(connection, options.timeout, options.maxBodyBytes, response.body);
    if (!body.has_value()) {
        co_return fail(body.error());
    }
    co_return response;
}

} // namespace flamingosaddle
