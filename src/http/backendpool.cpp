#include <flamingosaddle/http/backendpool.h>

#include <utility>

namespace flamingosaddle
{

namespace asio = boost::asio;

namespace
{

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

/** A failure of a reused connection does not show whether the server or the connection is at fault. */
BackendFailure withoutVerdict(BackendFailure failure)
{
    if (failure.end == AttemptEnd::ServerFailed) {
        failure.end = AttemptEnd::ServerError;
    }
    return failure;
}

Error callerGone()
{
    return {ErrorKind::Cancelled, "the caller has gone", "nothing to do"};
}

} // namespace

BackendCall::BackendCall(
    BackendPool &pool, Endpoint endpoint, std::unique_ptr<HttpConnection> connection, HttpResponseHead head, CallerSignal &caller)
    : pool(pool)
    , endpoint(std::move(endpoint))
    , connection(std::move(connection))
    , responseHead(std::move(head))
    , listener(std::make_unique<CallerSignal::Listener>(caller, [open = this->connection.get()]() {
        open->close();
    }))
{
}

const HttpResponseHead &BackendCall::head() const
{
    return this->responseHead;
}

asio::awaitable<Result<bool>> BackendCall::readBody(std::string &piece, Duration timeout)
{
    // Without a coroutine of its own: this runs for each piece of a stream.
    return this->connection->readBody(piece, timeout);
}

void BackendCall::release()
{
    this->listener.reset();
    if (this->connection->isReusable()) {
        this->pool.putIdle(this->endpoint, std::move(this->connection));
    }
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
    std::unique_ptr<HttpConnection> reused = this->takeIdle(order.endpoint);
    if (reused) {
        Answer answer = co_await this->callOn(std::move(reused), order, caller, step);
        const BackendFailure *failure = std::get_if<BackendFailure>(&answer);
        if (failure == nullptr || failure->end == AttemptEnd::CallerGone) {
            co_return answer;
        }
        if (failure->anyByteSent && !order.idempotent) {
            co_return withoutVerdict(*failure);
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
    Result<HttpResponseHead> head = co_await connection->readHead(order.headTimeout);
    if (!head.has_value()) {
        co_return failureOf(head.error(), true);
    }
    listener.reset();
    co_return BackendCall(*this, order.endpoint, std::move(connection), std::move(head.value()), caller);
}

std::unique_ptr<HttpConnection> BackendPool::takeIdle(const Endpoint &endpoint)
{
    const auto found = this->idle.find(endpoint);
    if (found == this->idle.end()) {
        return nullptr;
    }
    const TimePoint oldest = RuntimeClock::now() - this->options.idleLimit;
    std::deque<Idle> &connections = found->second;
    while (!connections.empty()) {
        Idle newest = std::move(connections.back());
        connections.pop_back();
        if (newest.since > oldest && !newest.connection->isStale()) {
            return std::move(newest.connection);
        }
    }
    return nullptr;
}

void BackendPool::putIdle(const Endpoint &endpoint, std::unique_ptr<HttpConnection> connection)
{
    std::deque<Idle> &connections = this->idle[endpoint];
    if (connections.size() >= this->options.maxIdlePerServer) {
        connections.pop_front();
    }
    connections.push_back({std::move(connection), RuntimeClock::now()});
}

void BackendPool::dropExpired()
{
    const TimePoint now = RuntimeClock::now();
    const TimePoint oldest = now - this->options.idleLimit;
    this->nextSweep = now + this->options.idleLimit;
    for (auto entry = this->idle.begin(); entry != this->idle.end();) {
        std::erase_if(entry->second, [oldest](const Idle &connection) {
            return connection.since <= oldest;
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
