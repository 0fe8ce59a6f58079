#include "serverconnection.h"

#include <flamingosaddle/http/errorresponse.h>
#include <flamingosaddle/http/server.h>

#include "wire.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <utility>

namespace flamingosaddle
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

// Pause after a failed accept, for instance when no file descriptor is left.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);
constexpr int unreadBytes = 64 * 1024; // of one connection, in the kernel

/**
 * Accepts connections on the first context and spreads them over all.
 */
class Listener : public std::enable_shared_from_this<Listener>
{
public:
    Listener(std::vector<asio::io_context *> contexts, std::shared_ptr<ServerCore> core)
        : contexts(std::move(contexts))
        , core(std::move(core))
        , acceptor(*this->contexts.front())
    {
    }

    boost::system::error_code open(const Endpoint &endpoint)
    {
        boost::system::error_code error;
        const auto address = asio::ip::make_address(endpoint.address, error);
        const tcp::endpoint local(address, endpoint.port);
        if (!error) {
            this->acceptor.open(local.protocol(), error);
        }
        if (!error) {
            this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
        }
        // Connections inherit it: bytes that are received and not read count towards the machine's memory. Not every system has
        // it.
        boost::system::error_code ignored;
        this->acceptor.set_option(asio::socket_base::receive_buffer_size(unreadBytes), ignored);
        if (!error) {
            this->acceptor.bind(local, error);
        }
        if (!error) {
            this->acceptor.listen(asio::socket_base::max_listen_connections, error);
        }
        if (!error) {
            this->acceptor.non_blocking(true, error);
        }
        if (!error) {
            const tcp::endpoint bound = this->acceptor.local_endpoint(error);
            this->local = {bound.address().to_string(), bound.port()};
        }
        return error;
    }

    void start()
    {
        asio::co_spawn(
            this->acceptor.get_executor(),
            [self = this->shared_from_this()]() {
                return self->acceptAll();
            },
            asio::detached);
    }

    /**
     * Takes in the connections that the kernel has already accepted, so that a drain resets none of them, and closes.
     */
    void close()
    {
        asio::post(this->acceptor.get_executor(), [self = this->shared_from_this()]() {
            boost::system::error_code error;
            while (!error && self->acceptor.is_open()) {
                tcp::socket socket = self->acceptor.accept(self->nextContext(), error);
                if (!error) {
                    self->serve(std::move(socket));
                }
            }
            self->acceptor.close(error);
            self->closed = true;
        });
    }

    /** Returns whether close() has taken in the last connection. */
    bool isClosed() const
    {
        return this->closed;
    }

    const Endpoint &localEndpoint() const
    {
        return this->local;
    }

private:
    asio::awaitable<void> acceptAll()
    {
        while (this->acceptor.is_open()) {
            boost::system::error_code error;
            tcp::socket socket
                = co_await this->acceptor.async_accept(this->nextContext(), asio::redirect_error(asio::use_awaitable, error));
            if (!error) {
                this->serve(std::move(socket));
            } else if (this->acceptor.is_open()) {
                Timer delay(this->acceptor.get_executor(), acceptRetryDelay);
                co_await delay.async_wait(asio::redirect_error(asio::use_awaitable, error));
            }
        }
    }

    asio::io_context &nextContext()
    {
        this->next = (this->next + 1) % this->contexts.size();
        return *this->contexts[this->next];
    }

    void serve(tcp::socket socket)
    {
        const bool isFull = this->core->connectionCount >= this->core->limits.maxConnections;
        if (isFull && !(this->core->onConnectionClosed && this->core->closeLongestWaiting())) {
            this->turnAway(std::move(socket));
            return;
        }
        const auto executor = socket.get_executor();
        asio::co_spawn(
            executor,
            [connection = std::make_shared<ServerConnection>(std::move(socket), this->core)]() {
                return connection->run();
            },
            asio::detached);
    }

    void turnAway(tcp::socket socket)
    {
        HttpResponse response = this->core->errorHook(
            Error(ErrorKind::Unavailable, "too many connections", "come back later, or reuse the connections that are open"));
        response.headers.set("Connection", "close");
        response.headers.set("Content-Length", std::to_string(response.body.size()));
        const std::string head = responseHead(response.status, response.headers);
        boost::system::error_code ignored;
        socket.non_blocking(true, ignored);
        socket.write_some(std::array<asio::const_buffer, 2>{asio::buffer(head), asio::buffer(response.body)}, ignored);
        socket.shutdown(tcp::socket::shutdown_send, ignored);
    }

    std::vector<asio::io_context *> contexts;
    std::shared_ptr<ServerCore> core;
    tcp::acceptor acceptor;
    std::size_t next = 0;
    Endpoint local;
    std::atomic<bool> closed{false};
};

class Server final : public HttpServer
{
public:
    Server(std::shared_ptr<Listener> listener, std::shared_ptr<ServerCore> core)
        : listener(std::move(listener))
        , core(std::move(core))
    {
    }

    ~Server() override
    {
        this->stopAll();
    }

    Endpoint localEndpoint() const override
    {
        return this->listener->localEndpoint();
    }

    std::size_t connectionCount() const override
    {
        return this->core->connectionCount;
    }

    std::size_t activeExchangeCount() const override
    {
        return this->core->activeExchanges;
    }

    bool isDrained() const override
    {
        // In this order: a connection that is taken in counts before the listener is closed.
        return this->listener->isClosed() && this->core->connectionCount == 0;
    }

    void announceDrain() override
    {
        if (!this->core->draining.exchange(true)) {
            this->core->drainAnnouncedAt = RuntimeClock::now();
        }
    }

    void drain() override
    {
        this->announceDrain();
        this->core->closing = true;
        this->listener->close();
        this->forEachConnection(&ServerConnection::drain);
    }

    void stop() override
    {
        this->stopAll();
    }

    void setCallerLimits(const CallerLimits &limits) override
    {
        this->core->callerLimits.assign(limits);
    }

private:
    void stopAll()
    {
        this->core->draining = true;
        this->core->stopped = true;
        this->listener->close();
        this->forEachConnection(&ServerConnection::abort);
    }

    void forEachConnection(void (ServerConnection::*command)())
    {
        std::vector<std::shared_ptr<ServerConnection>> open;
        {
            const std::scoped_lock lock(this->core->mutex);
            for (const auto &[id, weak] : this->core->connections) {
                if (std::shared_ptr<ServerConnection> connection = weak.lock()) {
                    open.push_back(std::move(connection));
                }
            }
        }
        for (const std::shared_ptr<ServerConnection> &connection : open) {
            (connection.get()->*command)();
        }
    }

    std::shared_ptr<Listener> listener;
    std::shared_ptr<ServerCore> core;
};

} // namespace

HttpServer::Builder &HttpServer::Builder::listenOn(Endpoint endpoint)
{
    this->endpoint = std::move(endpoint);
    return *this;
}

HttpServer::Builder &HttpServer::Builder::limits(HttpServerLimits limits)
{
    this->serverLimits = limits;
    return *this;
}

HttpServer::Builder &HttpServer::Builder::handler(HttpHandler handler)
{
    this->requestHandler = std::move(handler);
    return *this;
}

HttpServer::Builder &HttpServer::Builder::errorResponse(std::function<HttpResponse(const Error &)> hook)
{
    this->errorHook = std::move(hook);
    return *this;
}

HttpServer::Builder &HttpServer::Builder::headCheck(HeadCheck check)
{
    this->checkHead = std::move(check);
    return *this;
}

HttpServer::Builder &HttpServer::Builder::onConnectionClosed(std::function<void()> hook)
{
    this->closedHook = std::move(hook);
    return *this;
}

HttpServer::Builder &HttpServer::Builder::memory(std::shared_ptr<MemoryGuard> guard, MemoryOwner owner)
{
    this->memoryGuard = std::move(guard);
    this->memoryOwner = owner;
    return *this;
}

HttpServer::Builder &HttpServer::Builder::contexts(std::vector<asio::io_context *> contexts)
{
    this->executionContexts = std::move(contexts);
    return *this;
}

Result<std::unique_ptr<HttpServer>> HttpServer::Builder::start()
{
    if (this->executionContexts.empty() || !this->requestHandler) {
        return fail(ErrorKind::Internal, "an HTTP server needs a context and a handler", "set both on the builder");
    }
    auto core = std::make_shared<ServerCore>();
    core->limits = this->serverLimits;
    core->callerLimits.assign({this->serverLimits.maxHeaderBytes, this->serverLimits.maxBodyBytes,
        this->serverLimits.headerTimeout, this->serverLimits.idleTimeout});
    core->handler = this->requestHandler;
    core->onConnectionClosed = this->closedHook;
    core->checkHead = this->checkHead;
    core->memory = this->memoryGuard;
    core->memoryOwner = this->memoryOwner;
    core->errorHook = this->errorHook ? this->errorHook : flamingosaddle::errorResponse;
    auto listener = std::make_shared<Listener>(this->executionContexts, core);
    const boost::system::error_code error = listener->open(this->endpoint);
    if (error) {
        return fail(ErrorKind::InvalidSetting, "cannot listen on " + this->endpoint.text() + ": " + error.message(),
            "choose an address of this machine and a free port");
    }
    listener->start();
    return std::unique_ptr<HttpServer>(std::make_unique<Server>(std::move(listener), std::move(core)));
}

} // namespace flamingosaddle
