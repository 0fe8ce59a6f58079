#include "responserelay.h"

#include "forwarding.h"

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
    result.outcome = AttemptResult::Outcome::Completed;
    result.end = AttemptOutcome::Completed;
    result.anyByteSent = true;
    return result;
}

AttemptResult callerGone()
{
    AttemptResult result;
    result.outcome = AttemptResult::Outcome::CallerDisconnected;
    result.end = AttemptOutcome::CallerDisconnected;
    result.anyByteSent = true;
    return result;
}

Error streamError(const std::string &detail)
{
    return {ErrorKind::Protocol, "the stream of the backend server " + detail, "send the request again"};
}

} // namespace

ResponseRelay::ResponseRelay(
    const CallerEnvironment &environment, HttpExchange &exchange, const RoutedRequest &routed, RequestOutcome &outcome)
    : environment(environment)
    , exchange(exchange)
    , routed(routed)
    , outcome(outcome)
{
}

asio::awaitable<AttemptResult> ResponseRelay::relay(BackendCall &call, ServerGrant &grant)
{
    const bool isStream = call.head().headers.find("Content-Type").starts_with(eventStreamType);
    // The caller has the status of the stream's first response; events of another status are not a part of it.
    if (isStream && (!this->streamStarted || call.head().status == this->outcome.status)) {
        co_return co_await this->relayStream(call, grant);
    }
    if (this->streamStarted) {
        const std::string detail = "could not be resumed: status " + std::to_string(call.head().status);
        AttemptResult result = this->failure(streamError(detail));
        result.end = AttemptOutcome::ServerError;
        co_return result;
    }
    co_return co_await this->relayBuffered(call, grant);
}

asio::awaitable<AttemptResult> ResponseRelay::relayStream(BackendCall &call, ServerGrant &grant)
{
    this->eventStream = true;
    SseSplitter splitter(this->environment.adapter.streamsEndWithDoneEvent ? StreamEnd::DoneEvent : StreamEnd::EndOfBody);
    std::string piece;
    bool attemptStarted = false;
    while (true) {
        const Result<bool> more = co_await call.readBody(piece, this->progressTimeout());
        if (!more.has_value()) {
            co_return co_await this->classifiedFailure(call, more.error());
        }
        if (!more.value()) {
            call.releaseConnection();
            break;
        }
        this->recordReceived(piece);
        const SseSplitter::Batch batch = splitter.feed(piece);
        if (splitter.isEventTooLarge()) {
            co_return this->failure(streamError("contains an event that is too large"));
        }
        if (batch.events.empty()) {
            continue;
        }
        if (!this->continuesStream(batch)) {
            co_return this->failure(streamError("repeats or skips events"));
        }
        if (!attemptStarted) {
            attemptStarted = true;
            this->recordFirstToken(grant);
        }
        if (batch.tokens > 0) {
            grant.recordTokens(batch.tokens);
        }
        if (!this->streamStarted) {
            const Result<void> started
                = co_await this->beginStream(call.head().status, this->responseHeaders(call.head().headers));
            if (!started.has_value()) {
                co_return callerGone();
            }
        } else if (!this->midStreamReported) {
            this->midStreamReported = true;
            this->environment.reportStep(RequestStep::MidStream);
        }
        this->capture(batch.events);
        const Result<void> written = co_await this->exchange.writePiece(batch.events);
        if (!written.has_value()) {
            co_return callerGone();
        }
        this->outcome.relayedTokens += batch.tokens;
    }
    if (call.bodyEndedWithConnection() && (!attemptStarted || !splitter.isDone())) {
        // A server that dies closes the connection in the same way as at the end of a complete stream.
        Error lost(ErrorKind::ConnectionLost, "the backend server closed the connection within its stream", "look at its log");
        co_return co_await this->classifiedFailure(call, std::move(lost));
    }
    if (!splitter.isDone()) {
        co_return this->failure(streamError("ended early"));
    }
    const Result<TokenUsage> reported = parseUsage(splitter.usage());
    if (reported.has_value()) {
        this->usage = reported.value();
    }
    co_return co_await this->endEvents(call);
}

asio::awaitable<Result<void>> ResponseRelay::beginStream(int status, HttpHeaders headers)
{
    this->streamStarted = true;
    this->outcome.status = status;
    co_return co_await this->exchange.beginStream(status, std::move(headers));
}

asio::awaitable<AttemptResult> ResponseRelay::endEvents(const BackendCall &call)
{
    this->environment.reportStep(RequestStep::LastByte);
    if (!this->streamStarted) {
        // A stream without events, for example when a caller resumes after the last one.
        const Result<void> started = co_await this->beginStream(call.head().status, this->responseHeaders(call.head().headers));
        if (!started.has_value()) {
            co_return callerGone();
        }
    }
    if (this->environment.adapter.streamsEndWithDoneEvent) {
        this->capture(doneEvent);
        const Result<void> written = co_await this->exchange.writePiece(doneEvent);
        if (!written.has_value()) {
            co_return callerGone();
        }
    }
    const Result<void> ended = co_await this->exchange.endStream();
    co_return ended.has_value() ? completed() : callerGone();
}

asio::awaitable<AttemptResult> ResponseRelay::relayBuffered(BackendCall &call, ServerGrant &grant)
{
    HttpResponse response;
    response.status = call.head().status;
    response.headers = this->responseHeaders(call.head().headers);
    this->recordFirstToken(grant);
    std::string piece;
    while (true) {
        const Result<bool> more = co_await call.readBody(piece, this->progressTimeout());
        if (!more.has_value()) {
            co_return co_await this->classifiedFailure(call, more.error());
        }
        if (!more.value()) {
            call.releaseConnection();
            break;
        }
        this->recordReceived(piece);
        response.body.append(piece);
        const bool mayHold = this->exchange.holdAnswer(response.body.size());
        if (!mayHold || response.body.size() > this->environment.options.maxBufferedResponseBytes) {
            co_return co_await this->relayOversized(call, std::move(response));
        }
    }
    if (this->environment.adapter.isRetryableStatus(this->routed.profile, response.status)) {
        const Error error(ErrorKind::Refused, "it responded with status " + std::to_string(response.status), "try again later");
        AttemptResult result = this->failure(error);
        result.end = AttemptOutcome::ServerError;
        this->withheld = std::move(response);
        co_return result;
    }
    const Result<TokenUsage> reported = parseUsage(this->routed.profile.model.isEmpty() ? std::string_view() : response.body);
    if (reported.has_value()) {
        this->usage = reported.value();
        this->outcome.relayedTokens = reported.value().completionTokens;
        grant.recordTokens(static_cast<std::uint32_t>(reported.value().completionTokens));
    }
    co_return co_await this->sendBuffered(std::move(response));
}

asio::awaitable<AttemptResult> ResponseRelay::sendBuffered(HttpResponse response)
{
    this->environment.reportStep(RequestStep::LastByte);
    this->outcome.status = response.status;
    if (this->capturing) {
        this->captured = response;
    }
    const Result<void> written = co_await this->exchange.respond(std::move(response));
    co_return written.has_value() ? completed() : callerGone();
}

asio::awaitable<AttemptResult> ResponseRelay::relayOversized(BackendCall &call, HttpResponse partial)
{
    this->capturing = false;
    Result<void> written = co_await this->beginStream(partial.status, std::move(partial.headers));
    std::string piece = std::move(partial.body);
    while (written.has_value()) {
        written = co_await this->exchange.writePiece(piece);
        const Result<bool> more = co_await call.readBody(piece, this->progressTimeout());
        if (!more.has_value()) {
            co_return co_await this->classifiedFailure(call, more.error());
        }
        if (!more.value()) {
            call.releaseConnection();
            this->environment.reportStep(RequestStep::LastByte);
            written = co_await this->exchange.endStream();
            co_return written.has_value() ? completed() : callerGone();
        }
        this->recordReceived(piece);
    }
    co_return callerGone();
}

AttemptResult ResponseRelay::failure(const Error &error) const
{
    if (error.kind() == ErrorKind::Cancelled || this->exchange.isPeerGone()) {
        return callerGone();
    }
    AttemptResult result;
    result.anyByteSent = true;
    result.error = error;
    // After a timeout or a protocol error the server may be healthy and the network path at fault. A lost connection may
    // mean that the server has failed.
    result.end = error.kind() == ErrorKind::ConnectionLost ? AttemptOutcome::ServerFailed : AttemptOutcome::ServerError;
    return result;
}

asio::awaitable<AttemptResult> ResponseRelay::classifiedFailure(BackendCall &call, Error error) const
{
    AttemptResult result = this->failure(error);
    if (result.end == AttemptOutcome::ServerFailed) {
        result.end = co_await call.classifyFailure(std::move(error));
    }
    co_return result;
}

bool ResponseRelay::continuesStream(const SseSplitter::Batch &batch)
{
    if (!batch.firstEventId.has_value() || this->environment.adapter.streamsEndWithDoneEvent) {
        return true;
    }
    const std::uint64_t previous = this->lastEventId.value_or(this->routed.resumeAfter);
    const bool isStart = !this->lastEventId.has_value() && this->routed.resumeAfter == 0;
    if (!batch.isConsecutive || (!isStart && *batch.firstEventId != previous + 1)) {
        return false;
    }
    this->lastEventId = batch.lastEventId;
    return true;
}

void ResponseRelay::recordFirstToken(ServerGrant &grant)
{
    grant.recordFirstToken();
    if (!this->outcome.firstTokenAt.has_value()) {
        this->outcome.firstTokenAt = RuntimeClock::now();
        this->notifyStarted();
        if (this->isResumable() && this->routed.resumeAfter == 0 && this->environment.hooks.onStreamStarted) {
            this->environment.hooks.onStreamStarted(
                this->outcome.requestId, this->routed.profile.service, this->outcome.softwareVersion);
        }
        this->environment.reportStep(RequestStep::FirstToken);
    }
}

void ResponseRelay::notifyStarted() const
{
    if (!this->environment.hooks.onStarted || this->routed.profile.clientAccount.isEmpty()) {
        return;
    }
    // A streamed response starts with its run. A buffered one comes at the end of a run that started when a slot became free.
    const Duration elapsed = RuntimeClock::now() - this->outcome.sentAt;
    const Duration ago = this->eventStream ? Duration::zero() : std::min(elapsed, maxServiceRunTime);
    this->environment.hooks.onStarted(this->routed.profile.clientAccount, ago);
}

HttpHeaders ResponseRelay::responseHeaders(const HttpHeaders &fromBackend) const
{
    HttpHeaders headers = this->environment.adapter.responseHeaders(fromBackend);
    for (const HttpHeader &field : this->callerHeaders.fields()) {
        headers.add(field.name, field.value);
    }
    if (this->routed.profile.isForwarded) {
        addServedBy(headers, this->outcome.server);
    }
    return headers;
}

void ResponseRelay::recordReceived(std::string_view piece)
{
    if (!this->outcome.traffic.empty()) {
        this->outcome.traffic.back().receivedBytes += piece.size();
    }
}

void ResponseRelay::capture(std::string_view piece)
{
    if (!this->capturing) {
        return;
    }
    if (!this->captured.has_value()) {
        this->captured = HttpResponse();
        this->captured->headers.add("Content-Type", std::string(eventStreamType));
    }
    this->captured->body.append(piece);
    if (this->captured->body.size() > this->environment.options.maxBufferedResponseBytes) {
        this->capturing = false;
        this->captured.reset();
    }
}

void ResponseRelay::setCallerHeaders(HttpHeaders headers)
{
    this->callerHeaders = std::move(headers);
}

void ResponseRelay::captureResponse()
{
    this->capturing = true;
}

bool ResponseRelay::hasStarted() const
{
    return this->streamStarted;
}

bool ResponseRelay::hasSentEvents() const
{
    return this->streamStarted && this->resumePosition() > 0;
}

bool ResponseRelay::isResumable() const
{
    return this->eventStream && this->routed.resumable;
}

std::uint64_t ResponseRelay::resumePosition() const
{
    return this->environment.adapter.streamsEndWithDoneEvent ? this->outcome.relayedTokens
                                                             : this->lastEventId.value_or(this->routed.resumeAfter);
}

const std::optional<HttpResponse> &ResponseRelay::withheldResponse() const
{
    return this->withheld;
}

const std::optional<HttpResponse> &ResponseRelay::capturedResponse() const
{
    return this->captured;
}

const std::optional<TokenUsage> &ResponseRelay::reportedUsage() const
{
    return this->usage;
}

Duration ResponseRelay::remainingTime() const
{
    const TimePoint deadline = this->routed.profile.arrival + this->routed.profile.requestClass.deadline;
    return std::max(Duration::zero(), deadline - RuntimeClock::now());
}

Duration ResponseRelay::progressTimeout() const
{
    return std::min(this->environment.options.progressTimeout, this->remainingTime());
}

} // namespace flamingosaddle
