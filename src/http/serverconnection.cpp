#include "serverconnection.h"

#include "wire.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_suffix.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace flamingosaddle
{

namespace asio = boost::asio;

namespace
{

constexpr int headerFieldsTooLarge = 431;
constexpr const char *chunkEnd = "\r\n";
constexpr const char *streamEnd = "0\r\n\r\n";
// How long and how much is read after a refusal, so that the caller sees the answer before the connection breaks.
constexpr Duration lingerTimeout = std::chrono::seconds(1);
auto awaitInto(boost::system::error_code &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

auto callerGone()
{
    return fail(ErrorKind::ConnectionLost, "the caller closed the connection", "nothing to do");
}

bool hasBody(int status, const std::string &method)
{
    return method != "HEAD" && status != 204 && status != 304;
}

} // namespace

ServerConnection::ServerConnection(asio::ip::tcp::socket socket, std::shared_ptr<ServerCore> core)
    : socket(std::move(socket))
    , core(std::move(core))
    , watchdog(this->socket.get_executor(),
          [this]() {
              this->deadlinePassed();
          })
    , inputArrived(this->socket.get_executor(), TimePoint::max())
{
    boost::system::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->socket.non_blocking(true, ignored);
    ++this->core->connectionCount;
    if (this->core->memory) {
        this->core->memory->addConnection();
    }
}

ServerConnection::~ServerConnection()
{
    this->releaseMemory();
    if (this->core->memory) {
        this->core->memory->removeConnection();
    }
    const std::scoped_lock lock(this->core->mutex);
    this->core->connections.erase(this->id);
    --this->core->connectionCount;
}

asio::awaitable<void> ServerConnection::run()
{
    const std::shared_ptr<ServerConnection> self = this->shared_from_this();
    {
        const std::scoped_lock lock(this->core->mutex);
        this->id = ++this->core->nextConnection;
        this->core->connections.emplace(this->id, self);
    }
    bool more = !this->core->stopped;
    while (more) {
        more = co_await this->serveOne();
    }
    this->closeNow();
}

asio::awaitable<bool> ServerConnection::serveOne()
{
    const Result<bool> read = co_await this->readRequest();
    if (!read.has_value()) {
        co_await this->refuse(read.error());
        co_return false;
    }
    if (!read.value() || this->abortRequested) {
        // A request that is not passed on may be cut without breaking a promise.
        co_return false;
    }
    co_await this->runHandler();
    this->servedAny = true;
    co_return this->answer == Answer::Complete &&this->keepAlive && !this->gone && !this->abortRequested;
}

asio::awaitable<void> ServerConnection::runHandler()
{
    this->phase = Phase::Handling;
    this->answer = Answer::None;
    // With each request of many that were sent ahead, a read here would take in more than the request has given up.
    if (this->input.size() < maxAheadBytes) {
        this->startRead();
    }
    ++this->core->activeExchanges;
    try {
        co_await this->core->handler(*this);
    } catch (...) {
        // The answer below, or the closed connection, tells the caller.
        this->keepAlive = false;
    }
    this->goneHandler = nullptr;
    if (this->answer == Answer::None && !this->gone && !this->abortRequested) {
        const Error error(
            ErrorKind::Internal, "the request was not answered", "send it again; report the fault when it persists");
        this->keepAlive = false;
        const Result<void> written = co_await this->respond(this->core->errorHook(error));
        if (!written.has_value()) {
            this->closeNow();
        }
    }
    --this->core->activeExchanges;
}

asio::awaitable<void> ServerConnection::refuse(const Error &error)
{
    this->phase = Phase::Closing;
    this->input = {};
    this->releaseMemory();
    this->answer = Answer::None;
    this->keepAlive = false;
    HttpResponse response = this->core->errorHook(error);
    if (error.kind() == ErrorKind::TooLarge && this->headTooLarge) {
        response.status = headerFieldsTooLarge;
    }
    const Result<void> written = co_await this->respond(std::move(response));
    if (written.has_value()) {
        co_await this->lingeringClose();
    }
}

asio::awaitable<void> ServerConnection::lingeringClose()
{
    boost::system::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->watchdog.arm(lingerTimeout);
    std::size_t budget = this->core->callerLimits.maxBodyBytes;
    bool more = true;
    while (more && this->input.size() <= budget) {
        budget -= this->input.size();
        this->input.clear();
        more = co_await this->waitForInput();
    }
}

const HttpRequest &ServerConnection::request() const
{
    return this->currentRequest;
}

TimePoint ServerConnection::receivedAt() const
{
    return this->requestReceivedAt;
}

bool ServerConnection::isStarted() const
{
    return this->answer != Answer::None;
}

bool ServerConnection::isPeerGone() const
{
    return this->gone;
}

std::string ServerConnection::headOf(int status, HttpHeaders headers, std::optional<std::size_t> contentLength)
{
    headers.remove("Connection");
    headers.remove("Content-Length");
    headers.remove("Transfer-Encoding");
    if (contentLength.has_value()) {
        headers.add("Content-Length", std::to_string(*contentLength));
    } else {
        headers.add("Transfer-Encoding", "chunked");
    }
    this->keepAlive = this->keepAlive && !this->core->draining;
    if (!this->keepAlive) {
        headers.add("Connection", "close");
    } else if (this->version == 10) {
        headers.add("Connection", "keep-alive");
    }
    return responseHead(status, headers);
}

asio::awaitable<Result<void>> ServerConnection::respond(HttpResponse response)
{
    if (this->answer != Answer::None) {
        co_return fail(ErrorKind::Internal, "the exchange was answered before", "answer it once");
    }
    this->answer = Answer::Complete;
    this->answerHead = this->headOf(response.status, std::move(response.headers), response.body.size());
    const bool withBody = hasBody(response.status, this->currentRequest.method);
    const std::string_view body = withBody ? std::string_view(response.body) : std::string_view();
    co_return co_await this->write(gather(this->answerHead, body));
}

asio::awaitable<Result<void>> ServerConnection::beginStream(int status, HttpHeaders headers)
{
    if (this->answer != Answer::None) {
        co_return fail(ErrorKind::Internal, "the exchange was answered before", "answer it once");
    }
    this->answer = Answer::Streaming;
    if (this->version == 10) {
        // HTTP/1.0 has no end mark, so the answer is sent whole, or not at all.
        this->heldBack = {status, std::move(headers), {}};
        co_return success();
    }
    this->answerHead = this->headOf(status, std::move(headers), std::nullopt);
    co_return co_await this->write(gather(this->answerHead));
}

ServerConnection::Buffers ServerConnection::gather(std::string_view first, std::string_view second, std::string_view third)
{
    return {asio::const_buffer(first.data(), first.size()), asio::const_buffer(second.data(), second.size()),
        asio::const_buffer(third.data(), third.size())};
}

ServerConnection::Buffers ServerConnection::chunk(std::string_view piece)
{
    char *const first = this->chunkHead.data();
    char *end = std::to_chars(first, first + this->chunkHead.size(), piece.size(), 16).ptr;
    *end++ = '\r';
    *end++ = '\n';
    return gather({first, static_cast<std::size_t>(end - first)}, piece, chunkEnd);
}

asio::awaitable<Result<void>> ServerConnection::writePiece(std::string_view piece)
{
    if (this->answer != Answer::Streaming) {
        co_return fail(ErrorKind::Internal, "no stream was begun", "call beginStream() first");
    }
    if (piece.empty()) {
        // A chunk of no bytes would be the end mark.
        co_return success();
    }
    if (this->version == 10) {
        const bool mayHold = this->holdAnswer(this->heldBack.body.size() + piece.size());
        if (!mayHold || this->heldBack.body.size() + piece.size() > this->core->limits.maxHeldBackBytes) {
            this->closeNow();
            co_return fail(ErrorKind::TooLarge,
                "the answer is too long to be kept (limit " + std::to_string(this->core->limits.maxHeldBackBytes)
                    + " bytes), and HTTP/1.0 has no streams",
                "use HTTP/1.1");
        }
        this->heldBack.body.append(piece);
        co_return success();
    }
    // As write(), without a coroutine of its own: this runs for each piece of a stream.
    const Buffers buffers = this->chunk(piece);
    const Result<std::size_t> written = this->writeNow(buffers);
    if (!written.has_value()) {
        co_return fail(written.error());
    }
    if (written.value() == asio::buffer_size(buffers)) {
        co_return success();
    }
    co_return co_await this->writeRest(buffers, written.value());
}

asio::awaitable<Result<void>> ServerConnection::endStream()
{
    if (this->answer != Answer::Streaming) {
        co_return fail(ErrorKind::Internal, "no stream was begun", "call beginStream() first");
    }
    if (this->version == 10) {
        this->answer = Answer::None;
        // A named object, because g++ 12 miscompiles temporaries of braced initialisers in an awaited call.
        HttpResponse whole = std::move(this->heldBack);
        this->heldBack = HttpResponse();
        co_return co_await this->respond(std::move(whole));
    }
    this->answer = Answer::Complete;
    co_return co_await this->write(gather(streamEnd));
}

Result<std::size_t> ServerConnection::writeNow(const Buffers &buffers)
{
    // The close that abort() posts may still wait behind this write.
    if (this->gone || this->abortRequested) {
        return callerGone();
    }
    boost::system::error_code error;
    const std::size_t written = this->socket.write_some(buffers, error);
    if (error && error != asio::error::would_block) {
        this->closeNow();
        return callerGone();
    }
    return written;
}

asio::awaitable<Result<void>> ServerConnection::write(Buffers buffers)
{
    // The socket mostly takes everything at once; then nothing has to wait for the reactor.
    const Result<std::size_t> written = this->writeNow(buffers);
    if (!written.has_value()) {
        co_return fail(written.error());
    }
    if (written.value() == asio::buffer_size(buffers)) {
        co_return success();
    }
    co_return co_await this->writeRest(buffers, written.value());
}

asio::awaitable<Result<void>> ServerConnection::writeRest(Buffers buffers, std::size_t written)
{
    boost::beast::buffers_suffix<Buffers> rest(buffers);
    rest.consume(written);
    this->watchdog.arm(this->core->limits.writeTimeout);
    this->writing = true;
    const bool isCounted = this->core->memory && (this->holder.has_value() || asio::buffer_size(rest) > uncountedBytes);
    if (isCounted) {
        this->setHeld(this->requestBytes + asio::buffer_size(rest));
        this->beginPhase(MemoryAccount::Phase::Answering);
    }
    boost::system::error_code error;
    co_await asio::async_write(this->socket, rest, awaitInto(error));
    this->writing = false;
    this->watchdog.disarm();
    if (isCounted) {
        this->setHeld(this->requestBytes);
        this->beginPhase(MemoryAccount::Phase::Owed);
    }
    if (error) {
        this->closeNow();
        co_return callerGone();
    }
    co_return success();
}

void ServerConnection::closeAfter()
{
    this->keepAlive = false;
}

void ServerConnection::onGone(std::function<void()> handler)
{
    if (this->gone) {
        handler();
        return;
    }
    this->goneHandler = std::move(handler);
}

std::function<void()> ServerConnection::abortHandle()
{
    return [weak = this->weak_from_this()]() {
        if (const std::shared_ptr<ServerConnection> connection = weak.lock()) {
            connection->abort();
        }
    };
}

std::shared_ptr<void> &ServerConnection::connectionState()
{
    return this->handlerState;
}

void ServerConnection::abort()
{
    this->abortRequested = true;
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()]() {
        self->closeNow();
    });
}

void ServerConnection::drain()
{
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()]() {
        self->drainNow();
    });
}

void ServerConnection::drainNow()
{
    if (this->phase != Phase::Idle) {
        return;
    }
    boost::system::error_code ignored;
    if (this->servedAny && this->input.empty() && this->socket.available(ignored) == 0) {
        this->closeNow();
        return;
    }
    this->watchdog.arm(this->idleLimit());
}

Duration ServerConnection::idleLimit() const
{
    if (!this->core->closing) {
        return this->core->draining ? drainGrace : this->core->callerLimits.idleTimeout.load();
    }
    const Duration untold = this->core->drainAnnouncedAt.load() + drainGrace - RuntimeClock::now();
    return std::max(untold, this->servedAny ? Duration::zero() : firstRequestGrace);
}

void ServerConnection::deadlinePassed()
{
    if (this->writing) {
        this->closeNow();
        return;
    }
    // After a pause of this process, bytes that came in time may still be unread.
    boost::system::error_code ignored;
    if (this->phase == Phase::Reading && this->readInFlight && !this->hasLateRead && this->socket.available(ignored) > 0) {
        this->hasLateRead = true;
        this->watchdog.arm(lateReadTime);
        return;
    }
    this->inputArrived.cancel();
}

void ServerConnection::closeNow()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->markGone();
    this->inputArrived.cancel();
}

void ServerConnection::markGone()
{
    this->gone = true;
    if (this->goneHandler) {
        const std::function<void()> handler = std::exchange(this->goneHandler, nullptr);
        handler();
    }
}

} // namespace flamingosaddle
