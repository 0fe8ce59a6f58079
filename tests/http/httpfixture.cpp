#include "httpfixture.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <pthread.h>

#include <array>
#include <ctime>

namespace flamingosaddle::test
{

namespace asio = boost::asio;
using asio::ip::tcp;

ContextThread::ContextThread()
    : guard(this->context.get_executor())
    , thread([this]() {
        this->context.run();
    })
{
}

ContextThread::~ContextThread()
{
    this->stop();
}

void ContextThread::stop()
{
    this->guard.reset();
    this->context.stop();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void ContextThread::settle()
{
    // Handlers that are ready run before or between these.
    for (int round = 0; round < 3; ++round) {
        this->await([]() -> asio::awaitable<void> {
            co_return;
        }());
    }
}

std::chrono::nanoseconds ContextThread::cpuTime()
{
    clockid_t clock{};
    timespec time{};
    if (pthread_getcpuclockid(this->thread.native_handle(), &clock) != 0 || clock_gettime(clock, &time) != 0) {
        return std::chrono::nanoseconds::zero();
    }
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

TestServer::TestServer(HttpHandler handler, HttpServerLimits limits)
{
    auto started = HttpServer::Builder()
                       .listenOn({ownLoopbackAddress(), 0})
                       .limits(limits)
                       .handler(std::move(handler))
                       .contexts({&this->thread.context})
                       .start();
    this->server = std::move(started.value());
}

TestServer::~TestServer()
{
    this->server.reset();
}

Endpoint TestServer::endpoint() const
{
    return this->server->localEndpoint();
}

RawClient::RawClient(const Endpoint &endpoint)
    : socket(this->context)
{
    this->socket.connect(tcp::endpoint(asio::ip::make_address(endpoint.address), endpoint.port));
}

void RawClient::send(std::string_view bytes)
{
    // The server may close before it has read everything.
    boost::system::error_code ignored;
    asio::write(this->socket, asio::buffer(bytes.data(), bytes.size()), ignored);
}

bool RawClient::readSome()
{
    std::array<char, 4096> buffer{};
    boost::system::error_code error;
    const std::size_t count = this->socket.read_some(asio::buffer(buffer), error);
    this->received.append(buffer.data(), count);
    return !error;
}

std::string RawClient::readAll()
{
    while (this->readSome()) {
    }
    return std::exchange(this->received, {});
}

std::string RawClient::readUntil(std::string_view mark)
{
    std::size_t found = this->received.find(mark);
    while (found == std::string::npos && this->readSome()) {
        found = this->received.find(mark);
    }
    const std::size_t end = found == std::string::npos ? this->received.size() : found + mark.size();
    std::string text = this->received.substr(0, end);
    this->received.erase(0, end);
    return text;
}

bool RawClient::hasInput()
{
    return this->socket.available() > 0;
}

void RawClient::finishSending()
{
    boost::system::error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void RawClient::close()
{
    this->socket.close();
}

RawServer::RawServer(std::string answer)
    : acceptor(this->context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    , thread([this, answer = std::move(answer)]() {
        boost::system::error_code error;
        tcp::socket peer = this->acceptor.accept(error);
        std::array<char, 4096> request{};
        while (!error && peer.is_open()) {
            peer.read_some(asio::buffer(request), error);
            asio::write(peer, asio::buffer(answer), error);
            peer.close();
        }
    })
{
}

RawServer::~RawServer()
{
    this->thread.join();
}

Endpoint RawServer::endpoint() const
{
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
}

ManualServer::ManualServer()
    : acceptor(this->context, tcp::endpoint(asio::ip::make_address(ownLoopbackAddress()), 0))
    , socket(this->context)
{
}

Endpoint ManualServer::endpoint() const
{
    const tcp::endpoint local = this->acceptor.local_endpoint();
    return {local.address().to_string(), local.port()};
}

void ManualServer::acceptRequest()
{
    this->socket = this->acceptor.accept();
    this->socket.set_option(tcp::no_delay(true));
    std::string request;
    const std::size_t headBytes = asio::read_until(this->socket, asio::dynamic_buffer(request), "\r\n\r\n");
    this->bodyBytes = request.size() - headBytes;
}

bool ManualServer::send(std::string_view bytes)
{
    boost::system::error_code error;
    asio::write(this->socket, asio::buffer(bytes.data(), bytes.size()), error);
    return !error;
}

std::size_t ManualServer::readBody(std::size_t count)
{
    std::array<char, 65'536> buffer{};
    boost::system::error_code error;
    while (this->bodyBytes < count && !error) {
        this->bodyBytes += this->socket.read_some(asio::buffer(buffer), error);
    }
    return this->bodyBytes;
}

void ManualServer::finishSending()
{
    this->socket.shutdown(tcp::socket::shutdown_send);
}

void ManualServer::reset()
{
    this->socket.set_option(asio::socket_base::linger(true, 0));
    this->socket.close();
}

} // namespace flamingosaddle::test
