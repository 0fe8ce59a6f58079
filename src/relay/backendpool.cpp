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
// Time to read all that is left of an unneeded response; when it is exceeded, the connection is closed instead of kept.
constexpr Duration discardLimit = std::chrono::milliseconds(100);
// After this time the unchanged request is not sent again, because the deadline that it carries is out of date.
constexpr Duration resendLimit = std::chrono::milliseconds(250);
// Idle connections are dropped this long before the server closes them, so that no request is sent during the close.
constexpr Duration keepAliveMargin = std::chrono::milliseconds(500);

AttemptOutcome classifyFailure(const Error &error, bool anyByteSent)
{
    if (error.kind() == ErrorKind::Cancelled) {
        return AttemptOutcome::CallerDisconnected;
    }
    if (!anyByteSent) {
        return AttemptOutcome::NotSent;
    }
    return error.kind() == ErrorKind::Protocol ? AttemptOutcome::ServerError : AttemptOutcome::ServerFailed;
}

BackendFailure failureOf(const Error &error, bool anyByteSent)
{
    return {error, anyByteSent, classifyFailure(error, anyByteSent)};
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
    if (failure.end == AttemptOutcome::ServerFailed) {
        failure.end = AttemptOutcome::ServerError;
    }
    return failure;
}

/** Corrects the failure of a request that had been sent on another connection before. */
BackendFailure afterEarlierSend(BackendFailure failure)
{
    failure.anyByteSent = true;
    // What the failure proves holds for the last sending only; the first one may have run.
    if (failure.end == AttemptOutcome::NotSent || failure.end == AttemptOutcome::Rejected) {
        failure.end = AttemptOutcome::ServerError;
    }
    return failure;
}

/** Reads the rest of a body that nobody needs, so that the connection can be used again. */
asio::awaitable<Result<void>> discardBody(HttpConnection &connection)
{
    const TimePoint end = RuntimeClock::now() + discardLimit;
    std::string piece;
    while (RuntimeClock::now() < end) {
        const Result<bool> more = co_await connection.readBody(piece, end - RuntimeClock::now());
        if (!more.has_value()) {
            co_return fail(more.error());
        }
        if (!more.value()) {
            co_return success();
        }
    }
    co_return fail(ErrorKind::Timeout, "the rest of an unneeded response did not arrive in time", "look at the server's log");
}

Error callerGone()
{
    return {ErrorKind::Cancelled, "the caller disconnected", "nothing to do"};
}

} // namespace

void ActiveConnectionDeleter::operator()(HttpConnection *connection) const
{
    this->connections->erase(connection);
    delete connection;
}

BackendCall::BackendCall(BackendPool &pool, Endpoint endpoint, ActiveConnection connection, HttpResponseHead head,
    TimePoint deadline, DisconnectSignal &caller)
    : pool(pool)
    , endpoint(std::move(endpoint))
    , connection(std::move(connection))
    , responseHead(std::move(head))
    , deadline(deadline)
    , listener(std::make_unique<DisconnectSignal::Listener>(caller, [connection = this->connection.get()]() {
        connection->close();
    }))
{
}

const HttpResponseHead &BackendCall::head() const
{
    return this->responseHead;
}

bool BackendCall::bodyEndedWithConnection() const
{
    return this->connection && this->connection->bodyEndedWithConnection();
}

asio::awaitable<Result<bool>> BackendCall::readBody(std::string &piece, Duration timeout)
{
    // Not a coroutine itself, to save a coroutine frame for each read of a stream.
    return this->connection->readBody(piece, timeout);
}

asio::awaitable<void> BackendCall::discard()
{
    const Result<void> discarded = co_await discardBody(*this->connection);
    if (discarded.has_value()) {
        this->releaseConnection();
    }
}

void BackendCall::releaseConnection()
{
    this->listener.reset();
    if (this->connection->isReusable()) {
        this->pool.addIdleConnection(this->endpoint, std::move(this->connection), this->responseHead.headers);
    }
}

asio::awaitable<AttemptOutcome> BackendCall::classifyFailure(Error error)
{
    return this->pool.classifyFailure(std::move(error), true, this->endpoint, this->deadline);
}

BackendPool::BackendPool(BackendPoolOptions options)
    : options(options)
    , nextSweep(RuntimeClock::now() + options.idleTimeout)
{
}

asio::awaitable<BackendPool::CallResult> BackendPool::call(
    const CallParameters &order, DisconnectSignal &caller, const StepHook &step)
{
    if (RuntimeClock::now() >= this->nextSweep) {
        this->closeExpired();
    }
    step(RequestStep::Connect);
    const TimePoint start = RuntimeClock::now();
    bool wasSent = false;
    std::unique_ptr<HttpConnection> reused = order.isRepetition ? nullptr : this->takeIdleConnection(order.endpoint);
    if (reused) {
        CallResult result = co_await this->callOn(this->activate(std::move(reused)), true, order, caller, step);
        const BackendFailure *failure = std::get_if<BackendFailure>(&result);
        if (failure == nullptr || failure->end == AttemptOutcome::CallerDisconnected) {
            co_return result;
        }
        if (failure->end == AttemptOutcome::ServerFailed && this->options.confirmDeathByReconnect) {
            // The server also refused a new connection, so the failure is not that of a stale one.
            co_return result;
        }
        const bool isRejected = failure->end == AttemptOutcome::Rejected;
        const bool isRecent = RuntimeClock::now() - start < resendLimit && failure->error.kind() != ErrorKind::Timeout;
        if (isRejected || (failure->anyByteSent && (!order.idempotent || !isRecent))) {
            co_return withoutServerFailure(*failure);
        }
        if (failure->anyByteSent && order.tryResend && !order.tryResend()) {
            co_return withoutServerFailure(*failure);
        }
        wasSent = failure->anyByteSent;
    }
    CallResult result = co_await this->callOnNewConnection(order, caller, step);
    const BackendFailure *failure = std::get_if<BackendFailure>(&result);
    if (failure != nullptr && wasSent) {
        co_return afterEarlierSend(*failure);
    }
    co_return result;
}

asio::awaitable<BackendPool::CallResult> BackendPool::callOnNewConnection(
    const CallParameters &order, DisconnectSignal &caller, const StepHook &step)
{
    Result<std::unique_ptr<HttpConnection>> connected
        = co_await HttpConnection::connect(order.endpoint, this->connectTimeout(order.deadline));
    if (!connected.has_value()) {
        co_return failureOf(connected.error(), false);
    }
    if (caller.isDisconnected()) {
        co_return failureOf(callerGone(), false);
    }
    co_return co_await this->callOn(this->activate(std::move(connected.value())), false, order, caller, step);
}

asio::awaitable<BackendPool::CallResult> BackendPool::callOn(
    ActiveConnection connection, bool isReused, const CallParameters &order, DisconnectSignal &caller, const StepHook &step)
{
    auto listener = std::make_unique<DisconnectSignal::Listener>(caller, [&connection]() {
        connection->close();
    });
    step(RequestStep::FirstByteSent);
    const Result<void> sent
        = co_await connection->send(order.request, order.headTimeout, std::min(order.deadline, this->latestDeadline));
    if (!sent.has_value()) {
        co_return failureOf(sent.error(), connection->anyByteSent());
    }
    step(RequestStep::BodySent);
    if (this->options.allowBodyUntilClose) {
        connection->acceptBodyUntilClose();
    }
    Result<HttpResponseHead> head = co_await this->readMatchingHead(*connection, order, isReused);
    if (!head.has_value()) {
        const bool notExecuted = head.error().kind() == ErrorKind::Refused;
        listener.reset();
        if (notExecuted) {
            this->addIfReusable(order.endpoint, std::move(connection));
            co_return BackendFailure{head.error(), false, AttemptOutcome::Rejected};
        }
        const AttemptOutcome end = co_await this->classifyFailure(head.error(), true, order.endpoint, order.deadline);
        co_return BackendFailure{head.error(), true, end};
    }
    listener.reset();
    co_return BackendCall(*this, order.endpoint, std::move(connection), std::move(head.value()), order.deadline, caller);
}

asio::awaitable<Result<HttpResponseHead>> BackendPool::readMatchingHead(
    HttpConnection &connection, const CallParameters &order, bool isReused)
{
    for (int skipped = 0; skipped <= maxForeignResponses; ++skipped) {
        Result<HttpResponseHead> head = co_await connection.readHead(order.headTimeout);
        if (!head.has_value()) {
            co_return head;
        }
        ResponseCheck check = order.checkResponse ? order.checkResponse(order.request, head.value()) : ResponseCheck::Valid;
        if (check == ResponseCheck::UnidentifiedRejection) {
            check = isReused || skipped > 0 ? ResponseCheck::Invalid : ResponseCheck::Misdirected;
        }
        const bool isFromCalledServer = check == ResponseCheck::Valid || check == ResponseCheck::NotExecuted;
        if (isFromCalledServer && order.onResponseHead) {
            order.onResponseHead(head.value(), check == ResponseCheck::NotExecuted);
        }
        if (check == ResponseCheck::Valid) {
            co_return head;
        }
        if (check == ResponseCheck::Invalid) {
            break;
        }
        const Result<void> discarded = co_await discardBody(connection);
        if (check == ResponseCheck::NotExecuted || check == ResponseCheck::Misdirected) {
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

Duration BackendPool::connectTimeout(TimePoint deadline) const
{
    return std::min(this->options.connectTimeout, std::min(deadline, this->latestDeadline) - RuntimeClock::now());
}

asio::awaitable<AttemptOutcome> BackendPool::classifyFailure(Error error, bool anyByteSent, Endpoint endpoint, TimePoint deadline)
{
    const AttemptOutcome end = flamingosaddle::classifyFailure(error, anyByteSent);
    if (end != AttemptOutcome::ServerFailed || !this->options.confirmDeathByReconnect) {
        co_return end;
    }
    if (error.kind() != ErrorKind::ConnectionLost) {
        co_return AttemptOutcome::ServerError;
    }
    const Result<std::unique_ptr<HttpConnection>> connected
        = co_await HttpConnection::connect(std::move(endpoint), this->connectTimeout(deadline));
    co_return connected.has_value() ? AttemptOutcome::ServerError : AttemptOutcome::ServerFailed;
}

void BackendPool::limitDeadlines(TimePoint deadline)
{
    this->latestDeadline = std::min(this->latestDeadline, deadline);
    for (HttpConnection *connection : *this->activeConnections) {
        connection->limitDeadline(deadline);
    }
}

ActiveConnection BackendPool::activate(std::unique_ptr<HttpConnection> connection)
{
    this->activeConnections->insert(connection.get());
    return {connection.release(), ActiveConnectionDeleter{this->activeConnections}};
}

void BackendPool::addIfReusable(const Endpoint &endpoint, ActiveConnection connection)
{
    if (connection->isReusable()) {
        this->addIdleConnection(endpoint, std::move(connection), {});
    }
}

std::unique_ptr<HttpConnection> BackendPool::takeIdleConnection(const Endpoint &endpoint)
{
    const auto found = this->idleConnections.find(endpoint);
    if (found == this->idleConnections.end()) {
        return nullptr;
    }
    const TimePoint now = RuntimeClock::now();
    std::deque<IdleConnection> &connections = found->second;
    while (!connections.empty()) {
        IdleConnection newest = std::move(connections.back());
        connections.pop_back();
        if (newest.usableUntil > now && !newest.connection->isStale()) {
            return std::move(newest.connection);
        }
    }
    return nullptr;
}

void BackendPool::addIdleConnection(const Endpoint &endpoint, ActiveConnection connection, const HttpHeaders &response)
{
    const std::optional<Duration> keepAlive = keepAliveOf(response);
    const Duration usable
        = keepAlive.has_value() ? std::min(this->options.idleTimeout, *keepAlive - keepAliveMargin) : this->options.idleTimeout;
    if (usable <= Duration::zero()) {
        return;
    }
    std::deque<IdleConnection> &connections = this->idleConnections[endpoint];
    if (connections.size() >= this->options.maxIdlePerServer) {
        connections.pop_front();
    }
    this->activeConnections->erase(connection.get());
    connections.push_back({std::unique_ptr<HttpConnection>(connection.release()), RuntimeClock::now() + usable});
}

void BackendPool::closeExpired()
{
    const TimePoint now = RuntimeClock::now();
    this->nextSweep = now + this->options.idleTimeout;
    for (auto entry = this->idleConnections.begin(); entry != this->idleConnections.end();) {
        std::erase_if(entry->second, [now](const IdleConnection &connection) {
            return connection.usableUntil <= now;
        });
        entry = entry->second.empty() ? this->idleConnections.erase(entry) : std::next(entry);
    }
}

std::size_t BackendPool::idleConnectionCount() const
{
    std::size_t count = 0;
    for (const auto &[endpoint, connections] : this->idleConnections) {
        count += connections.size();
    }
    return count;
}

} // namespace flamingosaddle
