#pragma once

#include "httpfixture.h"

#include <flamingosaddle/relay/callerhandler.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace flamingosaddle::test
{

inline constexpr const char *secret = "secret";
inline constexpr const char *validKey = "key-of-a";

/**
 * Client account "a" with the valid key and the classes "chat" and "once", which may use model "m" and service "s"; the
 * route "/s" to the service and the open route "/open" to it.
 */
std::shared_ptr<ConfigState> exampleConfig();

/** A backend server whose answers the test decides; it keeps every request. */
class FakeBackend
{
public:
    using Answer = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

    explicit FakeBackend(Answer answer);

    Endpoint endpoint() const;
    std::vector<HttpRequest> requests() const;
    /** Closes the listener and every connection, as the end of its process does. */
    void stop();

private:
    mutable std::mutex mutex;
    std::vector<HttpRequest> received;
    TestServer server;
};

/** Streams opening, tokens from the resume position on, finish, usage and end mark; breaks off after @p breakAfter tokens
 * unless it resumes. */
FakeBackend::Answer streamOf(int tokens, int breakAfter = -1);

/** Answers nothing until the caller goes. */
boost::asio::awaitable<void> staySilent(HttpExchange &exchange);

/** A caller handler with its server, the example configuration and the given backend servers. */
class CallerSetup
{
public:
    CallerSetup(const std::vector<const FakeBackend *> &engines, const std::vector<const FakeBackend *> &services,
        CallerHooks hooks = {}, CallerOptions options = {}, CallerInterface interface = openAiInterface(secret, RequestClass()));
    ~CallerSetup();

    void withdrawKey();
    /** Publishes the configuration so that it is fresh until @p freshUntil. */
    void publish(TimePoint freshUntil);
    /** Begins the drain of the server that callers are connected to. */
    void drain();

    /** Sends one request on a connection of its own and reads all that comes. */
    std::string exchange(const std::string &request) const;

    Endpoint endpoint() const;
    TrafficGate &trafficGate() const;

    KeyRegistry keys;
    SnapshotBoard board;
    ContextThread thread; ///< that serves the callers

private:
    std::shared_ptr<ConfigState> config;
    std::unique_ptr<TrafficGate> gate;
    std::unique_ptr<CallerHandler> handler;
    std::unique_ptr<HttpServer> server;
};

/** The text of a request with the valid key. */
std::string requestText(const std::string &line, const std::string &body, const std::string &headers = {});

/** A streamed chat request for model "m". */
std::string chatRequest(const std::string &headers = {});

int statusOf(const std::string &answer);

} // namespace flamingosaddle::test
