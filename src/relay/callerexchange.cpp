#include "callerexchange.h"

#include "connectionregistration.h"
#include "forwardrelay.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace asio = boost::asio;

namespace
{

constexpr const char *traceHeader = "traceparent";
// Another instance may still be about to save where the stream began.
constexpr std::chrono::seconds unknownVersionRetryAfter(1);

/** Releases a claim that was granted after its request had been refused, so that another request can use the key. */
void releaseLateClaim(const ClaimDecision &decision)
{
    if (const ClaimGranted *granted = std::get_if<ClaimGranted>(&decision)) {
        granted->reportOutcome({ClaimOutcome::State::NotRun, {}});
    }
}

auto missingConfiguration()
{
    return fail(ErrorKind::Unavailable, "this instance has no configuration yet", "try again later");
}

std::string modelList(const RoutingSnapshot &snapshot, const ClientAccountId &account)
{
    nlohmann::json list = nlohmann::json::array();
    const Versioned<ClientAccount> *found = snapshot.config().findClientAccount(account);
    for (const ModelName &model : snapshot.models()) {
        if (found != nullptr
            && std::find(found->value.models.begin(), found->value.models.end(), model) != found->value.models.end()) {
            list.push_back({{"id", model.text()}, {"object", "model"}, {"created", 0}, {"owned_by", "flamingosaddle"}});
        }
    }
    return nlohmann::json{{"object", "list"}, {"data", list}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

CallerExchange::CallerExchange(const CallerEnvironment &environment, HttpExchange &exchange, BackendPool &pool,
    DecisionWaits &decisionWaits, std::optional<ForwardedRequest> forwarded)
    : environment(environment)
    , exchange(exchange)
    , pool(pool)
    , decisionWaits(decisionWaits)
    , forwarded(std::move(forwarded))
    , forwardedRequest(this->forwarded.has_value() ? withoutForwardingFields(exchange.request()) : HttpRequest())
    , request(this->forwarded.has_value() ? this->forwardedRequest : exchange.request())
    , span(environment.tracer, environment.tracer.contextFromHeader(this->request.headers.find(traceHeader)), "caller")
    , relay(environment, exchange, this->routed, this->outcome)
{
    this->outcome.arrival = exchange.receivedAt();
    this->outcome.requestId = environment.adapter.requestId(this->request);
    if (this->forwarded.has_value()) {
        this->outcome.arrival -= this->forwarded->elapsed;
        this->outcome.requestId = this->forwarded->requestId;
        this->outcome.forwardedBy = this->forwarded->from;
    }
}

CallerExchange::~CallerExchange()
{
    // Only reached with an open claim when the coroutine was destroyed early or a hook threw.
    this->settleClaim(ClaimOutcome::State::Unknown);
}

asio::awaitable<void> CallerExchange::run()
{
    this->exchange.onGone([this]() {
        this->disconnectSignal.setDisconnected();
    });
    this->environment.reportStep(RequestStep::Accept);
    const Result<void> admitted = this->admit();
    if (admitted.has_value()) {
        co_await this->serve();
    } else {
        co_await this->sendRefusal(refusalFor(admitted.error()));
    }
    this->outcome.end = RuntimeClock::now();
    if (!this->outcome.complete) {
        this->outcome.wastedTokens = this->outcome.relayedTokens;
    }
    this->reportUsage();
    this->span.addAttribute("client_account", this->outcome.clientAccount.text());
    this->span.addAttribute("class", this->outcome.className.text());
    this->span.addAttribute("status", std::to_string(this->outcome.status));
    this->span.end();
    if (this->environment.hooks.onOutcome) {
        this->environment.hooks.onOutcome(this->outcome);
    }
}

Result<void> CallerExchange::admit()
{
    const std::shared_ptr<const RoutingSnapshot> snapshot = this->environment.snapshots->current();
    if (!snapshot) {
        return missingConfiguration();
    }
    this->outcome.configOffset = snapshot->offset();
    this->outcome.evacuated.assign(snapshot->evacuated().begin(), snapshot->evacuated().end());
    if (this->forwarded.has_value() && snapshot->offset() < this->forwarded->configOffset) {
        this->isConfigBehind = true;
        return fail(ErrorKind::Unavailable, "this instance has an older configuration than the one that forwarded the request",
            "try again later");
    }
    this->outcome.configAge = RuntimeClock::now() - (snapshot->freshUntil() - this->environment.options.freshnessLimit);
    BOOST_OUTCOME_TRY(result, this->environment.adapter.route(*snapshot, this->request, RuntimeClock::now()));
    this->routed = std::move(result);
    this->routed.profile.arrival = this->outcome.arrival;
    this->outcome.deadline = this->outcome.arrival + this->routed.profile.requestClass.deadline;
    if (this->forwarded.has_value()) {
        this->routed.profile.isForwarded = true;
        this->routed.profile.earlierAttempts = this->forwarded->attempts;
    }
    this->outcome.route = this->routed.route;
    this->outcome.homes = this->routed.profile.homes;
    this->outcome.resumedRequest = this->routed.resumedRequest;
    this->outcome.resumeAfter = this->routed.resumeAfter;
    this->relay.setCallerHeaders(this->environment.adapter.routerHeaders(this->outcome.requestId, this->span.context()));
    this->outcome.clientAccount = this->routed.profile.clientAccount;
    this->outcome.className = this->routed.profile.requestClass.name;
    this->outcome.tier = this->routed.profile.requestClass.tier;
    this->outcome.target = {this->routed.profile.model, this->routed.profile.service};
    this->outcome.promptTokens = this->routed.profile.promptTokens;
    this->outcome.sharedTokens = this->routed.profile.sharedTokens;
    this->outcome.prefixHash = this->routed.profile.prefixHash;
    this->outcome.promptParts = this->routed.profile.promptParts;
    BOOST_OUTCOME_TRYV(this->registerKey());
    this->environment.reportStep(RequestStep::Authenticate);
    return success();
}

Result<void> CallerExchange::registerKey()
{
    if (this->routed.key.isEmpty() || !this->environment.options.closeOnKeyWithdrawal) {
        return success();
    }
    // The instance that forwarded the request closes its caller's connection; this one may carry other callers' requests next.
    if (!this->forwarded.has_value()) {
        registerConnection(this->exchange, *this->environment.connections, this->routed.key);
    }
    // A withdrawal that was published before the registration may have cut this key's connections already.
    if (this->environment.snapshots->current()->isWithdrawn(this->routed.key)) {
        return fail(ErrorKind::Unauthorized, "the key was withdrawn", "ask an operator for a new one");
    }
    return success();
}

asio::awaitable<void> CallerExchange::serve()
{
    if (this->routed.target == RoutedRequest::Target::ModelList) {
        co_await this->sendModelList();
        co_return;
    }
    if (!this->forwarded.has_value() && this->environment.dispatcher->isUnreachable(this->routed.profile)) {
        Refusal refusal;
        refusal.reason = RefusalReason::Unreachable;
        co_await this->forward(refusal);
        co_return;
    }
    const bool mayRun = co_await this->claim();
    if (!mayRun) {
        co_return;
    }
    const bool mayResume = co_await this->determineStreamVersion();
    if (mayResume) {
        co_await this->acquireAndRun();
    }
}

asio::awaitable<bool> CallerExchange::determineStreamVersion()
{
    if (!this->isResumption() || !this->environment.hooks.streamVersion) {
        co_return true;
    }
    const RequestProfile &profile = this->routed.profile;
    std::optional<StreamVersion> version = co_await this->decisionWaits.awaitUntil<StreamVersion>(
        this->environment.hooks.streamVersion(this->routed.resumedRequest, profile.service),
        profile.arrival + profile.requestClass.deadline, nullptr);
    if (version.has_value() && version->isKnown) {
        this->routed.profile.softwareVersion = std::move(version->text);
        co_return true;
    }
    RefusalResponse refusal
        = refusalFor(Error(ErrorKind::Unavailable, "it is not known at which software version of the servers the stream began",
            "begin the stream anew, or try again later"));
    refusal.retryAfter = unknownVersionRetryAfter;
    co_await this->sendRefusal(std::move(refusal));
    co_return false;
}

bool CallerExchange::isResumption() const
{
    return this->routed.resumable && this->routed.resumeAfter > 0;
}

asio::awaitable<void> CallerExchange::sendModelList()
{
    const std::shared_ptr<const RoutingSnapshot> snapshot = this->environment.snapshots->current();
    co_await this->sendResponse(jsonResponse(200, modelList(*snapshot, this->routed.profile.clientAccount)));
}

asio::awaitable<bool> CallerExchange::claim()
{
    const std::string_view idempotencyKey = this->request.headers.find("Idempotency-Key");
    if (this->routed.profile.idempotent || idempotencyKey.empty() || !this->environment.hooks.claim) {
        co_return true;
    }
    ActiveSpan claimSpan(this->environment.tracer, this->span.context(), "claim");
    ClaimRequest request;
    request.clientAccount = this->routed.profile.clientAccount;
    request.idempotencyKey = std::string(idempotencyKey);
    request.fingerprint = this->routed.profile.fingerprint;
    request.requestId = this->outcome.requestId;
    const RequestProfile &profile = this->routed.profile;
    std::optional<ClaimDecision> decided = co_await this->decisionWaits.awaitUntil<ClaimDecision>(
        this->environment.hooks.claim(std::move(request)), profile.arrival + profile.requestClass.deadline, releaseLateClaim);
    claimSpan.end();
    this->environment.reportStep(RequestStep::Claim);
    ClaimDecision decision = std::move(decided).value_or(ClaimUnavailable());
    co_return co_await this->handleClaimResult(std::move(decision));
}

asio::awaitable<bool> CallerExchange::handleClaimResult(ClaimDecision decision)
{
    if (ClaimGranted *granted = std::get_if<ClaimGranted>(&decision)) {
        this->settle = std::move(granted->reportOutcome);
        this->relay.captureResponse();
        co_return true;
    }
    if (ClaimCompleted *completed = std::get_if<ClaimCompleted>(&decision)) {
        co_await this->sendResponse(std::move(completed->response));
        co_return false;
    }
    RefusalResponse refusal;
    if (std::holds_alternative<ClaimOutcomeUnknown>(decision)) {
        refusal = refusalFor(Error(ErrorKind::Conflict, "a request with this idempotency key was started, its outcome is unknown",
            "check whether it ran; it is not run again"));
        refusal.runState = RunState::Unknown;
    } else if (const ClaimUnavailable *unavailable = std::get_if<ClaimUnavailable>(&decision)) {
        refusal = refusalFor(Error(ErrorKind::Unavailable, "idempotency keys cannot be checked at present", "try again later"));
        refusal.retryAfter = unavailable->retryAfter;
    } else {
        refusal = refusalFor(Error(ErrorKind::InvalidRequest, "the idempotency key was used for another request",
            "use a different key for each request"));
    }
    co_await this->sendRefusal(std::move(refusal));
    co_return false;
}

asio::awaitable<void> CallerExchange::acquireAndRun()
{
    this->environment.reportStep(RequestStep::Queue);
    ActiveSpan queueSpan(this->environment.tracer, this->span.context(), "queue");
    AsyncDispatcher::AcquireResult acquired
        = co_await this->environment.dispatcher->acquire(this->routed.profile, this->disconnectSignal);
    queueSpan.end();
    if (const Refusal *refusal = std::get_if<Refusal>(&acquired)) {
        if (this->mayForward(*refusal)) {
            co_await this->forward(*refusal);
            co_return;
        }
        this->settleClaim(ClaimOutcome::State::NotRun);
        RefusalResponse response = refusalFor(*refusal);
        if (refusal->reason == RefusalReason::NoServer && !this->routed.profile.softwareVersion.empty()) {
            response.error = Error(ErrorKind::Unavailable,
                "no server of the stream's software version " + this->routed.profile.softwareVersion + " is left",
                "begin the stream anew");
        }
        co_await this->sendRefusal(std::move(response));
        co_return;
    }
    co_await this->runAttempts(std::get<ServerGrant>(std::move(acquired)));
}

asio::awaitable<void> CallerExchange::runAttempts(ServerGrant grant)
{
    while (true) {
        AttemptResult result = co_await this->runAttempt(grant);
        this->outcome.lastAttempt = result.end;
        this->outcome.attemptEndedAt = RuntimeClock::now();
        this->sentAttempts += result.end == AttemptOutcome::NotSent ? 0 : 1;
        if (result.outcome != AttemptResult::Outcome::Failed) {
            grant.finish(result.end);
            if (result.outcome == AttemptResult::Outcome::Completed) {
                this->finishCompleted();
            }
            co_return;
        }
        if (!this->mayRetry()) {
            grant.finish(result.end);
            Refusal refusal;
            refusal.reason = RefusalReason::RetriesExhausted;
            refusal.runState = RunState::Unknown;
            co_await this->failRequest(std::move(result), refusal);
            co_return;
        }
        if (this->relay.hasSentEvents()) {
            // The server may have restarted with another version meanwhile.
            this->routed.profile.softwareVersion = this->outcome.softwareVersion;
            grant.requireVersion(this->outcome.softwareVersion);
        }
        const std::optional<Refusal> refusal = co_await grant.retry(result.end, result.anyByteSent, this->disconnectSignal);
        if (refusal.has_value() && this->mayForward(*refusal)) {
            co_await this->forward(*refusal);
            co_return;
        }
        if (refusal.has_value()) {
            co_await this->failRequest(std::move(result), *refusal);
            co_return;
        }
    }
}

bool CallerExchange::mayRetry() const
{
    return !this->relay.hasStarted() || this->relay.isResumable();
}

asio::awaitable<AttemptResult> CallerExchange::runAttempt(ServerGrant &grant)
{
    ++this->outcome.attempts;
    AttemptResult result;
    const std::shared_ptr<const RoutingSnapshot> snapshot = this->environment.snapshots->current();
    const Versioned<BackendServer> *server = snapshot->config().findBackendServer(grant.server());
    if (server == nullptr) {
        result.error = Error(ErrorKind::Unreachable, "the backend server was removed", "try again later");
        co_return result;
    }
    const std::string &requiredVersion = this->routed.profile.softwareVersion;
    if (!requiredVersion.empty() && server->value.softwareVersion != requiredVersion) {
        result.error
            = Error(ErrorKind::Unreachable, "the backend server restarted with another software version", "try again later");
        co_return result;
    }
    ActiveSpan attemptSpan(this->environment.tracer, this->span.context(), "backend-server");
    attemptSpan.addAttribute("server", grant.server().text());
    this->outcome.server = grant.server();
    this->outcome.softwareVersion = server->value.softwareVersion;
    this->outcome.sentAt = RuntimeClock::now();
    BackendPool::CallParameters parameters = this->callParameters(server->value, attemptSpan.context());
    this->outcome.traffic.push_back({server->value.dataCentre, parameters.request.payload().size(), 0});
    parameters.tryResend = [&grant]() {
        return grant.tryResend();
    };
    parameters.onResponseHead = [this, &grant](const HttpResponseHead &head, bool isRejection) {
        if (this->environment.adapter.isServerLeaving(head.headers) && this->environment.hooks.onServerLeaving) {
            this->environment.hooks.onServerLeaving(grant.server(), this->outcome.sentAt);
        }
        if (const std::optional<Duration> pause = requestedPause(head)) {
            grant.pauseServer(*pause);
        }
        const std::optional<double> limit = this->environment.adapter.rateLimit(head.headers);
        // A rejection without a limit does not lift one: a server may reject requests before the part that knows the limit.
        if (limit.has_value() || !isRejection) {
            grant.recordRateLimit(limit);
        }
        const std::optional<std::uint32_t> rejectionLimit
            = this->environment.adapter.rejectionLimit ? this->environment.adapter.rejectionLimit(head.headers) : std::nullopt;
        if (rejectionLimit.has_value() || !isRejection) {
            grant.recordRejectionLimit(rejectionLimit);
        }
    };
    const auto step = [this](RequestStep requestStep) {
        this->environment.reportStep(requestStep);
    };
    BackendPool::CallResult called = co_await this->pool.call(parameters, this->disconnectSignal, step);
    if (const BackendFailure *failure = std::get_if<BackendFailure>(&called)) {
        result.outcome = failure->end == AttemptOutcome::CallerDisconnected ? AttemptResult::Outcome::CallerDisconnected
                                                                            : AttemptResult::Outcome::Failed;
        result.end = failure->end;
        result.anyByteSent = failure->anyByteSent;
        result.error = failure->error;
        co_return result;
    }
    result = co_await this->relay.relay(std::get<BackendCall>(called), grant);
    co_return result;
}

BackendPool::CallParameters CallerExchange::callParameters(const BackendServer &server, const TraceContext &trace) const
{
    const RequestProfile &profile = this->routed.profile;
    const ProtocolAdapter &adapter = this->environment.adapter;
    const Duration left = this->relay.remainingTime();
    BackendRequestContext context{this->request, this->outcome.requestId, trace, profile, server.id, left, std::nullopt};
    if (this->relay.hasStarted()) {
        context.resumeAfter = this->relay.resumePosition();
    }
    BackendPool::CallParameters parameters;
    parameters.endpoint = server.endpoint;
    parameters.idempotent = profile.idempotent;
    parameters.isRepetition = this->outcome.attempts > 1;
    parameters.request = adapter.buildBackendRequest(context);
    parameters.checkResponse = adapter.checkResponse;
    // A buffered completion sends its response head only when it is complete, so the wait is limited by its deadline alone.
    const bool bufferedCompletion = !profile.model.isEmpty() && !this->routed.stream;
    parameters.deadline = profile.arrival + profile.requestClass.deadline;
    parameters.headTimeout = bufferedCompletion ? left : std::min(left, this->environment.options.headTimeout);
    return parameters;
}

bool CallerExchange::mayForward(const Refusal &refusal) const
{
    // The peer would have to claim the idempotency key that this instance holds.
    const bool holdsClaim = static_cast<bool>(this->settle);
    return refusal.reason == RefusalReason::Unreachable && !this->forwarded.has_value() && !holdsClaim
        && !this->relay.hasStarted();
}

asio::awaitable<void> CallerExchange::forward(Refusal refusal)
{
    ActiveSpan forwardSpan(this->environment.tracer, this->span.context(), "forward");
    const ForwardedRequest forwarding{this->environment.options.instance, this->outcome.requestId,
        RuntimeClock::now() - this->outcome.arrival, this->sentAttempts, this->outcome.configOffset};
    const RequestProfile &profile = this->routed.profile;
    ForwardRelay forwardRelay(this->environment, this->exchange, this->pool, this->outcome);
    const ForwardResult result = co_await forwardRelay.run(buildForwardedRequest(this->request, forwarding), profile,
        profile.arrival + profile.requestClass.deadline, this->disconnectSignal);
    forwardSpan.addAttribute("peer", this->outcome.forwardedTo.text());
    forwardSpan.end();
    switch (result.outcome) {
    case ForwardResult::Outcome::Answered:
        this->outcome.complete = true;
        break;
    case ForwardResult::Outcome::CallerDisconnected:
        break;
    case ForwardResult::Outcome::NotTaken:
        co_await this->sendRefusal(refusalFor(refusal));
        break;
    case ForwardResult::Outcome::Failed:
        if (forwardRelay.hasStarted()) {
            this->outcome.runState = RunState::Unknown;
            this->outcome.error = result.error.message();
            this->exchange.closeAfter();
        } else {
            refusal.reason = RefusalReason::RetriesExhausted;
            refusal.runState = RunState::Unknown;
            co_await this->sendRefusal(refusalForFailure(result.error, refusal));
        }
        break;
    }
}

bool CallerExchange::isLeftToOthers(const RefusalResponse &refusal) const
{
    const bool isUnreachable = refusal.reason == RefusalReason::Unreachable;
    const bool isDraining = refusal.reason == RefusalReason::Draining;
    // Another instance would take a request that servers have rejected here for one that none has seen.
    return this->forwarded.has_value() && refusal.runState == RunState::NotRun && this->sentAttempts == 0
        && (isUnreachable || isDraining || this->isConfigBehind);
}

asio::awaitable<void> CallerExchange::failRequest(AttemptResult result, Refusal refusal)
{
    const bool mayHaveRun = refusal.runState == RunState::Unknown;
    this->settleClaim(mayHaveRun ? ClaimOutcome::State::Unknown : ClaimOutcome::State::NotRun);
    if (this->relay.hasStarted()) {
        this->outcome.runState = RunState::Unknown;
        this->outcome.refusal = refusal.reason;
        this->outcome.error = result.error.message();
        // The body is left without its final chunk, and the connection closes after this exchange.
        this->exchange.closeAfter();
        if (this->relay.isResumable() || this->routed.stream) {
            const std::string event = this->environment.adapter.streamErrorEvent(refusalForFailure(result.error, refusal).error);
            const Result<void> ignored = co_await this->exchange.writePiece(event);
        }
        co_return;
    }
    if (this->relay.withheldResponse().has_value()) {
        HttpResponse response = *this->relay.withheldResponse();
        co_await this->sendResponse(std::move(response));
        co_return;
    }
    co_await this->sendRefusal(refusalForFailure(result.error, refusal));
}

asio::awaitable<void> CallerExchange::sendRefusal(RefusalResponse refusal)
{
    const bool leftToOthers = this->isLeftToOthers(refusal);
    if (this->routed.profile.earlierAttempts > 0) {
        refusal.runState = RunState::Unknown;
    }
    this->outcome.runState = refusal.runState;
    this->outcome.refusal = refusal.reason;
    this->outcome.error = refusal.error.message();
    if (this->disconnectSignal.isDisconnected()) {
        co_return;
    }
    HttpResponse response = this->environment.adapter.renderRefusal(refusal);
    if (leftToOthers) {
        markNotTaken(response.headers, refusal.reason == RefusalReason::Unreachable);
    }
    co_await this->sendResponse(std::move(response));
    this->outcome.complete = false;
}

asio::awaitable<void> CallerExchange::sendResponse(HttpResponse response)
{
    this->outcome.status = response.status;
    const HttpHeaders headers = this->environment.adapter.routerHeaders(this->outcome.requestId, this->span.context());
    for (const HttpHeader &field : headers.fields()) {
        response.headers.set(field.name, field.value);
    }
    const Result<void> written = co_await this->exchange.respond(std::move(response));
    this->outcome.complete = written.has_value();
}

void CallerExchange::finishCompleted()
{
    this->outcome.complete = true;
    if (this->routed.resumable && this->environment.hooks.onStreamCompleted) {
        this->environment.hooks.onStreamCompleted(
            this->routed.resumedRequest.empty() ? this->outcome.requestId : this->routed.resumedRequest);
    }
    this->settleClaim(this->relay.capturedResponse().has_value() ? ClaimOutcome::State::Completed : ClaimOutcome::State::Unknown);
}

void CallerExchange::settleClaim(ClaimOutcome::State state)
{
    const std::function<void(ClaimOutcome)> callback = std::exchange(this->settle, nullptr);
    if (!callback) {
        return;
    }
    ClaimOutcome claimOutcome;
    claimOutcome.state = state;
    if (state == ClaimOutcome::State::Completed) {
        claimOutcome.response = *this->relay.capturedResponse();
    }
    callback(std::move(claimOutcome));
}

void CallerExchange::reportUsage() const
{
    const RequestProfile &profile = this->routed.profile;
    const bool hasUsage = this->relay.reportedUsage().has_value() || this->outcome.relayedTokens > 0;
    if (!this->environment.hooks.onUsage || profile.model.isEmpty() || !hasUsage) {
        return;
    }
    UsageEvent event;
    event.clientAccount = profile.clientAccount;
    event.model = profile.model;
    event.requestId = this->outcome.requestId;
    event.promptTokens = profile.promptTokens;
    event.completionTokens = this->outcome.relayedTokens;
    // An engine that resumed a stream reports only its own part.
    if (this->relay.reportedUsage().has_value() && this->outcome.attempts == 1) {
        event.promptTokens = this->relay.reportedUsage()->promptTokens;
        event.completionTokens = this->relay.reportedUsage()->completionTokens;
        event.reportedByEngine = true;
    }
    this->environment.hooks.onUsage(event);
}

} // namespace flamingosaddle
