#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/base/result.h>
#include <flamingosaddle/http/message.h>

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace flamingosaddle
{

struct HttpResponseHead {
    int status = 0;
    HttpHeaders headers;
};

/**
 * One connection to an HTTP/1.1 server with at most one request in flight. An exchange, from send() to the last byte of the
 * response, has a deadline, and each call a timeout of its own; both hold for the whole call, whatever the server sends
 * meanwhile. A call that exceeds one closes the connection and fails with Timeout. Used from one executor.
 */
class HttpConnection
{
public:
    virtual ~HttpConnection() = default;

    /**
     * Connects. Fails with Unreachable (also on timeout): nothing was sent.
     */
    static boost::asio::awaitable<Result<std::unique_ptr<HttpConnection>>> connect(Endpoint endpoint, Duration timeout);

    /**
     * Sends one request and begins an exchange that ends at @p deadline. Returns when the request is written or the server has
     * sent something, which may be a response to a part of it; the rest is then written while the response is read. @p request
     * must outlive that. After a failure anyByteSent() tells whether the server may have seen any of it.
     */
    virtual boost::asio::awaitable<Result<void>> send(const HttpRequest &request, Duration timeout, TimePoint deadline) = 0;
    /**
     * Reads the head of the final response; interim ones are passed over. A status below 100 or a switch of protocols, which no
     * request asks for, is a Protocol error; one above 599 is passed on.
     */
    virtual boost::asio::awaitable<Result<HttpResponseHead>> readHead(Duration timeout) = 0;
    /**
     * Appends the next bytes of the body to @p piece, after clearing it. Answers false at the end mark of the body. A
     * body that ends without its end mark fails with ConnectionLost; so does one that has neither a length nor chunks,
     * since nobody can tell whether it is whole.
     */
    virtual boost::asio::awaitable<Result<bool>> readBody(std::string &piece, Duration timeout) = 0;
    /**
     * From now on a body that has neither a length nor chunks is whole when the server closes the connection in order after it
     * has received the whole request; one that is reset is not.
     */
    virtual void acceptBodyUntilClose() = 0;
    /** Brings the deadline of the current exchange forward, if it is later. */
    virtual void limitDeadline(TimePoint deadline) = 0;
    /** Closes at once; an operation in flight fails with Cancelled. */
    virtual void close() = 0;

    virtual bool anyByteSent() const = 0; ///< of the last request
    virtual bool isRequestSent() const = 0; ///< whether the last request has been written as a whole
    /** Whether the last body had neither a length nor chunks and was ended by the server's close. */
    virtual bool bodyEndedWithConnection() const = 0;
    /** Whether the last answer was read whole and the server keeps the connection open. */
    virtual bool isReusable() const = 0;
    /** Whether the server has closed an idle connection, or sent bytes that nobody asked for. */
    virtual bool isStale() const = 0;
    virtual int nativeHandle() const = 0; ///< of the socket
};

struct FetchOptions {
    Duration connectTimeout = std::chrono::seconds(1);
    Duration timeout = std::chrono::seconds(5); ///< for the whole exchange after connecting
    std::size_t maxBodyBytes = std::size_t{16} * 1024 * 1024;
    /**
     * How long the request may still be sent, asked once connected. When it answers zero, or when the time is over before
     * the first byte, nothing is sent, also when the process was stopped after asking. Empty: no limit.
     */
    std::function<Duration()> permission;
};

/**
 * One request on a connection of its own. Fails with Unreachable, or with Cancelled when the permission was over, when
 * nothing was sent; otherwise with Timeout, ConnectionLost, TooLarge or Protocol.
 */
boost::asio::awaitable<Result<HttpResponse>> fetch(Endpoint endpoint, HttpRequest request, FetchOptions options = {});

} // namespace flamingosaddle
