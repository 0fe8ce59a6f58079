#pragma once

#include "watchdog.h"

#include <flamingosaddle/http/client.h>

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace flamingosaddle
{

/**
 * The HttpConnection on a TCP socket.
 */
class ClientConnection final : public HttpConnection
{
public:
    ClientConnection(boost::asio::ip::tcp::socket socket, std::string host);
    ~ClientConnection() override;

    ClientConnection(const ClientConnection &) = delete;
    ClientConnection &operator=(const ClientConnection &) = delete;

    boost::asio::awaitable<Result<void>> send(const HttpRequest &request, Duration timeout, TimePoint deadline) override;
    boost::asio::awaitable<Result<HttpResponseHead>> readHead(Duration timeout) override;
    boost::asio::awaitable<Result<bool>> readBody(std::string &piece, Duration timeout) override;
    void acceptBodyUntilClose() override;
    void limitDeadline(TimePoint deadline) override;
    void close() override;

    bool anyByteSent() const override;
    bool isRequestSent() const override;
    bool bodyEndedWithConnection() const override;
    bool isReusable() const override;
    bool isStale() const override;
    int nativeHandle() const override;

private:
    struct Parser;
    struct Upload;
    static constexpr std::size_t readBytes = std::size_t{16} * 1024;

    std::string headOf(const HttpRequest &request) const;
    /** Begins a wait that ends at @p until or at the exchange's deadline. Every wait for the server begins here. */
    void startWait(TimePoint until);
    void endWait();
    /** Writes as much of the request as the socket takes, now and whenever it takes more. */
    void writeUpload();
    void writeUploadWhenReady();
    /** Returns when the request is written or the server has sent something. */
    boost::asio::awaitable<void> awaitUploadOrInput();
    /** Returns whether the server's system has acknowledged the whole request. */
    bool isRequestAcknowledged() const;
    Result<void> takeRead(const boost::system::error_code &error, std::size_t count);
    Result<void> parseInput();
    Error failure(const boost::system::error_code &error) const;
    /** Returns whether the head that was read is that of the final response. */
    Result<bool> finishHead();
    bool endsWithConnection(const boost::system::error_code &error);

    boost::asio::ip::tcp::socket socket;
    std::string host;
    Watchdog watchdog;
    std::array<char, readBytes> readBuffer{};
    std::string input; // read but not yet parsed
    std::string body; // where the parser appends
    std::unique_ptr<Parser> parser;
    std::shared_ptr<Upload> upload; // the last request; shared with the handlers of its waits
    TimePoint deadline = TimePoint::max(); // of the exchange
    std::optional<TimePoint> waitEnd; // while a call waits, when its timeout ends
    std::size_t headBytes = 0; // of the heads of the exchange so far, with those of interim responses
    bool headRequest = false;
    bool wholeAnswer = false;
    bool closedByUs = false;
    bool bodyMayEndWithConnection = false;
    bool bodyEnded = false; // by the server's close
};

} // namespace flamingosaddle
