#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/endpoint.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <set>
#include <thread>

namespace flamingosaddle::process
{

enum class LinkFault {
    None,
    Delayed, ///< each piece arrives later
    Silent, ///< connections carry nothing any more, for good, and are not closed; new ones are like that, too
    OneWay, ///< the same for what the server sends; the server hears its callers
    Reset, ///< connections are reset, new ones at once
    Endless, ///< in place of an answer come bytes that never make one, without end, until the caller closes or the fault is over
};

/**
 * A TCP proxy on loopback that stands between two processes and harms what passes. Connections that went silent stay so when
 * the fault is over; new ones work.
 */
class LoopbackProxy
{
public:
    static constexpr Duration delay = std::chrono::milliseconds(150);

    explicit LoopbackProxy(Endpoint target);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy &) = delete;
    LoopbackProxy &operator=(const LoopbackProxy &) = delete;

    /** Both return when the change is in force. Any thread. */
    void setFault(LinkFault fault);
    /**
     * Resets the connections of some processes, and new ones after a delay, for which they are accepted and carry nothing.
     * Replaces the processes of the last call.
     */
    void cutOff(std::set<pid_t> processes, Duration resetDelay = Duration::zero());
    Endpoint address() const;

private:
    using Socket = boost::asio::ip::tcp::socket;

    struct Connection {
        Connection(Socket caller, Socket server);
        void apply(LinkFault fault);
        void reset();

        Socket caller;
        Socket server;
        std::uint16_t callerPort = 0;
        bool forwardsRequests = true;
        bool forwardsAnswers = true;
    };

    /** Runs a change on the proxy's thread and waits for its end. */
    void apply(std::function<void()> change);
    /** Returns whether the connection comes from a process that is cut off. */
    bool isCutOff(std::uint16_t callerPort) const;
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(Socket caller);
    boost::asio::awaitable<void> pump(std::shared_ptr<Connection> connection, bool isRequest);
    /** Sends one of the endless answers, the next one each time, slowly or as fast as it is read. */
    boost::asio::awaitable<void> sendEndlessAnswer(std::shared_ptr<Connection> connection);

    Endpoint target;
    boost::asio::io_context context{1};
    boost::asio::ip::tcp::acceptor acceptor;
    LinkFault fault = LinkFault::None;
    std::set<pid_t> processesCutOff;
    Duration resetDelay{0}; // of their new connections
    std::size_t endlessCount = 0;
    std::list<std::weak_ptr<Connection>> connections;
    std::thread thread;
};

} // namespace flamingosaddle::process
