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
 * Returns a configuration with the client account "a", which has the valid key and the classes "chat" and "once" and may use
 * model "m" and service "s". The route "/s" and the open route "/open" lead to the service.
 */
std::shared_ptr<ConfigState> exampleConfig();

/** A backend server with a handler supplied by the test. Records every request. */
class FakeBackend
{
public:
    using Handler = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

    explicit FakeBackend(Handler handler);

    Endpoint endpoint() const;
    std::vector<HttpRequest> requests() const;
    /**
     * Closes the listener and every connection, as when its process ends. The port stays taken, so that no server that starts
     * later gets the requests that are meant for this one. Idempotent.
     */
    void stop();
    /** Returns when what has arrived so far is handled. */
    void settle();

private:
    mutable std::mutex mutex;
    std::vector<HttpRequest> receivedRequests;
    boost::asio::io_context portContext;
    boost::asio::ip::tcp::socket portHolder{portContext}; // bound to the port, without listening, once the server is stopped
    TestServer server;
};

/**
 * Streams the initial event, the tokens from the resume position on, the finish reason, the usage and `[DONE]`. Closes the
 * connection after @p breakAfter tokens unless the request resumes a stream.
 */
FakeBackend::Handler streamTokens(int tokens, int breakAfter = -1);

/** Sends no response; returns when the caller disconnects. */
boost::asio::awaitable<void> neverRespond(HttpExchange &exchange);

/** A caller handler and its server, with the example configuration and the given backend servers. */
class CallerFixture
{
public:
    CallerFixture(const std::vector<const FakeBackend *> &engines, const std::vector<const FakeBackend *> &services,
        CallerHooks hooks = {}, CallerOptions options = {}, ProtocolAdapter interface = openAiAdapter(secret, RequestClass()),
        const DispatcherOptions &dispatcherOptions = {});
    ~CallerFixture();

    /** Returns the id of the new engine. */
    BackendServerId addEngine(const Endpoint &endpoint, const std::string &softwareVersion = {});
    /** Lets an engine be one that has restarted in its place with another software version. */
    void setSoftwareVersion(const BackendServerId &id, const std::string &softwareVersion);
    void withdrawKey();
    /** Publishes the configuration as fresh until @p freshUntil. */
    void publish(TimePoint freshUntil);
    /** Starts draining the server that callers are connected to. */
    void drain();

    /** Lets no request go on beyond @p deadline, as at the end of a drain. */
    void limitDeadlines(TimePoint deadline);

    /** Sends one request on a new connection and reads until it is closed. */
    std::string exchange(const std::string &request) const;

    Endpoint endpoint() const;
    /** The address at which the instance takes forwarded requests. */
    Endpoint forwardEndpoint() const;
    AsyncDispatcher &asyncDispatcher() const;
    /** Lets checks of paths to backend servers succeed or fail from now on. */
    void setPath(bool hasPath);

    ConnectionRegistry connections;
    SharedRoutingSnapshot snapshots;
    ContextThread thread; ///< serves the callers

private:
    std::shared_ptr<ConfigState> config;
    std::unique_ptr<AsyncDispatcher> dispatcher;
    std::unique_ptr<CallerHandler> handler;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<HttpServer> forwardServer;
    std::atomic<bool> hasPath = true;
};

/** Returns the text of a request that closes its connection. */
std::string requestText(const std::string &line, const std::string &body, const std::string &headers = {});

/** Returns the text of a streamed chat request for model "m" with the valid key. */
std::string chatRequest(const std::string &headers = {});

/** Returns the status code of a response, or 0 if it is too short. */
int statusOf(const std::string &response);

} // namespace flamingosaddle::test
