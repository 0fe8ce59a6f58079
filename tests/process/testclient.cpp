#include "testclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gtest/gtest.h>

#include <optional>

namespace flamingosaddle::process
{

namespace
{

template <typename T>
boost::asio::awaitable<void> store(boost::asio::awaitable<T> operation, std::optional<T> &result)
{
    T value = co_await std::move(operation);
    result.emplace(std::move(value));
}

/** Runs one coroutine to its end on the calling thread. */
template <typename T>
T await(boost::asio::io_context &context, boost::asio::awaitable<T> operation)
{
    std::optional<T> result;
    boost::asio::co_spawn(context, store(std::move(operation), result), boost::asio::detached);
    context.restart();
    while (!result && context.run_one() != 0) {
    }
    return std::move(*result);
}

} // namespace

Result<HttpResponse> call(const Endpoint &endpoint, const HttpRequest &request, Duration timeout)
{
    boost::asio::io_context context(1);
    FetchOptions options;
    options.timeout = timeout;
    return await(context, fetch(endpoint, request, options));
}

HttpRequest getRequest(const std::string &target)
{
    HttpRequest request;
    request.target = target;
    return request;
}

HttpRequest postRequest(const std::string &target, const Json &body)
{
    HttpRequest request;
    request.method = "POST";
    request.target = target;
    request.headers.set("Content-Type", "application/json");
    request.body = body.dump();
    return request;
}

HttpRequest withKey(HttpRequest request, const std::string &key)
{
    request.headers.set("Authorization", "Bearer " + key);
    return request;
}

Json jsonOf(const Result<HttpResponse> &response)
{
    if (response.has_error()) {
        ADD_FAILURE() << response.error().text();
        return nullptr;
    }
    EXPECT_EQ(response.value().status, 200) << response.value().body;
    return Json::parse(response.value().body, nullptr, false);
}

TestConnection::TestConnection(const Endpoint &endpoint)
    : context(1)
{
    auto connected = await(this->context, HttpConnection::connect(endpoint, std::chrono::seconds(5)));
    if (connected.has_value()) {
        this->connection = std::move(connected.value());
    }
}

Result<void> TestConnection::send(const HttpRequest &request, TimePoint deadline)
{
    return await(this->context, this->connection->send(request, std::chrono::seconds(5), deadline));
}

Result<HttpResponseHead> TestConnection::readHead(Duration timeout)
{
    return await(this->context, this->connection->readHead(timeout));
}

Result<std::string> TestConnection::readPiece(Duration timeout)
{
    std::string piece;
    const Result<bool> more = await(this->context, this->connection->readBody(piece, timeout));
    if (more.has_error()) {
        return fail(more.error());
    }
    return piece;
}

Result<std::string> TestConnection::readRest(Duration timeout)
{
    std::string body;
    while (true) {
        std::string piece;
        const Result<bool> more = await(this->context, this->connection->readBody(piece, timeout));
        if (more.has_error()) {
            return fail(more.error());
        }
        body += piece;
        if (!more.value()) {
            return body;
        }
    }
}

Result<HttpResponse> TestConnection::exchange(const HttpRequest &request, Duration timeout)
{
    BOOST_OUTCOME_TRY(this->send(request, RuntimeClock::now() + timeout));
    BOOST_OUTCOME_TRY(head, this->readHead(timeout));
    BOOST_OUTCOME_TRY(body, this->readRest(timeout));
    return HttpResponse{head.status, head.headers, body};
}

bool TestConnection::isConnected() const
{
    return this->connection != nullptr;
}

bool TestConnection::isReusable() const
{
    return this->connection != nullptr && this->connection->isReusable() && !this->connection->isStale();
}

bool TestConnection::isStale() const
{
    return this->connection == nullptr || this->connection->isStale();
}

} // namespace flamingosaddle::process
