#pragma once

#include "json.h"

#include <flamingosaddle/http/client.h>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace flamingosaddle::process
{

using standins::Json;

/** One request on a connection of its own. */
Result<HttpResponse> call(const Endpoint &endpoint, const HttpRequest &request, Duration timeout = std::chrono::seconds(10));

HttpRequest getRequest(const std::string &target);
HttpRequest postRequest(const std::string &target, const Json &body);
/** The request with a caller's key. */
HttpRequest withKey(HttpRequest request, const std::string &key);
/** The body of a 200 answer; null, with a failed expectation, otherwise. */
Json jsonOf(const Result<HttpResponse> &response);

/**
 * A caller's connection that is kept open over several requests and can be read piece by piece.
 */
class TestConnection
{
public:
    explicit TestConnection(const Endpoint &endpoint);

    // Commands.
    /** @param deadline of the whole exchange */
    Result<void> send(const HttpRequest &request, TimePoint deadline = TimePoint::max());
    Result<HttpResponseHead> readHead(Duration timeout = std::chrono::seconds(10));
    /** The next bytes of the body; empty at its end. */
    Result<std::string> readPiece(Duration timeout = std::chrono::seconds(10));
    /** All that is left of the body. */
    Result<std::string> readRest(Duration timeout = std::chrono::seconds(10));
    /** Sends a request and reads its whole answer. @param timeout for the whole exchange */
    Result<HttpResponse> exchange(const HttpRequest &request, Duration timeout = std::chrono::seconds(10));

    // Queries.
    bool isConnected() const;
    /** Whether the last answer was read whole and the server keeps the connection open. */
    bool isReusable() const;
    /** Whether the server closed the connection while it was idle. */
    bool isStale() const;

private:
    boost::asio::io_context context;
    std::unique_ptr<HttpConnection> connection;
};

} // namespace flamingosaddle::process
