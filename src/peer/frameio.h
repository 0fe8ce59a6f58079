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
 * A socket with a deadline. When the deadline passes, the socket is closed and pending operations on it fail. Shared by the
 * coroutines of one connection, which all run on one thread.
 */
class DeadlineSocket
{
public:
    explicit DeadlineSocket(PeerSocket socket);

    // Commands.
    /** Sets the deadline to @p limit from now. */
    void closeAfter(Duration limit);
    void close();
    /** Closes the socket when its deadline passes. Returns when the socket is closed. */
    static boost::asio::awaitable<void> enforceDeadline(std::shared_ptr<DeadlineSocket> deadlineSocket);

    // Queries.
    PeerSocket &socket();
    bool isOpen() const;
    bool isTimedOut() const; ///< whether the socket was closed because its deadline passed

private:
    PeerSocket underlying;
    Timer timer;
    TimePoint deadline = TimePoint::max();
    bool open = true;
    bool timedOut = false;
};

/**
 * Reads one frame. Fails with ConnectionLost, TooLarge or Protocol.
 *
 * @param bytes receives the size of the frame, including its header
 */
boost::asio::awaitable<Result<PeerFrame>> readFrame(DeadlineSocket &deadlineSocket, std::size_t &bytes);

/** Writes all of @p bytes. Fails with ConnectionLost. */
boost::asio::awaitable<Result<void>> writeBytes(DeadlineSocket &deadlineSocket, const std::string &bytes);

} // namespace flamingosaddle
