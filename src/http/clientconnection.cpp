#include "clientconnection.h"

#include "wire.h"

#include <flamingosaddle/base/timer.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <limits>
#include <utility>

namespace flamingosaddle
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr std::uint32_t maxHeadBytes = 64 * 1024;
// Chunk headers, their extensions and trailer fields are parsed only as a whole, so that they are kept until their end.
constexpr std::size_t maxUnparsedBytes = maxHeadBytes;
constexpr int firstStatus = 100;
constexpr int switchingProtocols = 101;
constexpr int firstFinalStatus = 200;

/**
 * A body that the parser appends to a string of its owner, piece by piece.
 */
struct AppendingBody {
    using value_type = std::string *;

    class reader // NOLINT(readability-identifier-naming): the name that Beast looks for
    {
    public:
        template <bool isRequest, class Fields>
        reader(http::header<isRequest, Fields> &, value_type &target)
            : target(target)
        {
        }

        void init(const boost::optional<std::uint64_t> &, boost::system::error_code &error)
        {
            error = {};
        }

        template <class Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &error)
        {
            error = {};
            std::size_t count = 0;
            for (auto it = asio::buffer_sequence_begin(buffers); it != asio::buffer_sequence_end(buffers); ++it) {
                const asio::const_buffer part(*it);
                this->target->append(static_cast<const char *>(part.data()), part.size());
                count += part.size();
            }
            return count;
        }

        void finish(boost::system::error_code &error)
        {
            error = {};
        }

    private:
        value_type &target;
    };
};

// A path that drops packets silently is noticed by the kernel: sent bytes that nobody acknowledges, and probes of a
// connection on which nothing moves.
constexpr int unacknowledgedLimitMilliseconds = 5000;
constexpr int probeAfterSeconds = 5;
constexpr int probeIntervalSeconds = 2;
constexpr int probeCount = 3;

void noticeDeadPaths(int socket)
{
    const auto set = [socket](int level, int option, int value) {
        ::setsockopt(socket, level, option, &value, sizeof value);
    };
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, probeAfterSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, probeCount);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedLimitMilliseconds);
}

bool needsLength(const HttpRequest &request)
{
    return !request.payload().empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
}

} // namespace

struct ClientConnection::Parser : http::response_parser<AppendingBody> {
};

/**
 * A request that is written while the connection waits for its response.
 */
struct ClientConnection::Upload {
    std::string head;
    std::array<asio::const_buffer, 2> rest; // of the head and of the body, which belongs to the request
    std::size_t sentBytes = 0;
    boost::system::error_code error;
    bool hasInput = false; // whether the server has sent something, or closed
    bool isAbandoned = false; // whether the connection is gone or carries another request
    std::shared_ptr<Timer> waiting; // set while send() waits

    bool isWritten() const
    {
        return asio::buffer_size(this->rest) == 0;
    }

    void consume(std::size_t count)
    {
        this->sentBytes += count;
        for (asio::const_buffer &buffer : this->rest) {
            const std::size_t used = std::min(count, buffer.size());
            buffer += used;
            count -= used;
        }
    }

    void wake() const
    {
        if (this->waiting) {
            this->waiting->cancel();
        }
    }
};

ClientConnection::ClientConnection(tcp::socket socket, std::string host)
    : socket(std::move(socket))
    , host(std::move(host))
    , watchdog(this->socket.get_executor(), [this]() {
        boost::system::error_code ignored;
        this->socket.close(ignored);
    })
{
    boost::system::error_code ignored;
    this->socket.set_option(tcp::no_delay(true), ignored);
    this->socket.non_blocking(true, ignored);
    noticeDeadPaths(this->socket.native_handle());
}

ClientConnection::~ClientConnection()
{
    if (this->upload) {
        this->upload->isAbandoned = true;
    }
}

std::string ClientConnection::headOf(const HttpRequest &request) const
{
    HttpRequest head{request.method, request.target, request.headers, {}, {}};
    head.headers.remove("Content-Length");
    head.headers.remove("Transfer-Encoding");
    if (!head.headers.has("Host")) {
        head.headers.add("Host", this->host);
    }
    if (needsLength(request)) {
        head.headers.add("Content-Length", std::to_string(request.payload().size()));
    }
    return requestHead(head);
}

Error ClientConnection::failure(const boost::system::error_code &error) const
{
    if (this->closedByUs) {
        return {ErrorKind::Cancelled, "the connection to " + this->host + " was closed", "nothing to do"};
    }
    if (this->watchdog.hasExpired()) {
        return {ErrorKind::Timeout, this->host + " did not respond in time", "look at the load of the server"};
    }
    return {
        ErrorKind::ConnectionLost, "the connection to " + this->host + " broke: " + error.message(), "look at the server's log"};
}

void ClientConnection::startWait(TimePoint until)
{
    this->waitEnd = until;
    this->watchdog.arm(std::min(until, this->deadline) - RuntimeClock::now());
}

void ClientConnection::endWait()
{
    this->waitEnd.reset();
    this->watchdog.disarm();
}

void ClientConnection::limitDeadline(TimePoint deadline)
{
    this->deadline = std::min(this->deadline, deadline);
    if (this->waitEnd.has_value()) {
        this->startWait(*this->waitEnd);
    }
}

asio::awaitable<Result<void>> ClientConnection::send(const HttpRequest &request, Duration timeout, TimePoint deadline)
{
    this->deadline = deadline;
    this->headBytes = 0;
    this->wholeAnswer = false;
    this->bodyEnded = false;
    this->headRequest = request.method == "HEAD";
    this->parser.reset();
    this->body.clear();
    if (this->upload) {
        this->upload->isAbandoned = true;
    }
    this->upload = std::make_shared<Upload>();
    this->upload->head = this->headOf(request);
    this->upload->rest = {asio::buffer(this->upload->head), asio::buffer(request.payload())};
    this->startWait(RuntimeClock::now() + timeout);
    this->writeUpload();
    if (!this->upload->isWritten() && !this->upload->error) {
        co_await this->awaitUploadOrInput();
    }
    boost::system::error_code ignored;
    // What the server sent before it reset the connection can still be read.
    const bool isLost = this->upload->error && this->socket.available(ignored) == 0;
    if (isLost) {
        const Error reason = this->failure(this->upload->error);
        this->endWait();
        co_return fail(reason);
    }
    this->endWait();
    co_return success();
}

void ClientConnection::writeUpload()
{
    Upload &upload = *this->upload;
    while (!upload.isWritten() && !upload.error) {
        boost::system::error_code error;
        upload.consume(this->socket.write_some(upload.rest, error));
        if (error == asio::error::would_block) {
            this->writeUploadWhenReady();
            return;
        }
        upload.error = error;
    }
    upload.wake();
}

void ClientConnection::writeUploadWhenReady()
{
    this->socket.async_wait(tcp::socket::wait_write, [this, upload = this->upload](const boost::system::error_code &error) {
        if (upload->isAbandoned) {
            return;
        }
        upload->error = error;
        this->writeUpload();
    });
}

asio::awaitable<void> ClientConnection::awaitUploadOrInput()
{
    const std::shared_ptr<Upload> current = this->upload;
    this->socket.async_wait(tcp::socket::wait_read, [current](const boost::system::error_code &error) {
        current->hasInput = !error;
        current->wake();
    });
    current->waiting = std::make_shared<Timer>(this->socket.get_executor(), TimePoint::max());
    while (!current->isWritten() && !current->error && !current->hasInput) {
        boost::system::error_code ignored;
        co_await current->waiting->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    current->waiting.reset();
}

Result<void> ClientConnection::takeRead(const boost::system::error_code &error, std::size_t count)
{
    if (error) {
        const Error reason = this->failure(error);
        this->endWait();
        return fail(reason);
    }
    this->endWait();
    this->input.append(this->readBuffer.data(), count);
    return success();
}

Result<void> ClientConnection::parseInput()
{
    const bool toHead = !this->parser->is_header_done();
    std::size_t used = 0;
    boost::system::error_code error;
    while (used < this->input.size() && !this->parser->is_done() && toHead != this->parser->is_header_done()) {
        const asio::const_buffer rest(this->input.data() + used, this->input.size() - used);
        const std::size_t count = this->parser->put(rest, error);
        used += count;
        if (error || count == 0) {
            break;
        }
    }
    this->input.erase(0, used);
    this->headBytes += toHead ? used : 0;
    if (error && error != http::error::need_more) {
        return fail(ErrorKind::Protocol, this->host + " sent no valid HTTP/1.1: " + error.message(), "correct the server");
    }
    if (this->headBytes > maxHeadBytes) {
        return fail(ErrorKind::Protocol,
            this->host + " sent over " + std::to_string(maxHeadBytes) + " bytes of interim responses", "correct the server");
    }
    if (this->input.size() > maxUnparsedBytes) {
        return fail(ErrorKind::Protocol,
            this->host + " sent over " + std::to_string(maxUnparsedBytes) + " bytes that are no part of an HTTP/1.1 response yet",
            "correct the server");
    }
    return success();
}

Result<bool> ClientConnection::finishHead()
{
    const auto status = static_cast<int>(this->parser->get().result_int());
    // Requests ask for no other protocol.
    if (status < firstStatus || status == switchingProtocols) {
        return fail(ErrorKind::Protocol, this->host + " sent the status " + std::to_string(status) + ", which is no response",
            "correct the server");
    }
    if (status < firstFinalStatus) {
        // An interim answer; the real one follows.
        this->parser.reset();
        return false;
    }
    this->parser->eager(true);
    return true;
}

asio::awaitable<Result<HttpResponseHead>> ClientConnection::readHead(Duration timeout)
{
    const TimePoint until = RuntimeClock::now() + timeout;
    boost::system::error_code error;
    if (std::exchange(this->wholeAnswer, false)) {
        // Another answer than the last one is asked for.
        this->parser.reset();
        this->headBytes = 0;
    }
    while (true) {
        if (!this->parser) {
            this->parser = std::make_unique<Parser>();
            this->parser->get().body() = &this->body;
            this->parser->header_limit(maxHeadBytes);
            this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
            this->parser->skip(this->headRequest);
        }
        const Result<void> parsed = this->parseInput();
        if (!parsed.has_value()) {
            co_return fail(parsed.error());
        }
        if (this->parser->is_header_done()) {
            const Result<bool> isFinal = this->finishHead();
            if (!isFinal.has_value()) {
                co_return fail(isFinal.error());
            }
            if (isFinal.value()) {
                break;
            }
            continue;
        }
        this->startWait(until);
        const std::size_t count = co_await this->socket.async_read_some(
            asio::buffer(this->readBuffer), asio::redirect_error(asio::use_awaitable, error));
        const Result<void> read = this->takeRead(error, count);
        if (!read.has_value()) {
            co_return fail(read.error());
        }
    }
    const auto &message = this->parser->get();
    co_return HttpResponseHead{static_cast<int>(message.result_int()), headersFrom(message)};
}

asio::awaitable<Result<bool>> ClientConnection::readBody(std::string &piece, Duration timeout)
{
    const TimePoint until = RuntimeClock::now() + timeout;
    boost::system::error_code error;
    piece.clear();
    if (!this->parser || !this->parser->is_header_done()) {
        co_return fail(ErrorKind::Internal, "the head of the answer was not read", "call readHead() first");
    }
    while (true) {
        const Result<void> parsed = this->parseInput();
        if (!parsed.has_value()) {
            co_return fail(parsed.error());
        }
        if (!this->body.empty()) {
            // The two strings change places, so that neither allocates anew.
            std::swap(piece, this->body);
            co_return true;
        }
        if (this->parser->is_done()) {
            this->wholeAnswer = true;
            co_return false;
        }
        this->startWait(until);
        const std::size_t count = co_await this->socket.async_read_some(
            asio::buffer(this->readBuffer), asio::redirect_error(asio::use_awaitable, error));
        if (this->endsWithConnection(error)) {
            this->endWait();
            this->bodyEnded = true;
            co_return false;
        }
        const Result<void> read = this->takeRead(error, count);
        if (!read.has_value()) {
            co_return fail(read.error());
        }
    }
}

bool ClientConnection::endsWithConnection(const boost::system::error_code &error)
{
    // A server that has not received the whole request cannot have ended its response in order.
    return error == asio::error::eof && this->bodyMayEndWithConnection && this->parser->need_eof()
        && this->isRequestAcknowledged();
}

bool ClientConnection::isRequestAcknowledged() const
{
    int unacknowledgedBytes = 0;
    // A system that cannot tell leaves the count at 0.
    (void)::ioctl(this->nativeHandle(), SIOCOUTQ, &unacknowledgedBytes);
    return this->isRequestSent() && unacknowledgedBytes == 0;
}

void ClientConnection::acceptBodyUntilClose()
{
    this->bodyMayEndWithConnection = true;
}

void ClientConnection::close()
{
    this->closedByUs = true;
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

bool ClientConnection::anyByteSent() const
{
    return this->upload && this->upload->sentBytes > 0;
}

bool ClientConnection::isRequestSent() const
{
    return this->upload && this->upload->isWritten();
}

bool ClientConnection::bodyEndedWithConnection() const
{
    return this->bodyEnded;
}

bool ClientConnection::isReusable() const
{
    return this->socket.is_open() && this->wholeAnswer && this->isRequestSent() && this->parser && this->parser->keep_alive();
}

bool ClientConnection::isStale() const
{
    if (!this->socket.is_open() || !this->input.empty()) {
        return true;
    }
    char byte = 0;
    const ssize_t count = ::recv(this->nativeHandle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return !(count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

int ClientConnection::nativeHandle() const
{
    return const_cast<tcp::socket &>(this->socket).native_handle();
}

} // namespace flamingosaddle
