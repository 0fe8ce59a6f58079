#include "loopbackproxy.h"

#include "socketowner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <future>
#include <string>
#include <utility>

namespace flamingosaddle::process
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::size_t pieceBytes = 16384;
constexpr std::chrono::milliseconds endlessPause(1); // between two pieces of an endless answer

/** How an endless answer begins, and what follows again and again. */
struct EndlessAnswer {
    const char *beginning;
    const char *filler;
};

constexpr std::array endlessAnswers{
    EndlessAnswer{"HTTP/1.1 200 OK\r\nX-Noise: ", "x"},
    EndlessAnswer{"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
    EndlessAnswer{"", "x"},
    EndlessAnswer{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "x"},
    EndlessAnswer{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;extension=", "x"},
    EndlessAnswer{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nTrailer: ", "x"},
    EndlessAnswer{"HTTP/1.1 500 Internal Server Error\r\n\r\n", "x"},
    EndlessAnswer{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", "x"},
    EndlessAnswer{"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 900000000000\r\n\r\n", "x"},
};

/** Closes with a reset in place of an orderly end. */
void resetSocket(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

LoopbackProxy::Connection::Connection(Socket caller, Socket server)
    : caller(std::move(caller))
    , server(std::move(server))
{
    boost::system::error_code ignored;
    this->callerPort = this->caller.remote_endpoint(ignored).port();
}

void LoopbackProxy::Connection::reset()
{
    resetSocket(this->caller);
    resetSocket(this->server);
}

void LoopbackProxy::Connection::apply(LinkFault fault)
{
    if (fault == LinkFault::Reset) {
        this->reset();
    }
    this->forwardsRequests = this->forwardsRequests && fault != LinkFault::Silent;
    this->forwardsAnswers = this->forwardsAnswers && fault != LinkFault::Silent && fault != LinkFault::OneWay;
}

LoopbackProxy::LoopbackProxy(Endpoint target)
    : target(std::move(target))
    , acceptor(this->context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
    asio::co_spawn(this->context, this->accept(), asio::detached);
    this->thread = std::thread([this] {
        this->context.run();
    });
}

LoopbackProxy::~LoopbackProxy()
{
    this->context.stop();
    this->thread.join();
}

Endpoint LoopbackProxy::address() const
{
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
}

void LoopbackProxy::apply(std::function<void()> change)
{
    std::promise<void> applied;
    asio::post(this->context, [&change, &applied] {
        change();
        applied.set_value();
    });
    applied.get_future().wait();
}

void LoopbackProxy::setFault(LinkFault next)
{
    this->apply([this, next] {
        this->fault = next;
        for (const std::weak_ptr<Connection> &known : this->connections) {
            if (const std::shared_ptr<Connection> connection = known.lock()) {
                connection->apply(next);
            }
        }
    });
}

void LoopbackProxy::cutOff(std::set<pid_t> processes, Duration resetDelay)
{
    this->apply([this, &processes, resetDelay] {
        this->processesCutOff = std::move(processes);
        this->resetDelay = resetDelay;
        for (const std::weak_ptr<Connection> &known : this->connections) {
            const std::shared_ptr<Connection> connection = known.lock();
            if (connection && this->isCutOff(connection->callerPort)) {
                connection->reset();
            }
        }
    });
}

bool LoopbackProxy::isCutOff(std::uint16_t callerPort) const
{
    return ownSocket(this->processesCutOff, callerPort, this->acceptor.local_endpoint().port());
}

asio::awaitable<void> LoopbackProxy::accept()
{
    while (true) {
        boost::system::error_code error;
        Socket caller = co_await this->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            asio::co_spawn(this->context, this->serve(std::move(caller)), asio::detached);
        }
    }
}

asio::awaitable<void> LoopbackProxy::serve(Socket caller)
{
    boost::system::error_code ended;
    const std::uint16_t callerPort = caller.remote_endpoint(ended).port();
    const bool isCutOff = !ended && this->isCutOff(callerPort);
    if (isCutOff && this->resetDelay > Duration::zero()) {
        asio::steady_timer timer(this->context, this->resetDelay);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ended));
    }
    if (ended || isCutOff || this->fault == LinkFault::Reset) {
        resetSocket(caller);
        co_return;
    }
    Socket server(this->context);
    boost::system::error_code error;
    const tcp::endpoint address(asio::ip::make_address(this->target.address), this->target.port);
    co_await server.async_connect(address, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        resetSocket(caller);
        co_return;
    }
    const auto connection = std::make_shared<Connection>(std::move(caller), std::move(server));
    connection->apply(this->fault);
    std::erase_if(this->connections, [](const std::weak_ptr<Connection> &known) {
        return known.expired();
    });
    this->connections.push_back(connection);
    asio::co_spawn(this->context, this->pump(connection, true), asio::detached);
    co_await this->pump(connection, false);
}

asio::awaitable<void> LoopbackProxy::sendEndlessAnswer(std::shared_ptr<Connection> connection)
{
    const EndlessAnswer &answer = endlessAnswers[this->endlessCount % endlessAnswers.size()];
    const bool isFast = this->endlessCount++ / endlessAnswers.size() % 2 == 0;
    std::string piece = answer.beginning;
    boost::system::error_code error;
    while (!error && this->fault == LinkFault::Endless) {
        do {
            piece += answer.filler;
        } while (isFast && piece.size() < pieceBytes);
        co_await asio::async_write(connection->caller, asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
        piece.clear();
        asio::steady_timer timer(this->context, endlessPause);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    connection->reset();
}

asio::awaitable<void> LoopbackProxy::pump(std::shared_ptr<Connection> connection, bool isRequest)
{
    Socket &from = isRequest ? connection->caller : connection->server;
    Socket &to = isRequest ? connection->server : connection->caller;
    const bool &forwards = isRequest ? connection->forwardsRequests : connection->forwardsAnswers;
    std::array<char, pieceBytes> piece{};
    boost::system::error_code error;
    while (!error) {
        const std::size_t size
            = co_await from.async_read_some(asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
        if (this->fault == LinkFault::Delayed) {
            asio::steady_timer timer(this->context, delay);
            boost::system::error_code ignored;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        if (!forwards) {
            continue; // what comes is swallowed, an end of the connection too
        }
        if (!isRequest && !error && this->fault == LinkFault::Endless) {
            co_await this->sendEndlessAnswer(connection);
            co_return;
        }
        if (error == asio::error::eof) {
            boost::system::error_code ignored;
            to.shutdown(tcp::socket::shutdown_send, ignored);
        } else if (error) {
            resetSocket(to);
        } else {
            co_await asio::async_write(to, asio::buffer(piece.data(), size), asio::redirect_error(asio::use_awaitable, error));
        }
    }
}

} // namespace flamingosaddle::process
