#include <flamingosaddle/relay/callerhandler.h>

#include "callerenvironment.h"
#include "callerexchange.h"
#include "forwarding.h"

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>

#include <utility>

namespace flamingosaddle
{

namespace asio = boost::asio;

class CallerHandler::Implementation
{
public:
    Implementation(CallerEnvironment environment, std::vector<asio::io_context *> contexts)
        : environment(std::move(environment))
        , contexts(std::move(contexts))
    {
    }

    void limitDeadlines(TimePoint deadline)
    {
        for (asio::io_context *context : this->contexts) {
            asio::post(*context, [this, context, deadline]() {
                this->environment.pools.at(context)->limitDeadlines(deadline);
                this->environment.decisionWaits.at(context)->limitDeadlines(deadline);
            });
        }
    }

    HeadDecision checkHead(const HttpRequest &head) const
    {
        HeadDecision decision;
        const std::shared_ptr<const RoutingSnapshot> snapshot = this->environment.snapshots->current();
        if (!snapshot || !this->environment.adapter.admitHead) {
            return decision;
        }
        const TimePoint now = RuntimeClock::now();
        const Result<ClientAccountId> admitted = this->environment.adapter.admitHead(*snapshot, head, now);
        if (admitted.has_value()) {
            decision.clientAccount = admitted.value().text();
            return decision;
        }
        const ErrorKind kind = admitted.error().kind();
        if (kind != ErrorKind::NotFound && kind != ErrorKind::Unauthorized && kind != ErrorKind::Forbidden) {
            return decision;
        }
        const RefusalResponse refused = refusalFor(admitted.error());
        HttpResponse response = this->environment.adapter.renderRefusal(refused);
        const TraceContext trace = this->environment.tracer.contextFromHeader(head.headers.find("traceparent"));
        const HttpHeaders own = this->environment.adapter.routerHeaders(this->environment.adapter.requestId(head), trace);
        for (const HttpHeader &field : own.fields()) {
            response.headers.set(field.name, field.value);
        }
        this->reportRefused(head, *snapshot, now, refused, response.status);
        decision.refusal = std::move(response);
        return decision;
    }

    asio::awaitable<void> handle(HttpExchange &exchange)
    {
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        BackendPool &pool = *this->environment.pools.at(&executor.context());
        DecisionWaits &waits = *this->environment.decisionWaits.at(&executor.context());
        CallerExchange callerExchange(this->environment, exchange, pool, waits, std::nullopt);
        co_await callerExchange.run();
    }

    asio::awaitable<void> handleForwarded(HttpExchange &exchange)
    {
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        BackendPool &pool = *this->environment.pools.at(&executor.context());
        const Result<ForwardedRequest> forwarded = parseForwardedRequest(exchange.request());
        if (forwarded.has_error()) {
            const Result<void> ignored
                = co_await exchange.respond(this->environment.adapter.renderRefusal(refusalFor(forwarded.error())));
            co_return;
        }
        DecisionWaits &waits = *this->environment.decisionWaits.at(&executor.context());
        CallerExchange callerExchange(this->environment, exchange, pool, waits, forwarded.value());
        co_await callerExchange.run();
    }

private:
    void reportRefused(
        const HttpRequest &head, const RoutingSnapshot &snapshot, TimePoint now, const RefusalResponse &refused, int status) const
    {
        if (!this->environment.hooks.onOutcome) {
            return;
        }
        RequestOutcome outcome;
        outcome.requestId = this->environment.adapter.requestId(head);
        outcome.configOffset = snapshot.offset();
        outcome.configAge = now - (snapshot.freshUntil() - this->environment.options.freshnessLimit);
        outcome.error = refused.error.message();
        outcome.status = status;
        outcome.runState = refused.runState;
        outcome.arrival = now;
        outcome.end = now;
        this->environment.hooks.onOutcome(outcome);
    }

    CallerEnvironment environment;
    std::vector<asio::io_context *> contexts;
};

CallerHandler::CallerHandler(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

CallerHandler::~CallerHandler() = default;

asio::awaitable<void> CallerHandler::handle(HttpExchange &exchange) const
{
    return this->implementation->handle(exchange);
}

asio::awaitable<void> CallerHandler::handleForwarded(HttpExchange &exchange) const
{
    return this->implementation->handleForwarded(exchange);
}

void CallerHandler::limitDeadlines(TimePoint deadline)
{
    this->implementation->limitDeadlines(deadline);
}

HeadDecision CallerHandler::checkHead(const HttpRequest &head) const
{
    return this->implementation->checkHead(head);
}

HttpHandler CallerHandler::forwardedHandler() const
{
    return [this](HttpExchange &exchange) {
        return this->handleForwarded(exchange);
    };
}

HttpHandler CallerHandler::handler() const
{
    return [this](HttpExchange &exchange) {
        return this->handle(exchange);
    };
}

CallerHandler::Builder &CallerHandler::Builder::snapshots(const SharedRoutingSnapshot *board)
{
    this->routingSnapshots = board;
    return *this;
}

CallerHandler::Builder &CallerHandler::Builder::dispatcher(AsyncDispatcher *dispatcher)
{
    this->asyncDispatcher = dispatcher;
    return *this;
}

CallerHandler::Builder &CallerHandler::Builder::connections(ConnectionRegistry *keys)
{
    this->connectionRegistry = keys;
    return *this;
}

CallerHandler::Builder &CallerHandler::Builder::adapter(ProtocolAdapter interface)
{
    this->protocolAdapter = std::move(interface);
    return *this;
}

CallerHandler::Builder &CallerHandler::Builder::options(CallerOptions options)
{
    this->callerOptions = std::move(options);
    return *this;
}

CallerHandler::Builder &CallerHandler::Builder::hooks(CallerHooks hooks)
{
    this->callerHooks = std::move(hooks);
    return *this;
}

CallerHandler::Builder &CallerHandler::Builder::tracer(Tracer tracer)
{
    this->requestTracer = std::move(tracer);
    return *this;
}

CallerHandler::Builder &CallerHandler::Builder::contexts(std::vector<asio::io_context *> contexts)
{
    this->executionContexts = std::move(contexts);
    return *this;
}

Result<std::unique_ptr<CallerHandler>> CallerHandler::Builder::build()
{
    if (this->routingSnapshots == nullptr || this->asyncDispatcher == nullptr || this->connectionRegistry == nullptr
        || this->executionContexts.empty() || !this->protocolAdapter.route) {
        return fail(ErrorKind::Internal,
            "a caller handler needs snapshots, a dispatcher, a connection registry, a protocol adapter and contexts",
            "set all of them on the builder");
    }
    CallerEnvironment environment{this->routingSnapshots, this->asyncDispatcher, this->connectionRegistry, this->protocolAdapter,
        this->callerOptions, this->callerHooks, this->requestTracer, {}, {}};
    for (const asio::io_context *context : this->executionContexts) {
        environment.pools.emplace(context, std::make_unique<BackendPool>(this->callerOptions.pool));
        environment.decisionWaits.emplace(context, std::make_unique<DecisionWaits>());
    }
    auto implementation = std::make_unique<Implementation>(std::move(environment), this->executionContexts);
    return std::unique_ptr<CallerHandler>(new CallerHandler(std::move(implementation)));
}

} // namespace flamingosaddle
