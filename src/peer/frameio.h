#pragma once

#include <flamingosaddle/base/memoryguard.h>
#include <flamingosaddle/base/result.h>
#include <flamingosaddle/base/timer.h>
#include <flamingosaddle/peer/frame.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <optional>
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
    std::string remoteAddress() const; ///< empty if the connection is lost
    bool isTimedOut() const; ///< whether the socket was closed because its deadline passed

private:
    PeerSocket underlying;
    Timer timer;
    TimePoint deadline = TimePoint::max();
    bool open = true;
    bool timedOut = false;
};

/**
 * The memory of a frame that is being read, in the account of the process. Frees it at its end.
 */
class FrameMemory
{
public:
    /** @param guard empty for no account @param from outlives this object */
    FrameMemory(std::shared_ptr<MemoryGuard> guard, const DeadlineSocket &from);
    ~FrameMemory();
    FrameMemory(const FrameMemory &) = delete;
    FrameMemory &operator=(const FrameMemory &) = delete;

    /** Returns whether the frame may take @p bytes in total. */
    bool grow(std::size_t bytes);

private:
    std::shared_ptr<MemoryGuard> guard;
    const DeadlineSocket &from;
    std::optional<MemoryAccount::HolderId> holder;
};

/**
 * Reads one frame. Fails with ConnectionLost, TooLarge, Protocol, or Unavailable if there is no memory for it.
 *
 * @param bytes receives the size of the frame, including its header
 * @param longest length that the frame may have
 */
boost::asio::awaitable<Result<PeerFrame>> readFrame(
    DeadlineSocket &deadlineSocket, std::size_t &bytes, std::size_t longest, FrameMemory &memory);

/** Writes all of @p bytes. Fails with ConnectionLost. */
boost::asio::awaitable<Result<void>> writeBytes(DeadlineSocket &deadlineSocket, const std::string &bytes);

} // namespace flamingosaddle
