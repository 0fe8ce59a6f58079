#include "serverconnection.h"
#include "wire.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <utility>

namespace flamingosaddle
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr std::string_view continueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

auto malformed(const std::string &detail)
{
    return fail(ErrorKind::InvalidRequest, "the request is no valid HTTP/1.1: " + detail, "correct the client");
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

Error ServerConnection::limitError(bool inHeader)
{
    this->headTooLarge = inHeader;
    const std::size_t limit = inHeader ? this->core->limits.maxHeaderBytes : this->core->limits.maxBodyBytes;
    const std::string part = inHeader ? "header" : "body";
    return {
        ErrorKind::TooLarge, "the " + part + " of the request is over " + std::to_string(limit) + " bytes", "send a smaller one"};
}

Result<bool> ServerConnection::parseInput(Parser &parser)
{
    boost::system::error_code error;
    while (!this->input.empty() && !parser.is_done()) {
        const std::size_t used = parser.put(asio::buffer(this->input), error);
        this->input.erase(0, used);
        this->headBytes += used;
        if (!parser.is_header_done() && this->headBytes > this->core->limits.maxHeaderBytes) {
            return fail(this->limitError(true));
        }
        if (error == http::error::need_more || (!error && used == 0)) {
            // Chunk headers, their extensions and trailer fields are parsed only as a whole, so that they are kept until their
            // end.
            if (this->input.size() > this->core->limits.maxHeaderBytes) {
                return malformed("a line of its chunks is over " + std::to_string(this->core->limits.maxHeaderBytes) + " bytes");
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

asio::awaitable<Result<bool>> ServerConnection::readRequest()
{
    this->phase = Phase::Idle;
    this->currentRequest = {};
    this->headBytes = 0;
    Parser parser;
    parser.eager(true);
    parser.header_limit(static_cast<std::uint32_t>(this->core->limits.maxHeaderBytes));
    parser.body_limit(this->core->limits.maxBodyBytes);
    const Duration idleLimit = this->idleLimit();
    if (idleLimit == Duration::zero() && this->input.empty()) {
        co_return false;
    }
    this->watchdog.arm(idleLimit);
    bool inBody = false;
    while (true) {
        if (this->phase == Phase::Idle && !this->input.empty()) {
            this->phase = Phase::Reading;
            this->watchdog.arm(this->core->limits.headerTimeout);
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
            const Result<void> prepared = co_await this->prepareForBody(parser);
            if (!prepared.has_value()) {
                co_return false;
            }
        }
        const bool more = co_await this->waitForInput();
        if (!more && this->watchdog.hasExpired() && this->phase == Phase::Reading) {
            co_return fail(ErrorKind::Timeout, "the request came too slowly", "send it without pauses");
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
}

asio::awaitable<bool> ServerConnection::waitForInput()
{
    const std::size_t before = this->input.size();
    this->startRead();
    while (this->readInFlight && this->input.size() == before && !this->watchdog.hasExpired() && !this->gone) {
        boost::system::error_code ignored;
        co_await this->inputArrived.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return this->input.size() != before && !this->watchdog.hasExpired() && !this->gone;
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
        if (this->phase == Phase::Handling && this->input.size() < this->core->limits.maxHeaderBytes) {
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
