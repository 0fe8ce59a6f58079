#include "answerrelay.h"

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace asio = boost::asio;

namespace
{

constexpr std::string_view eventStreamType = "text/event-stream";
// Assumed limit of a plain service's run time; any longer time to a response was spent waiting for a slot.
constexpr Duration maxServiceRunTime = std::chrono::milliseconds(150);
constexpr std::string_view doneEvent = "data: [DONE]\n\n";

AttemptResult completed()
{
    AttemptResult result;
    result.outcome = AttemptResult::Outcome::Answered;
    result.end = AttemptEnd::Completed;
    result.anyByteSent = true;
    return result;
}

AttemptResult callerGone()
{
    AttemptResult result;
    result.outcome = AttemptResult::Outcome::CallerGone;
    result.end = AttemptEnd::CallerGone;
    result.anyByteSent = true;
    return result;
}

Error streamError(const std::string &detail)
{
    return {ErrorKind::Protocol, "the stream of the backend server " + detail, "send the request again"};
}

} // namespace

AnswerRelay::AnswerRelay(
    const CallerEnvironment &environment, HttpExchange &exchange, const RoutedRequest &routed, RequestOutcome &outcome)
    : environment(environment)
    , exchange(exchange)
    , routed(routed)
    , outcome(outcome)
{
}

asio::awaitable<AttemptResult> AnswerRelay::relay(BackendCall &call, TrafficGrant &grant)
{
    if (call.head().headers.find("Content-Type").starts_with(eventStreamType)) {
        co_return co_await this->relayStream(call, grant);
    }
    if (this->streamBegun) {
        const std::string detail = "could not be resumed: status " + std::to_string(call.head().status);
        AttemptResult result = this->failed(streamError(detail));
        result.end = AttemptEnd::ServerError;
        co_return result;
    }
    co_return co_await this->relayWhole(call, grant);
}

asio::awaitable<AttemptResult> AnswerRelay::relayStream(BackendCall &call, TrafficGrant &grant)
{
    this->eventStream = true;
    SseSplitter splitter(this->environment.interface.streamsHaveEndMark ? StreamEnd::Mark : StreamEnd::Body);
    std::string piece;
    bool attemptStarted = false;
    while (true) {
        const Result<bool> more = co_await call.readBody(piece, this->pieceTimeout());
        if (!more.has_value()) {
            co_return co_await this->failedAt(call, more.error());
        }
        if (!more.value()) {
            call.release();
            break;
        }
        const SseSplitter::Batch batch = splitter.feed(piece);
        if (splitter.isOverflown()) {
            co_return this->failed(streamError("contains an event that is too large"));
        }
        if (batch.events.empty()) {
            continue;
        }
        if (!this->followsOn(batch)) {
            co_return this->failed(streamError("repeats or skips events"));
        }
        if (!attemptStarted) {
            attemptStarted = true;
            this->noteFirstToken(grant);
        }
        if (batch.tokens > 0) {
            grant.tokens(batch.tokens);
        }
        if (!this->streamBegun) {
            const Result<void> started = co_await this->beginStream(call.head().status, this->answerHeaders(call.head().headers));
            if (!started.has_value()) {
                co_return callerGone();
            }
        } else if (!this->midStreamNoted) {
            this->midStreamNoted = true;
            this->environment.step(RequestStep::MidStream);
        }
        this->keep(batch.events);
        const Result<void> written = co_await this->exchange.writePiece(batch.events);
        if (!written.has_value()) {
            co_return callerGone();
        }
        this->outcome.tokens += batch.tokens;
    }
    if (!splitter.isDone()) {
        co_return this->failed(streamError("ended early"));
    }
    const Result<TokenUsage> reported = parseUsage(splitter.usage());
    if (reported.has_value()) {
        this->usage = reported.value();
    }
    co_return co_await this->endEvents(call);
}

asio::awaitable<Result<void>> AnswerRelay::beginStream(int status, HttpHeaders headers)
{
    this->streamBegun = true;
    this->outcome.status = status;
    co_return co_await this->exchange.beginStream(status, std::move(headers));
}

asio::awaitable<AttemptResult> AnswerRelay::endEvents(const BackendCall &call)
{
    this->environment.step(RequestStep::LastByte);
    if (!this->streamBegun) {
        // A stream without events, for example when a caller resumes after the last one.
        const Result<void> started = co_await this->beginStream(call.head().status, this->answerHeaders(call.head().headers));
        if (!started.has_value()) {
            co_return callerGone();
        }
    }
    if (this->environment.interface.streamsHaveEndMark) {
        this->keep(doneEvent);
        const Result<void> written = co_await this->exchange.writePiece(doneEvent);
        if (!written.has_value()) {
            co_return callerGone();
        }
    }
    const Result<void> ended = co_await this->exchange.endStream();
    co_return ended.has_value() ? completed() : callerGone();
}

asio::awaitable<AttemptResult> AnswerRelay::relayWhole(BackendCall &call, TrafficGrant &grant)
{
    HttpResponse response;
    response.status = call.head().status;
    response.headers = this->answerHeaders(call.head().headers);
    this->noteFirstToken(grant);
    std::string piece;
    while (true) {
        const Result<bool> more = co_await call.readBody(piece, this->pieceTimeout());
        if (!more.has_value()) {
            co_return co_await this->failedAt(call, more.error());
        }
        if (!more.value()) {
            call.release();
            break;
        }
        response.body.append(piece);
        if (response.body.size() > this->environment.options.maxBufferedAnswerBytes) {
            co_return co_await this->relayLarge(call, std::move(response));
        }
    }
    if (this->environment.interface.isWorthRetry(this->routed.profile, response.status)) {
        const Error error(ErrorKind::Refused, "it responded with status " + std::to_string(response.status), "try again later");
        AttemptResult result = this->failed(error);
        result.end = AttemptEnd::ServerError;
        this->held = std::move(response);
        co_return result;
    }
    const Result<TokenUsage> reported = parseUsage(this->routed.profile.model.isEmpty() ? std::string_view() : response.body);
    if (reported.has_value()) {
        this->usage = reported.value();
        this->outcome.tokens = reported.value().completionTokens;
        grant.tokens(static_cast<std::uint32_t>(reported.value().completionTokens));
    }
    co_return co_await this->answerWhole(std::move(response));
}

asio::awaitable<AttemptResult> AnswerRelay::answerWhole(HttpResponse response)
{
    this->environment.step(RequestStep::LastByte);
    this->outcome.status = response.status;
    if (this->keepsAnswer) {
        this->kept = response;
    }
    const Result<void> written = co_await this->exchange.respond(std::move(response));
    co_return written.has_value() ? completed() : callerGone();
}

asio::awaitable<AttemptResult> AnswerRelay::relayLarge(BackendCall &call, HttpResponse partial)
{
    this->keepsAnswer = false;
    Result<void> written = co_await this->beginStream(partial.status, std::move(partial.headers));
    std::string piece = std::move(partial.body);
    while (written.has_value()) {
        written = co_await this->exchange.writePiece(piece);
        const Result<bool> more = co_await call.readBody(piece, this->pieceTimeout());
        if (!more.has_value()) {
            co_return co_await this->failedAt(call, more.error());
        }
        if (!more.value()) {
            call.release();
            this->environment.step(RequestStep::LastByte);
            written = co_await this->exchange.endStream();
            co_return written.has_value() ? completed() : callerGone();
        }
    }
    co_return callerGone();
}

AttemptResult AnswerRelay::failed(const Error &error) const
{
    if (error.kind() == ErrorKind::Cancelled || this->exchange.isPeerGone()) {
        return callerGone();
    }
    AttemptResult result;
    result.anyByteSent = true;
    result.error = error;
    // After a timeout or a protocol error the server may be healthy and the network path at fault. A lost connection may
    // mean that the server has failed.
    result.end = error.kind() == ErrorKind::ConnectionLost ? AttemptEnd::ServerFailed : AttemptEnd::ServerError;
    return result;
}

asio::awaitable<AttemptResult> AnswerRelay::failedAt(BackendCall &call, Error error) const
{
    AttemptResult result = this->failed(error);
    if (result.end == AttemptEnd::ServerFailed) {
        result.end = co_await call.endOf(std::move(error));
    }
    co_return result;
}

bool AnswerRelay::followsOn(const SseSplitter::Batch &batch)
{
    if (!batch.firstNumber.has_value() || this->environment.interface.streamsHaveEndMark) {
        return true;
    }
    const std::uint64_t previous = this->lastEvent.value_or(this->routed.resumeAfter);
    const bool isStart = !this->lastEvent.has_value() && this->routed.resumeAfter == 0;
    if (!batch.isConsecutive || (!isStart && *batch.firstNumber != previous + 1)) {
        return false;
    }
    this->lastEvent = batch.lastNumber;
    return true;
}

void AnswerRelay::noteFirstToken(TrafficGrant &grant)
{
    grant.firstToken();
    if (!this->outcome.firstToken.has_value()) {
        this->outcome.firstToken = RuntimeClock::now();
        this->noteBegun();
        this->environment.step(RequestStep::FirstToken);
    }
}

void AnswerRelay::noteBegun() const
{
    if (!this->environment.hooks.begun || this->routed.profile.clientAccount.isEmpty()) {
        return;
    }
    // A streamed response starts with its run. A buffered one comes at the end of a run that started when a slot became free.
    const Duration elapsed = RuntimeClock::now() - this->outcome.sent;
    const Duration ago = this->eventStream ? Duration::zero() : std::min(elapsed, maxServiceRunTime);
    this->environment.hooks.begun(this->routed.profile.clientAccount, ago);
}

HttpHeaders AnswerRelay::answerHeaders(const HttpHeaders &fromBackend) const
{
    HttpHeaders headers = this->environment.interface.answerHeaders(fromBackend);
    for (const HttpHeader &field : this->callerHeaders.fields()) {
        headers.add(field.name, field.value);
    }
    return headers;
}

void AnswerRelay::keep(std::string_view piece)
{
    if (!this->keepsAnswer) {
        return;
    }
    if (!this->kept.has_value()) {
        this->kept = HttpResponse();
        this->kept->headers.add("Content-Type", std::string(eventStreamType));
    }
    this->kept->body.append(piece);
    if (this->kept->body.size() > this->environment.options.maxBufferedAnswerBytes) {
        this->keepsAnswer = false;
        this->kept.reset();
    }
}

void AnswerRelay::setCallerHeaders(HttpHeaders headers)
{
    this->callerHeaders = std::move(headers);
}

void AnswerRelay::keepAnswer()
{
    this->keepsAnswer = true;
}

bool AnswerRelay::hasBegun() const
{
    return this->streamBegun;
}

bool AnswerRelay::isResumable() const
{
    return this->eventStream && this->routed.resumable;
}

std::uint64_t AnswerRelay::resumePosition() const
{
    return this->environment.interface.streamsHaveEndMark ? this->outcome.tokens
                                                          : this->lastEvent.value_or(this->routed.resumeAfter);
}

const std::optional<HttpResponse> &AnswerRelay::heldAnswer() const
{
    return this->held;
}

const std::optional<HttpResponse> &AnswerRelay::keptAnswer() const
{
    return this->kept;
}

const std::optional<TokenUsage> &AnswerRelay::reportedUsage() const
{
    return this->usage;
}

Duration AnswerRelay::timeLeft() const
{
    const TimePoint deadline = this->routed.profile.arrival + this->routed.profile.requestClass.deadline;
    return std::max(Duration::zero(), deadline - RuntimeClock::now());
}

Duration AnswerRelay::pieceTimeout() const
{
    return std::min(this->environment.options.pieceTimeout, this->timeLeft());
}

} // namespace flamingosaddle
