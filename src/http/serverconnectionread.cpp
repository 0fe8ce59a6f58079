#include "serverconnection.h"
#include "wire.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

// What a field takes beyond its text, in the parser and in the requests that are made of it.
constexpr std::size_t bytesPerField = 256;

constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::string_view continueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

auto malformed(const std::string &detail)
{
    return fail(ErrorKind::InvalidRequest, "the request is no valid HTTP/1.1: " + detail, "correct the client");
}

std::size_t linesIn(std::string_view text)
{
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

/** A body of an unknown transfer coding would be taken for no body, and its bytes for the next request. */
Result<void> checkFraming(const http::request_header<> &head)
{
    const auto codings = head.equal_range(http::field::transfer_encoding);
    for (auto coding = codings.first; coding != codings.second; ++coding) {
        const std::string value(coding->value());
        if (!equalHeaderNames(value, "chunked")) {
            return malformed("its transfer coding '" + value + "' is unknown");
        }
    }
    return success();
}

} // namespace

struct ServerConnection::Parser : http::request_parser<http::string_body> {
};

std::size_t ServerConnection::neededBytes(const Parser &parser) const
{
    const std::string &body = parser.get().body();
    std::size_t bytes = body.size();
    if (parser.chunked()) {
        // Its string grows to twice its size at a time.
        const std::size_t grown = body.size() + readBytes > body.capacity() ? 2 * body.capacity() : 0;
        bytes = std::max(body.capacity(), grown);
    }
    // A forwarded request is copied without the fields of its forwarding.
    bytes *= this->core->memoryOwner == MemoryOwner::Forwarded ? 2 : 1;
    return bytes + this->fieldBytes + this->input.size() + readBytes;
}

void ServerConnection::countFields(const Parser &parser)
{
    if (!parser.is_header_done()) {
        // Requests that were sent ahead follow the head.
        const std::string_view unparsed = this->input;
        this->fieldBytes = bytesPerField * (this->parsedLines + linesIn(unparsed.substr(0, unparsed.find(headEnd))));
    }
}

Error ServerConnection::timeoutError()
{
    return this->memoryRefusal.has_value() ? this->memoryError()
                                           : Error(ErrorKind::Timeout, "the request came too slowly", "send it without pauses");
}

Error ServerConnection::limitError(bool inHeader)
{
    this->headTooLarge = inHeader;
    const std::size_t limit = inHeader ? this->core->callerLimits.maxHeaderBytes : this->core->callerLimits.maxBodyBytes;
    const std::string part = inHeader ? "header" : "body";
    return {
        ErrorKind::TooLarge, "the " + part + " of the request is over " + std::to_string(limit) + " bytes", "send a smaller one"};
}

Result<bool> ServerConnection::parseInput(Parser &parser)
{
    boost::system::error_code error;
    const std::size_t maxHeaderBytes = this->core->callerLimits.maxHeaderBytes;
    while (!this->input.empty() && !parser.is_done()) {
        const bool isInHead = !parser.is_header_done();
        const std::size_t used = parser.put(asio::buffer(this->input), error);
        this->parsedLines += isInHead ? linesIn(std::string_view(this->input).substr(0, used)) : 0;
        this->input.erase(0, used);
        this->headBytes += used;
        if (!parser.is_header_done() && this->headBytes > maxHeaderBytes) {
            return fail(this->limitError(true));
        }
        if (error == http::error::need_more || (!error && used == 0)) {
            // Chunk headers, their extensions and trailer fields are parsed only as a whole, so that they are kept until their
            // end.
            if (this->input.size() > maxHeaderBytes) {
                return malformed("a line of its chunks is over " + std::to_string(maxHeaderBytes) + " bytes");
            }
            return false;
        }
        if (error == http::error::header_limit) {
            return fail(this->limitError(true));
        }
        if (error == http::error::body_limit) {
            return fail(this->limitError(false));
        }
        if (error) {
            return malformed(error.message());
        }
    }
    return parser.is_done();
}

asio::awaitable<Result<void>> ServerConnection::prepareForBody(Parser &parser)
{
    if (parser.get()[http::field::expect] == "100-continue") {
        const Result<void> written = co_await this->write(gather(continueAnswer));
        if (!written.has_value()) {
            co_return written;
        }
    }
    this->watchdog.arm(this->core->limits.bodyTimeout);
    co_return success();
}

void ServerConnection::beginReading(Parser &parser)
{
    this->phase = Phase::Reading;
    // The limits may have changed while the connection was idle.
    parser.header_limit(static_cast<std::uint32_t>(this->core->callerLimits.maxHeaderBytes.load()));
    parser.body_limit(this->core->callerLimits.maxBodyBytes.load());
    this->waitsSince = RuntimeClock::now();
    this->watchdog.arm(this->core->callerLimits.headerTimeout);
}

asio::awaitable<Result<bool>> ServerConnection::readRequest()
{
    this->phase = Phase::Idle;
    this->currentRequest = {};
    this->heldBack = {};
    this->releaseMemory();
    if (this->input.empty() && this->input.capacity() > readBytes) {
        this->input = {};
    }
    this->waitsSince = RuntimeClock::now();
    this->headBytes = 0;
    this->parsedLines = 0;
    this->hasLateRead = false;
    Parser parser;
    parser.eager(true);
    const Duration idleLimit = this->idleLimit();
    if (idleLimit == Duration::zero() && this->input.empty()) {
        co_return false;
    }
    this->watchdog.arm(idleLimit);
    bool inBody = false;
    while (true) {
        if (this->phase == Phase::Idle && !this->input.empty()) {
            this->beginReading(parser);
        }
        this->countFields(parser);
        const std::size_t needed = this->neededBytes(parser);
        if (needed > std::max(this->grantedBytes, uncountedBytes)) {
            const bool isGranted = co_await this->awaitMemory(needed);
            if (!isGranted && this->gone) {
                co_return false;
            }
            if (!isGranted) {
                co_return fail(this->timeoutError());
            }
        }
        const Result<bool> whole = this->parseInput(parser);
        if (!whole.has_value()) {
            co_return fail(whole.error());
        }
        if (whole.value()) {
            const Result<void> framed = checkFraming(parser.get());
            if (!framed.has_value()) {
                co_return fail(framed.error());
            }
            break;
        }
        if (parser.is_header_done() && !inBody) {
            inBody = true;
            const Result<void> framed = checkFraming(parser.get());
            if (!framed.has_value()) {
                co_return fail(framed.error());
            }
            const Result<bool> accepted = co_await this->checkHead(parser);
            if (!accepted.has_value() || !accepted.value()) {
                co_return accepted;
            }
            const Result<void> prepared = co_await this->prepareForBody(parser);
            if (!prepared.has_value()) {
                co_return false;
            }
        }
        const bool more = co_await this->waitForInput();
        const bool isTooSlow = this->watchdog.hasExpired() || this->memoryRefusal.has_value();
        if (!more && isTooSlow && this->phase == Phase::Reading && !this->gone) {
            co_return fail(this->timeoutError());
        }
        if (!more && this->phase == Phase::Reading && !this->gone) {
            co_return malformed("it ends before its end");
        }
        if (!more) {
            co_return false;
        }
    }
    this->watchdog.disarm();
    this->takeRequest(parser);
    co_return true;
}

void ServerConnection::takeRequest(Parser &parser)
{
    this->requestReceivedAt = this->receiveTimes.takeUntil(this->receiveTimes.received() - this->input.size());
    auto &message = parser.get();
    this->version = message.version();
    this->keepAlive = parser.keep_alive();
    this->currentRequest.method = std::string(message.method_string());
    this->currentRequest.target = std::string(message.target());
    this->currentRequest.headers = headersFrom(message);
    this->currentRequest.body = std::move(message.body());
    this->waitsSince = TimePoint::max();
    if (this->holder.has_value()) {
        const std::size_t copies = this->core->memoryOwner == MemoryOwner::Forwarded ? 2 : 1;
        this->requestBytes = copies * this->currentRequest.body.capacity() + this->fieldBytes;
        this->setHeld(this->requestBytes);
        this->beginPhase(MemoryAccount::Phase::Owed);
    }
}

asio::awaitable<Result<bool>> ServerConnection::checkHead(Parser &parser)
{
    if (!this->core->checkHead) {
        co_return true;
    }
    const auto &message = parser.get();
    HttpRequest head;
    head.method = std::string(message.method_string());
    head.target = std::string(message.target());
    head.headers = headersFrom(message);
    HeadDecision decision = this->core->checkHead(head);
    if (!decision.refusal.has_value()) {
        if (this->core->memory && !decision.clientAccount.empty()) {
            this->openHolder();
            this->core->memory->identify(*this->holder, decision.clientAccount);
        }
        co_return true;
    }
    // The body isn't read for an answer that the head decides.
    this->version = message.version();
    this->currentRequest = std::move(head);
    this->phase = Phase::Closing;
    this->answer = Answer::None;
    this->keepAlive = false;
    this->input = {};
    const Result<void> written = co_await this->respond(std::move(*decision.refusal));
    if (written.has_value()) {
        co_await this->lingeringClose();
    }
    co_return false;
}

asio::awaitable<bool> ServerConnection::waitForInput()
{
    const std::size_t before = this->input.size();
    if (before == 0 && this->phase == Phase::Reading) {
        // Of the request that is being read, only the time of its last byte counts.
        this->receiveTimes.takeUntil(this->receiveTimes.received());
    }
    const auto isWaiting = [this, before] {
        return this->input.size() == before && !this->watchdog.hasExpired() && !this->gone && !this->memoryRefusal.has_value();
    };
    this->startRead();
    while (this->readInFlight && isWaiting()) {
        boost::system::error_code ignored;
        co_await this->inputArrived.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return this->input.size() != before && !this->watchdog.hasExpired() && !this->gone && !this->memoryRefusal.has_value();
}

void ServerConnection::startRead()
{
    if (this->readInFlight || this->inputEnded || this->gone) {
        return;
    }
    this->readInFlight = true;
    this->socket.async_read_some(asio::buffer(this->readBuffer),
        [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t count) {
            self->finishRead(error, count);
        });
}

void ServerConnection::finishRead(const boost::system::error_code &error, std::size_t count)
{
    this->readInFlight = false;
    this->input.append(this->readBuffer.data(), count);
    this->receiveTimes.recordRead(count, RuntimeClock::now());
    this->inputArrived.cancel();
    if (!error) {
        // Bytes of a pipelined request wait, up to a limit; beyond it the caller's end is noticed by a failed write.
        if (this->phase == Phase::Handling && this->input.size() < maxAheadBytes) {
            this->startRead();
        }
        return;
    }
    this->inputEnded = true;
    if (this->phase == Phase::Handling) {
        this->markGone();
    }
}

} // namespace flamingosaddle
