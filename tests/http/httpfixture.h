#pragma once

#include "loopbackaddress.h"

#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/http/server.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <type_traits>
#include <utility>

namespace flamingosaddle::test
{

/**
 * An io_context and the thread that runs it.
 */
class ContextThread
{
public:
    ContextThread();
    ~ContextThread();

    /** Ends the thread; what waits in the context is not run any more. */
    void stop();

    boost::asio::io_context context{1};

    /** Returns after the thread has handled what was ready. */
    void settle();

    /**
     * Processor time that the thread has used.
     */
    std::chrono::nanoseconds cpuTime();

    /**
     * Starts a coroutine on the thread.
     */
    template <typename T>
    std::future<T> start(boost::asio::awaitable<T> work)
    {
        std::promise<T> promise;
        std::future<T> future = promise.get_future();
        boost::asio::co_spawn(this->context, fulfil(std::move(work), std::move(promise)), boost::asio::detached);
        return future;
    }

    /**
     * Runs a coroutine on the thread and waits for its value.
     */
    template <typename T>
    T await(boost::asio::awaitable<T> work)
    {
        return this->start(std::move(work)).get();
    }

private:
    template <typename T>
    static boost::asio::awaitable<void> fulfil(boost::asio::awaitable<T> work, std::promise<T> promise)
    {
        if constexpr (std::is_void_v<T>) {
            co_await std::move(work);
            promise.set_value();
        } else {
            promise.set_value(co_await std::move(work));
        }
    }

    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
    std::thread thread;
};

/**
 * A server with a handler of the test's, on a free port of ownLoopbackAddress().
 */
class TestServer
{
public:
    explicit TestServer(HttpHandler handler, HttpServerLimits limits = {});
    ~TestServer();

    Endpoint endpoint() const;

    ContextThread thread;
    std::unique_ptr<HttpServer> server;
};

/**
 * A blocking TCP client that sends and reads plain bytes.
 */
class RawClient
{
public:
    explicit RawClient(const Endpoint &endpoint);

    void send(std::string_view bytes);
    /** Everything up to the end of the connection. */
    std::string readAll();
    /** Everything up to and including @p mark, or up to the end of the connection. */
    std::string readUntil(std::string_view mark);
    bool hasInput();
    /** Tells the server that nothing more comes. */
    void finishSending();
    void close();

private:
    bool readSome();

    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket;
    std::string received;
};

/**
 * A TCP server that answers each connection's first request with fixed bytes and closes.
 */
class RawServer
{
public:
    explicit RawServer(std::string answer);
    ~RawServer();

    Endpoint endpoint() const;

private:
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::thread thread;
};

/**
 * A TCP server that the test plays itself, with one connection at a time.
 */
class ManualServer
{
public:
    ManualServer();

    Endpoint endpoint() const;
    /** Waits for a connection, which replaces the one before, and for the head of its first request. */
    void acceptRequest();
    /** Returns whether the bytes were sent; they are not once the client has closed the connection. */
    bool send(std::string_view bytes);
    /** Reads until @p count bytes of the request's body have come or the client has closed. Returns how many have come. */
    std::size_t readBody(std::size_t count);
    /** Tells the client that nothing more comes. */
    void finishSending();
    /** Resets the connection. */
    void reset();

private:
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::ip::tcp::socket socket;
    std::size_t bodyBytes = 0; // of the request that have come
};

} // namespace flamingosaddle::test
