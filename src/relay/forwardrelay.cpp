#include "forwardrelay.h"

#include <flamingosaddle/traffic/dispatcher.h>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace asio = boost::asio;

namespace
{

constexpr std::string_view eventStreamType = "text/event-stream";
// The peer's response at the deadline may take this long to arrive.
constexpr Duration deadlineMargin = std::chrono::milliseconds(100);

ForwardResult resultOf(ForwardResult::Outcome outcome)
{
    ForwardResult result;
    result.outcome = outcome;
    return result;
}

/** Counts a request as forwarded to a peer as long as it lives. */
class ForwardCount
{
public:
    ForwardCount(AsyncDispatcher &dispatcher, InstanceId peer)
        : dispatcher(dispatcher)
        , peer(std::move(peer))
    {
    }

    ~ForwardCount()
    {
        this->dispatcher.releasePeer(this->peer);
    }

    ForwardCount(const ForwardCount &) = delete;
    ForwardCount &operator=(const ForwardCount &) = delete;

private:
    AsyncDispatcher &dispatcher;
    InstanceId peer;
};

} // namespace

ForwardRelay::ForwardRelay(
    const CallerEnvironment &environment, HttpExchange &exchange, BackendPool &pool, RequestOutcome &outcome)
    : environment(environment)
    , exchange(exchange)
    , pool(pool)
    , outcome(outcome)
{
}

asio::awaitable<ForwardResult> ForwardRelay::run(
    const HttpRequest &request, const RequestProfile &profile, TimePoint deadline, DisconnectSignal &caller)
{
    this->parameters.request = request;
    this->deadline = deadline;
    this->caller = &caller;
    std::vector<InstanceId> tried;
    while (tried.size() < maxPeers && this->remainingTime() > Duration::zero()) {
        const std::optional<PeerPath> peer = this->environment.dispatcher->choosePeer(profile, tried);
        if (!peer.has_value()) {
            break;
        }
        const ForwardCount count(*this->environment.dispatcher, peer->instance);
        tried.push_back(peer->instance);
        const std::optional<ForwardResult> result = co_await this->tryPeer(*peer, profile);
        if (result.has_value()) {
            co_return *result;
        }
    }
    co_return resultOf(ForwardResult::Outcome::NotTaken);
}

asio::awaitable<std::optional<ForwardResult>> ForwardRelay::tryPeer(const PeerPath &peer, const RequestProfile &profile)
{
    this->outcome.forwardedTo = peer.instance;
    this->outcome.sentAt = RuntimeClock::now();
    this->parameters.endpoint = peer.address;
    this->parameters.headTimeout = this->remainingTime() + deadlineMargin;
    this->parameters.deadline = this->deadline + deadlineMargin;
    const BackendPool::StepHook ignoreStep = [](RequestStep) {};
    BackendPool::CallResult called = co_await this->pool.call(this->parameters, *this->caller, ignoreStep);
    if (const BackendFailure *failed = std::get_if<BackendFailure>(&called)) {
        if (failed->end == AttemptOutcome::NotSent) {
            co_return std::nullopt;
        }
        co_return this->failure(failed->error);
    }
    BackendCall &call = std::get<BackendCall>(called);
    const PeerRefusal refusal = peerRefusal(call.head().headers);
    if (refusal == PeerRefusal::None) {
        const ForwardResult result = co_await this->relayResponse(call);
        co_return result;
    }
    if (refusal == PeerRefusal::Unreachable) {
        this->environment.dispatcher->recordPeerUnreachable(peer.instance, profile);
    }
    co_await call.discard();
    co_return std::nullopt;
}

asio::awaitable<ForwardResult> ForwardRelay::relayResponse(BackendCall &call)
{
    HttpResponse response;
    response.status = call.head().status;
    response.headers = headersFromPeer(call.head().headers);
    this->recordServer(call.head().headers);
    this->outcome.status = response.status;
    const bool isStream = response.headers.find("Content-Type").starts_with(eventStreamType);
    std::string piece;
    Result<void> written = success();
    while (true) {
        const bool isTooLarge = response.body.size() > this->environment.options.maxBufferedResponseBytes;
        if (!this->started && (isStream || isTooLarge)) {
            this->started = true;
            written = co_await this->exchange.beginStream(response.status, std::move(response.headers));
            if (written.has_value() && !response.body.empty()) {
                written = co_await this->exchange.writePiece(response.body);
            }
        }
        if (!written.has_value()) {
            co_return resultOf(ForwardResult::Outcome::CallerDisconnected);
        }
        const Result<bool> more = co_await call.readBody(piece, this->remainingTime() + deadlineMargin);
        if (!more.has_value()) {
            co_return this->failure(more.error());
        }
        if (!more.value()) {
            break;
        }
        if (this->started) {
            written = co_await this->exchange.writePiece(piece);
        } else {
            response.body.append(piece);
        }
    }
    call.releaseConnection();
    if (this->started) {
        written = co_await this->exchange.endStream();
    } else {
        written = co_await this->exchange.respond(std::move(response));
    }
    co_return resultOf(written.has_value() ? ForwardResult::Outcome::Answered : ForwardResult::Outcome::CallerDisconnected);
}

void ForwardRelay::recordServer(const HttpHeaders &fromPeer)
{
    this->outcome.server = servedBy(fromPeer);
    const bool isLeaving = !this->outcome.server.isEmpty() && this->environment.adapter.isServerLeaving(fromPeer);
    if (isLeaving && this->environment.hooks.onServerLeaving) {
        this->environment.hooks.onServerLeaving(this->outcome.server, this->outcome.sentAt);
    }
}

ForwardResult ForwardRelay::failure(const Error &error) const
{
    if (error.kind() == ErrorKind::Cancelled || this->exchange.isPeerGone()) {
        return resultOf(ForwardResult::Outcome::CallerDisconnected);
    }
    ForwardResult result = resultOf(ForwardResult::Outcome::Failed);
    result.error = error;
    return result;
}

bool ForwardRelay::hasStarted() const
{
    return this->started;
}

Duration ForwardRelay::remainingTime() const
{
    return std::max(Duration::zero(), this->deadline - RuntimeClock::now());
}

} // namespace flamingosaddle
