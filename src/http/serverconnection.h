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
 * The limits that can change while the server runs.
 */
struct CurrentLimits {
    std::atomic<std::size_t> maxHeaderBytes{0};
    std::atomic<std::size_t> maxBodyBytes{0};
    std::atomic<Duration> headerTimeout{Duration::zero()};
    std::atomic<Duration> idleTimeout{Duration::zero()};

    /** Takes all that are not zero. */
    void assign(const CallerLimits &limits);
};

/**
 * What the connections of one server share. The settings do not change after the start, except for callerLimits.
 */
struct ServerCore {
    HttpServerLimits limits;
    CurrentLimits callerLimits; // go before those of the same name in limits
    HttpHandler handler;
    std::function<HttpResponse(const Error &)> errorHook;
    std::function<void()> onConnectionClosed; // one that waited was closed for a new one
    HeadCheck checkHead;
    std::shared_ptr<MemoryGuard> memory; // empty for no account
    MemoryOwner memoryOwner = MemoryOwner::Callers;

    std::atomic<bool> draining{false}; // announced: each answer closes its connection
    std::atomic<bool> closing{false}; // connections take no request that is not on its way
    std::atomic<TimePoint> drainAnnouncedAt{TimePoint::max()};
    std::atomic<bool> stopped{false};
    std::atomic<std::size_t> connectionCount{0};
    std::atomic<std::size_t> activeExchanges{0};

    std::mutex mutex; // guards connections
    std::map<std::uint64_t, std::weak_ptr<ServerConnection>> connections;
    std::uint64_t nextConnection = 0;

    /** Closes the connection that waits longest for its caller. Returns false if all carry requests. Any thread. */
    bool closeLongestWaiting();
};

/**
 * One caller's connection, and the exchange that runs on it. One read is always in flight, also while the handler runs:
 * it notices that the caller is gone and keeps pipelined bytes.
 */
class ServerConnection final : public HttpExchange, public MemoryHolder, public std::enable_shared_from_this<ServerConnection>
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
    void onMemoryGranted(MemoryAccount::HolderId holder) override;
    void onMemoryRefused(MemoryAccount::HolderId holder, MemoryRefusal reason) override;

    // Queries of the connection; any thread.
    /** Returns since when it waits for a request of its caller; the latest time while it carries one. */
    TimePoint waitingSince() const;

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
    bool holdAnswer(std::size_t bytes) override;

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
    static constexpr Duration lateReadTime = std::chrono::milliseconds(100);
    static constexpr std::size_t readBytes = std::size_t{8} * 1024;
    static constexpr std::size_t maxChunkHeadBytes = 20;
    // Each connection counts for as much in the account of memory, so that it asks only for more.
    static constexpr std::size_t uncountedBytes = std::size_t{16} * 1024;
    // Bytes of requests that are sent ahead are kept up to here while a request is handled.
    static constexpr std::size_t maxAheadBytes = std::size_t{8} * 1024;
    using Buffers = std::array<boost::asio::const_buffer, 3>;

    boost::asio::awaitable<bool> serveOne();
    boost::asio::awaitable<Result<bool>> readRequest();
    /** Begins a request whose first byte has arrived. */
    void beginReading(Parser &parser);
    boost::asio::awaitable<Result<void>> prepareForBody(Parser &parser);
    Result<bool> parseInput(Parser &parser);
    /** Checks the head of a request whose body is still to come. Returns false if the request was answered. */
    boost::asio::awaitable<Result<bool>> checkHead(Parser &parser);
    Error timeoutError();
    Error limitError(bool inHeader);
    void takeRequest(Parser &parser);
    boost::asio::awaitable<bool> waitForInput();
    void startRead();
    void finishRead(const boost::system::error_code &error, std::size_t count);

    // What the connection holds beyond what each connection counts for (serverconnectionmemory.cpp).
    /** Returns the bytes that reading on needs in total. */
    std::size_t neededBytes(const Parser &parser) const;
    void countFields(const Parser &parser);
    /** Waits until @p bytes are granted. Returns false if the request is refused or the caller is gone. */
    boost::asio::awaitable<bool> awaitMemory(std::size_t bytes);
    void openHolder();
    void setHeld(std::size_t bytes);
    void beginPhase(MemoryAccount::Phase phase);
    void releaseMemory();
    Error memoryError() const;

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
    bool hasLateRead = false; // whether the time of the request was extended for bytes that were there unread
    bool inputEnded = false;

    std::optional<MemoryAccount::HolderId> holder;
    std::size_t grantedBytes = 0; // to the holder
    std::size_t requestBytes = 0; // of the request that was read whole, if a holder counts them
    std::size_t parsedLines = 0; // of a head that is not complete
    std::size_t fieldBytes = 0; // that the fields of the request take when they are parsed
    bool isMemoryPaused = false;
    std::optional<MemoryRefusal> memoryRefusal;
    std::atomic<TimePoint> waitsSince{TimePoint::max()};

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
