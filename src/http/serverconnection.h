#pragma once

#include "receivetimes.h"
#include "watchdog.h"

#include <flamingosaddle/base/timer.h>
#include <flamingosaddle/http/server.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace flamingosaddle
{

class ServerConnection;

/**
 * What the connections of one server share. The settings do not change after the start.
 */
struct ServerCore {
    HttpServerLimits limits;
    HttpHandler handler;
    std::function<HttpResponse(const Error &)> errorHook;

    std::atomic<bool> draining{false}; // announced: each answer closes its connection
    std::atomic<bool> closing{false}; // connections take no request that is not on its way
    std::atomic<TimePoint> drainAnnouncedAt{TimePoint::max()};
    std::atomic<bool> stopped{false};
    std::atomic<std::size_t> connectionCount{0};
    std::atomic<std::size_t> activeExchanges{0};

    std::mutex mutex; // guards connections
    std::map<std::uint64_t, std::weak_ptr<ServerConnection>> connections;
    std::uint64_t nextConnection = 0;
};

/**
 * One caller's connection, and the exchange that runs on it. One read is always in flight, also while the handler runs:
 * it notices that the caller is gone and keeps pipelined bytes.
 */
class ServerConnection final : public HttpExchange, public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<ServerCore> core);
    ~ServerConnection() override;

    // Commands of the server.
    boost::asio::awaitable<void> run();
    /** Closes the connection now when it is idle, otherwise after its exchange. Any thread. */
    void drain();
    /** Closes the connection at once. Any thread. */
    void abort();

    // Queries of the exchange.
    const HttpRequest &request() const override;
    TimePoint receivedAt() const override;
    bool isStarted() const override;
    bool isPeerGone() const override;

    // Commands of the exchange.
    boost::asio::awaitable<Result<void>> respond(HttpResponse response) override;
    boost::asio::awaitable<Result<void>> beginStream(int status, HttpHeaders headers) override;
    boost::asio::awaitable<Result<void>> writePiece(std::string_view piece) override;
    boost::asio::awaitable<Result<void>> endStream() override;
    void closeAfter() override;
    void onGone(std::function<void()> handler) override;
    std::function<void()> abortHandle() override;
    std::shared_ptr<void> &connectionState() override;

private:
    enum class Phase {
        Idle, // between requests
        Reading,
        Handling,
        Closing,
    };

    enum class Answer {
        None,
        Streaming,
        Complete,
    };

    struct Parser;
    // From the announcement of the drain on, a caller that was not told of it may still send one request this long.
    static constexpr Duration drainGrace = std::chrono::seconds(1);
    // For the first request of a connection that was accepted just before the listener closed.
    static constexpr Duration firstRequestGrace = std::chrono::milliseconds(200);
    static constexpr std::size_t readBytes = std::size_t{8} * 1024;
    static constexpr std::size_t maxChunkHeadBytes = 20;
    using Buffers = std::array<boost::asio::const_buffer, 3>;

    boost::asio::awaitable<bool> serveOne();
    boost::asio::awaitable<Result<bool>> readRequest();
    boost::asio::awaitable<Result<void>> prepareForBody(Parser &parser);
    Result<bool> parseInput(Parser &parser);
    Error limitError(bool inHeader);
    void takeRequest(Parser &parser);
    boost::asio::awaitable<bool> waitForInput();
    void startRead();
    void finishRead(const boost::system::error_code &error, std::size_t count);

    boost::asio::awaitable<void> runHandler();
    boost::asio::awaitable<void> refuse(const Error &error);
    boost::asio::awaitable<void> lingeringClose();
    Result<std::size_t> writeNow(const Buffers &buffers);
    boost::asio::awaitable<Result<void>> write(Buffers buffers);
    boost::asio::awaitable<Result<void>> writeRest(Buffers buffers, std::size_t written);
    std::string headOf(int status, HttpHeaders headers, std::optional<std::size_t> contentLength);
    static Buffers gather(std::string_view first, std::string_view second = {}, std::string_view third = {});
    Buffers chunk(std::string_view piece);

    void deadlinePassed();
    void drainNow();
    Duration idleLimit() const;
    void closeNow();
    void markGone();

    boost::asio::ip::tcp::socket socket;
    std::shared_ptr<ServerCore> core;
    Watchdog watchdog;
    Timer inputArrived; // never expires; cancelled when there is something to look at
    std::uint64_t id = 0;

    std::array<char, readBytes> readBuffer{};
    std::string input; // read but not yet parsed
    ReceiveTimes receiveTimes;
    TimePoint requestReceivedAt; // the last byte of the current request
    std::size_t headBytes = 0; // parsed of a header that is not complete
    bool headTooLarge = false;
    bool readInFlight = false;
    bool inputEnded = false;

    std::shared_ptr<void> handlerState;
    HttpRequest currentRequest;
    Phase phase = Phase::Idle;
    Answer answer = Answer::None;
    unsigned int version = 11;
    bool keepAlive = false;
    bool servedAny = false;
    bool writing = false;
    std::atomic<bool> abortRequested{false}; // any thread
    bool gone = false;
    std::function<void()> goneHandler;
    std::string answerHead;
    HttpResponse heldBack; // a stream for a caller that does not know chunks
    std::array<char, maxChunkHeadBytes> chunkHead{};
};

} // namespace flamingosaddle
