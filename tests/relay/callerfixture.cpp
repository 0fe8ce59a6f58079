#include "callerfixture.h"

#include <flamingosaddle/base/timer.h>
#include <flamingosaddle/http/client.h>
#include <flamingosaddle/state/configstate.h>

#include <nlohmann/json.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace flamingosaddle::test
{

namespace asio = boost::asio;

namespace
{

void apply(ConfigState &state, ConfigChangeBody body)
{
    ConfigChange change;
    change.id = ChangeId("change-" + std::to_string(state.nextOffset()));
    change.body = std::move(body);
    const ChangeResult result = state.apply(state.nextOffset(), change);
    if (result.outcome != ChangeOutcome::Accepted) {
        throw std::logic_error(result.detail);
    }
}

BackendServer makeServer(const std::string &id, const Endpoint &endpoint, BackendKind kind)
{
    BackendServer server;
    server.id = BackendServerId(id);
    server.endpoint = endpoint;
    server.dataCentre = DataCentre("d");
    server.kind = kind;
    server.slots = 4096;
    if (kind == BackendKind::Engine) {
        server.models = {ModelName("m"), ModelName("hidden")};
    } else {
        server.service = ServiceName("s");
    }
    return server;
}

void applyExampleConfig(ConfigState &state)
{
    RequestClass chat;
    chat.name = ClassName("chat");
    chat.tier = 1;
    RequestClass once;
    once.name = ClassName("once");
    once.idempotent = false;
    apply(state, PutTemplate{{TemplateName("t"), 1, {chat, once}}});
    ClientAccount account;
    account.id = ClientAccountId("a");
    account.templateName = TemplateName("t");
    account.models = {ModelName("m")};
    account.services = {ServiceName("s")};
    apply(state, PutClientAccount{account});
    apply(state, GiveKey{{KeyId("k"), account.id, KeyDigest::of(validKey, secret)}});
    apply(state, PutRoute{{RouteId("r"), "/s", ServiceName("s"), false, false}});
    apply(state, PutRoute{{RouteId("o"), "/open", ServiceName("s"), true, false}});
}

std::string event(const std::string &json)
{
    return "data: " + json + "\n\n";
}

asio::awaitable<bool> acceptsConnections(Endpoint endpoint)
{
    const Result<std::unique_ptr<HttpConnection>> connected
        = co_await HttpConnection::connect(std::move(endpoint), std::chrono::seconds(1));
    co_return connected.has_value();
}

std::vector<std::string> streamEvents(int from, int tokens)
{
    std::vector<std::string> events{event(R"({"choices":[{"delta":{"role":"assistant","content":""}}]})")};
    for (int i = from; i < tokens; ++i) {
        events.push_back(event(R"({"choices":[{"delta":{"content":"t)" + std::to_string(i) + R"("},"finish_reason":null}]})"));
    }
    events.push_back(event(R"({"choices":[{"delta":{},"finish_reason":"stop"}]})"));
    events.push_back(event(R"({"choices":[],"usage":{"prompt_tokens":11,"completion_tokens":)" + std::to_string(tokens) + "}}"));
    events.push_back(event("[DONE]"));
    return events;
}

asio::awaitable<void> stream(HttpExchange &exchange, int tokens, int breakAfter)
{
    const int from = nlohmann::json::parse(exchange.request().body).value("flamingosaddle_resume_tokens", 0);
    const std::vector<std::string> events = streamEvents(from, tokens);
    HttpHeaders headers;
    headers.add("Content-Type", "text/event-stream");
    Result<void> written = co_await exchange.beginStream(200, std::move(headers));
    for (std::size_t i = 0; i < events.size() && written.has_value(); ++i) {
        if (from == 0 && breakAfter >= 0 && i == static_cast<std::size_t>(breakAfter) + 1) {
            // Writes half of an event, which must not reach the caller.
            written = co_await exchange.writePiece(events[i].substr(0, events[i].size() / 2));
            exchange.abortHandle()();
            co_return;
        }
        written = co_await exchange.writePiece(events[i]);
    }
    written = co_await exchange.endStream();
}

} // namespace

std::shared_ptr<ConfigState> exampleConfig()
{
    auto state = std::make_shared<ConfigState>();
    applyExampleConfig(*state);
    return state;
}

FakeBackend::FakeBackend(Handler handler)
    : server([this, handler = std::move(handler)](HttpExchange &exchange) {
        {
            const std::scoped_lock lock(this->mutex);
            this->receivedRequests.push_back(exchange.request());
        }
        return handler(exchange);
    })
{
}

Endpoint FakeBackend::endpoint() const
{
    return this->server.endpoint();
}

std::vector<HttpRequest> FakeBackend::requests() const
{
    const std::scoped_lock lock(this->mutex);
    return this->receivedRequests;
}

void FakeBackend::stop()
{
    if (this->portHolder.is_open()) {
        return;
    }
    this->server.server->stop();
    // The listener closes on the server's thread.
    while (this->server.thread.await(acceptsConnections(this->endpoint()))) {
        std::this_thread::yield();
    }
    const boost::asio::ip::tcp::endpoint address(boost::asio::ip::make_address(this->endpoint().address), this->endpoint().port);
    using ReuseAddress = boost::asio::socket_base::reuse_address;
    this->portHolder.open(address.protocol());
    // Closed connections may still hold the port in TIME_WAIT. Without the option, no later socket shares it.
    this->portHolder.set_option(ReuseAddress(true));
    this->portHolder.bind(address);
    this->portHolder.set_option(ReuseAddress(false));
}

void FakeBackend::settle()
{
    this->server.thread.await([]() -> asio::awaitable<void> {
        co_return;
    }());
}

FakeBackend::Handler streamTokens(int tokens, int breakAfter)
{
    return [tokens, breakAfter](HttpExchange &exchange) {
        return stream(exchange, tokens, breakAfter);
    };
}

asio::awaitable<void> neverRespond(HttpExchange &exchange)
{
    Timer disconnected(co_await asio::this_coro::executor, TimePoint::max());
    exchange.onGone([&disconnected]() {
        disconnected.cancel();
    });
    boost::system::error_code ignored;
    co_await disconnected.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

CallerFixture::CallerFixture(const std::vector<const FakeBackend *> &engines, const std::vector<const FakeBackend *> &services,
    CallerHooks hooks, CallerOptions options, ProtocolAdapter interface, const DispatcherOptions &dispatcherOptions)
    : config(exampleConfig())
{
    for (const FakeBackend *engine : engines) {
        const std::string id = "e" + std::to_string(this->config->nextOffset());
        apply(*this->config, PutBackendServer{makeServer(id, engine->endpoint(), BackendKind::Engine)});
    }
    for (const FakeBackend *service : services) {
        const std::string id = "s" + std::to_string(this->config->nextOffset());
        apply(*this->config, PutBackendServer{makeServer(id, service->endpoint(), BackendKind::Service)});
    }
    this->publish(TimePoint::max());
    AsyncDispatcherHooks dispatcherHooks;
    dispatcherHooks.onPathChecks = [this](const std::vector<PathCheck> &checks) {
        // Posted, since the hook runs within update(): answers given there recurse for as long as a test advances the clock.
        asio::post(this->thread.context, [this, checks] {
            this->dispatcher->update([this, &checks](Dispatcher &dispatcher, TimePoint now) {
                for (const PathCheck &check : checks) {
                    dispatcher.onPathCheck(check, this->hasPath, now);
                }
            });
        });
    };
    this->dispatcher = std::make_unique<AsyncDispatcher>(
        Dispatcher(dispatcherOptions), this->thread.context.get_executor(), std::move(dispatcherHooks));
    this->dispatcher->setServers(backendServersOf(*this->config));
    this->handler = std::move(CallerHandler::Builder()
                                  .snapshots(&this->snapshots)
                                  .dispatcher(this->dispatcher.get())
                                  .connections(&this->connections)
                                  .adapter(std::move(interface))
                                  .options(std::move(options))
                                  .hooks(std::move(hooks))
                                  .contexts({&this->thread.context})
                                  .build()
                                  .value());
    this->server = std::move(HttpServer::Builder()
                                 .listenOn({ownLoopbackAddress(), 0})
                                 .handler(this->handler->handler())
                                 .contexts({&this->thread.context})
                                 .start()
                                 .value());
    this->forwardServer = std::move(HttpServer::Builder()
                                        .listenOn({ownLoopbackAddress(), 0})
                                        .handler(this->handler->forwardedHandler())
                                        .contexts({&this->thread.context})
                                        .start()
                                        .value());
}

CallerFixture::~CallerFixture()
{
    // Exchanges in flight end on the server's thread before the objects that they use are destroyed.
    this->server->stop();
    this->forwardServer->stop();
    while (this->server->connectionCount() + this->forwardServer->connectionCount() > 0) {
        std::this_thread::yield();
    }
    // Otherwise timers of idle backend connections would run concurrently with the destructor of their pool.
    this->thread.stop();
}

BackendServerId CallerFixture::addEngine(const Endpoint &endpoint, const std::string &softwareVersion)
{
    this->config = std::make_shared<ConfigState>(*this->config);
    const std::string id = "e" + std::to_string(this->config->nextOffset());
    BackendServer engine = makeServer(id, endpoint, BackendKind::Engine);
    engine.softwareVersion = softwareVersion;
    apply(*this->config, PutBackendServer{std::move(engine)});
    this->publish(TimePoint::max());
    this->dispatcher->setServers(backendServersOf(*this->config));
    return BackendServerId(id);
}

void CallerFixture::setSoftwareVersion(const BackendServerId &id, const std::string &softwareVersion)
{
    this->config = std::make_shared<ConfigState>(*this->config);
    BackendServer engine = this->config->findBackendServer(id)->value;
    engine.softwareVersion = softwareVersion;
    apply(*this->config, PutBackendServer{std::move(engine)});
    this->publish(TimePoint::max());
    this->dispatcher->setServers(backendServersOf(*this->config));
}

void CallerFixture::publish(TimePoint freshUntil)
{
    this->snapshots.publish(std::make_shared<RoutingSnapshot>(this->config, std::set<KeyId>(), freshUntil));
}

void CallerFixture::limitDeadlines(TimePoint deadline)
{
    this->handler->limitDeadlines(deadline);
}

void CallerFixture::drain()
{
    this->server->drain();
}

Endpoint CallerFixture::forwardEndpoint() const
{
    return this->forwardServer->localEndpoint();
}

void CallerFixture::setPath(bool path)
{
    this->hasPath = path;
}

AsyncDispatcher &CallerFixture::asyncDispatcher() const
{
    return *this->dispatcher;
}

void CallerFixture::withdrawKey()
{
    this->config = std::make_shared<ConfigState>(*this->config);
    apply(*this->config, WithdrawKey{KeyId("k")});
    this->publish(TimePoint::max());
    this->connections.closeConnections(KeyId("k"));
}

std::string CallerFixture::exchange(const std::string &request) const
{
    RawClient client(this->endpoint());
    client.send(request);
    return client.readAll();
}

Endpoint CallerFixture::endpoint() const
{
    return this->server->localEndpoint();
}

std::string requestText(const std::string &line, const std::string &body, const std::string &headers)
{
    return line + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + headers
        + "\r\n" + body;
}

std::string chatRequest(const std::string &headers)
{
    const std::string body = R"({"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]})";
    return requestText("POST /v1/chat/completions", body, std::string("Authorization: Bearer ") + validKey + "\r\n" + headers);
}

int statusOf(const std::string &response)
{
    constexpr std::size_t statusPosition = 9;
    return response.size() < statusPosition + 3 ? 0 : std::stoi(response.substr(statusPosition, 3));
}

} // namespace flamingosaddle::test
