#pragma once

#include <flamingosaddle/base/result.h>
#include <flamingosaddle/base/timer.h>
#include <flamingosaddle/peer/frame.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>

namespace flamingosaddle
{

using PeerSocket = boost::asio::ip::tcp::socket;

/**
 * Closes a socket at the deadline, so that whatever waits on it fails. Shared by the coroutines of one connection, all on
 * one thread.
 */
class SocketGuard
{
public:
    explicit SocketGuard(PeerSocket socket);

    // Commands.
    /** Moves the deadline. */
    void closeAfter(Duration limit);
    void close();
    /** Watches the deadline until the socket is closed. */
    static boost::asio::awaitable<void> watch(std::shared_ptr<SocketGuard> guard);

    // Queries.
    PeerSocket &socket();
    bool isOpen() const;
    bool isTimedOut() const; ///< whether the deadline closed it

private:
    PeerSocket peerSocket;
    Timer timer;
    TimePoint deadline = TimePoint::max();
    bool open = true;
    bool timedOut = false;
};

/**
 * Reads one frame. Fails with ConnectionLost, TooLarge or Protocol. @p bytes receives the size of the frame.
 */
boost::asio::awaitable<Result<PeerFrame>> readFrame(SocketGuard &guard, std::size_t &bytes);

boost::asio::awaitable<Result<void>> writeBytes(SocketGuard &guard, const std::string &bytes);

} // namespace flamingosaddle
