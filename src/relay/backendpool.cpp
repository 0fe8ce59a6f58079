#include <flamingosaddle/relay/backendpool.h>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace flamingosaddle
{

namespace asio = boost::asio;

namespace
{

// Responses to earlier requests that are skipped before a connection is abandoned.
constexpr int maxForeignResponses = 2;
// Time to read the rest of an unneeded response; when it is exceeded, the connection is closed instead of kept.
constexpr Duration discardTimeout = std::chrono::milliseconds(100);
// After this time the unchanged request is not sent again, because the deadline that it carries is out of date.
constexpr Duration resendLimit = std::chrono::milliseconds(250);
// Idle connections are dropped this long before the server closes them, so that no request is sent during the close.
constexpr Duration keepAliveMargin = std::chrono::milliseconds(500);

AttemptEnd endOf(const Error &error, bool anyByteSent)
{
    if (error.kind() == ErrorKind::Cancelled) {
        return AttemptEnd::CallerGone;
    }
    if (!anyByteSent) {
        return AttemptEnd::NotSent;
    }
    return error.kind() == ErrorKind::Protocol ? AttemptEnd::ServerError : AttemptEnd::ServerFailed;
}

BackendFailure failureOf(const Error &error, bool anyByteSent)
{
    return {error, anyByteSent, endOf(error, anyByteSent)};
}

/** Returns how long the server keeps an idle connection according to its response, if it says so. */
std::optional<Duration> keepAliveOf(const HttpHeaders &response)
{
    constexpr std::string_view parameter = "timeout=";
    const std::string_view value = response.find("Keep-Alive");
    const std::size_t position = value.find(parameter);
    int seconds = 0;
    if (position == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view number = value.substr(position + parameter.size());
    const auto read = std::from_chars(number.data(), number.data() + number.size(), seconds);
    return read.ec == std::errc() ? std::optional<Duration>(std::chrono::seconds(seconds)) : std::nullopt;
}

/** Downgrades the failure of a reused connection, where either the server or the connection may be at fault. */
BackendFailure withoutServerFailure(BackendFailure failure)
{
    if (failure.end == AttemptEnd::ServerFailed) {
        failure.end = AttemptEnd::ServerError;
    }
    return failure;
}

Error callerGone()
{
    return {ErrorKind::Cancelled, "the caller disconnected", "nothing to do"};
}

} // namespace

BackendCall::BackendCall(
    BackendPool &pool, Endpoint endpoint, std::unique_ptr<HttpConnection> connection, HttpResponseHead head, CallerSignal &caller)
    : pool(pool)
    , endpoint(std::move(endpoint))
    , connection(std::move(connection))
    , responseHead(std::move(head))
    , listener(std::make_unique<CallerSignal::Listener>(caller, [connection = this->connection.get()]() {
        connection->close();
    }))
{
}

const HttpResponseHead &BackendCall::head() const
{
    return this->responseHead;
}

asio::awaitable<Result<bool>> BackendCall::readBody(std::string &piece, Duration timeout)
{
    // Not a coroutine itself, to save a coroutine frame for each read of a stream.
    return this->connection->readBody(piece, timeout);
}

void BackendCall::release()
{
    this->listener.reset();
    if (this->connection->isReusable()) {
        this->pool.putIdle(this->endpoint, std::move(this->connection), this->responseHead.headers);
    }
}

asio::awaitable<AttemptEnd> BackendCall::endOf(Error error)
{
    return this->pool.endAfter(std::move(error), true, this->endpoint);
}

BackendPool::BackendPool(BackendPoolOptions options)
    : options(options)
    , nextSweep(RuntimeClock::now() + options.idleLimit)
{
}

asio::awaitable<BackendPool::Answer> BackendPool::call(const Order &order, CallerSignal &caller, const StepHook &step)
{
    if (RuntimeClock::now() >= this->nextSweep) {
        this->dropExpired();
    }
    step(RequestStep::Connect);
    const TimePoint start = RuntimeClock::now();
    std::unique_ptr<HttpConnection> reused = this->takeIdle(order.endpoint);
    if (reused) {
        Answer result = co_await this->callOn(std::move(reused), order, caller, step);
        const BackendFailure *failure = std::get_if<BackendFailure>(&result);
        if (failure == nullptr || failure->end == AttemptEnd::CallerGone) {
            co_return result;
        }
        const bool isRejected = failure->end == AttemptEnd::Rejected;
        const bool isRecent = RuntimeClock::now() - start < resendLimit && failure->error.kind() != ErrorKind::Timeout;
        if (isRejected || (failure->anyByteSent && (!order.idempotent || !isRecent))) {
            co_return withoutServerFailure(*failure);
        }
    }
    co_return co_await this->callOnFresh(order, caller, step);
}

asio::awaitable<BackendPool::Answer> BackendPool::callOnFresh(const Order &order, CallerSignal &caller, const StepHook &step)
{
    Result<std::unique_ptr<HttpConnection>> connected
        = co_await HttpConnection::connect(order.endpoint, this->options.connectTimeout);
    if (!connected.has_value()) {
        co_return failureOf(connected.error(), false);
    }
    if (caller.isGone()) {
        co_return failureOf(callerGone(), false);
    }
    co_return co_await this->callOn(std::move(connected.value()), order, caller, step);
}

asio::awaitable<BackendPool::Answer> BackendPool::callOn(
    std::unique_ptr<HttpConnection> connection, const Order &order, CallerSignal &caller, const StepHook &step)
{
    auto listener = std::make_unique<CallerSignal::Listener>(caller, [&connection]() {
        connection->close();
    });
    step(RequestStep::FirstByteSent);
    const Result<void> sent = co_await connection->send(order.request, order.headTimeout);
    if (!sent.has_value()) {
        co_return failureOf(sent.error(), connection->anyByteSent());
    }
    step(RequestStep::BodySent);
    if (this->options.answersMayEndWithConnection) {
        connection->acceptBodyUntilClose();
    }
    Result<HttpResponseHead> head = co_await this->readOwnHead(*connection, order);
    if (!head.has_value()) {
        const bool notExecuted = head.error().kind() == ErrorKind::Refused;
        listener.reset();
        if (notExecuted) {
            this->keepIfWhole(order.endpoint, std::move(connection));
            co_return BackendFailure{head.error(), false, AttemptEnd::Rejected};
        }
        const AttemptEnd end = co_await this->endAfter(head.error(), true, order.endpoint);
        co_return BackendFailure{head.error(), true, end};
    }
    listener.reset();
    co_return BackendCall(*this, order.endpoint, std::move(connection), std::move(head.value()), caller);
}

asio::awaitable<Result<HttpResponseHead>> BackendPool::readOwnHead(HttpConnection &connection, const Order &order)
{
    for (int skipped = 0; skipped <= maxForeignResponses; ++skipped) {
        Result<HttpResponseHead> head = co_await connection.readHead(order.headTimeout);
        if (!head.has_value() || !order.judge) {
            co_return head;
        }
        const AnswerVerdict check = order.judge(order.request, head.value());
        if (check == AnswerVerdict::Genuine) {
            co_return head;
        }
        if (check == AnswerVerdict::Spoilt) {
            break;
        }
        const Result<void> discarded = co_await this->skipBody(connection);
        if (check == AnswerVerdict::NotExecuted) {
            const std::string status = std::to_string(head.value().status);
            co_return fail(ErrorKind::Refused, "the backend server rejected the request without running it: status " + status,
                "try again later");
        }
        if (!discarded.has_value()) {
            break;
        }
    }
    co_return fail(ErrorKind::Protocol, "the backend server's response does not belong to this request", "check its log");
}

asio::awaitable<Result<void>> BackendPool::skipBody(HttpConnection &connection)
{
    std::string piece;
    while (true) {
        const Result<bool> more = co_await connection.readBody(piece, discardTimeout);
        if (!more.has_value()) {
            co_return fail(more.error());
        }
        if (!more.value()) {
            co_return done();
        }
    }
}

asio::awaitable<AttemptEnd> BackendPool::endAfter(Error error, bool anyByteSent, Endpoint endpoint)
{
    const AttemptEnd end = flamingosaddle::endOf(error, anyByteSent);
    if (end != AttemptEnd::ServerFailed || !this->options.confirmsDeath) {
        co_return end;
    }
    if (error.kind() != ErrorKind::ConnectionLost) {
        co_return AttemptEnd::ServerError;
    }
    const Result<std::unique_ptr<HttpConnection>> connected
        = co_await HttpConnection::connect(std::move(endpoint), this->options.connectTimeout);
    co_return connected.has_value() ? AttemptEnd::ServerError : AttemptEnd::ServerFailed;
}

void BackendPool::keepIfWhole(const Endpoint &endpoint, std::unique_ptr<HttpConnection> connection)
{
    if (connection->isReusable()) {
        this->putIdle(endpoint, std::move(connection), {});
    }
}

std::unique_ptr<HttpConnection> BackendPool::takeIdle(const Endpoint &endpoint)
{
    const auto found = this->idle.find(endpoint);
    if (found == this->idle.end()) {
        return nullptr;
    }
    const TimePoint now = RuntimeClock::now();
    std::deque<Idle> &connections = found->second;
    while (!connections.empty()) {
        Idle newest = std::move(connections.back());
        connections.pop_back();
        if (newest.usableUntil > now && !newest.connection->isStale()) {
            return std::move(newest.connection);
        }
    }
    return nullptr;
}

void BackendPool::putIdle(const Endpoint &endpoint, std::unique_ptr<HttpConnection> connection, const HttpHeaders &response)
{
    const std::optional<Duration> keepAlive = keepAliveOf(response);
    const Duration usable
        = keepAlive.has_value() ? std::min(this->options.idleLimit, *keepAlive - keepAliveMargin) : this->options.idleLimit;
    if (usable <= Duration::zero()) {
        return;
    }
    std::deque<Idle> &connections = this->idle[endpoint];
    if (connections.size() >= this->options.maxIdlePerServer) {
        connections.pop_front();
    }
    connections.push_back({std::move(connection), RuntimeClock::now() + usable});
}

void BackendPool::dropExpired()
{
    const TimePoint now = RuntimeClock::now();
    this->nextSweep = now + this->options.idleLimit;
    for (auto entry = this->idle.begin(); entry != this->idle.end();) {
        std::erase_if(entry->second, [now](const Idle &connection) {
            return connection.usableUntil <= now;
        });
        entry = entry->second.empty() ? this->idle.erase(entry) : std::next(entry);
    }
}

std::size_t BackendPool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[endpoint, connections] : this->idle) {
        count += connections.size();
    }
    return count;
}

} // namespace flamingosaddle
