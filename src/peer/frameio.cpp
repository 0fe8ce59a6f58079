#include "frameio.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::size_t frameStep = std::size_t{64} * 1024;
constexpr std::size_t uncountedFrameBytes = frameStep; // frames of every day ask for no memory

auto connectionLost(const boost::system::error_code &error)
{
    return fail(
        ErrorKind::ConnectionLost, "the connection to a peer was lost: " + error.message(), "it is reopened automatically");
}

} // namespace

DeadlineSocket::DeadlineSocket(PeerSocket socket)
    : underlying(std::move(socket))
    , timer(this->underlying.get_executor())
{
}

void DeadlineSocket::closeAfter(Duration limit)
{
    const TimePoint previousDeadline = this->deadline;
    this->deadline = RuntimeClock::now() + limit;
    // enforceDeadline() checks again at the previous deadline anyway; only an earlier deadline has to wake it.
    if (this->deadline < previousDeadline) {
        this->timer.cancel();
    }
}

void DeadlineSocket::close()
{
    this->open = false;
    boost::system::error_code ignored;
    this->underlying.close(ignored);
    this->timer.cancel();
}

boost::asio::awaitable<void> DeadlineSocket::enforceDeadline(std::shared_ptr<DeadlineSocket> deadlineSocket)
{
    while (deadlineSocket->open) {
        if (RuntimeClock::now() >= deadlineSocket->deadline) {
            deadlineSocket->timedOut = true;
            deadlineSocket->close();
            break;
        }
        deadlineSocket->timer.expires_at(deadlineSocket->deadline);
        boost::system::error_code ignored;
        co_await deadlineSocket->timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
}

PeerSocket &DeadlineSocket::socket()
{
    return this->underlying;
}

bool DeadlineSocket::isOpen() const
{
    return this->open;
}

bool DeadlineSocket::isTimedOut() const
{
    return this->timedOut;
}

std::string DeadlineSocket::remoteAddress() const
{
    boost::system::error_code error;
    const auto remote = this->underlying.remote_endpoint(error);
    return error ? std::string() : remote.address().to_string();
}

FrameMemory::FrameMemory(std::shared_ptr<MemoryGuard> guard, const DeadlineSocket &from)
    : guard(std::move(guard))
    , from(from)
{
}

FrameMemory::~FrameMemory()
{
    if (this->holder.has_value()) {
        this->guard->close(*this->holder);
    }
}

bool FrameMemory::grow(std::size_t bytes)
{
    if (!this->guard || bytes <= uncountedFrameBytes) {
        return true;
    }
    if (!this->holder.has_value()) {
        this->holder = this->guard->open(MemoryOwner::Instances, this->from.remoteAddress(), {});
    }
    return this->guard->grow(*this->holder, bytes);
}

boost::asio::awaitable<Result<PeerFrame>> readFrame(
    DeadlineSocket &deadlineSocket, std::size_t &bytes, std::size_t longest, FrameMemory &memory)
{
    PeerFrameHeader header{};
    boost::system::error_code error;
    co_await boost::asio::async_read(
        deadlineSocket.socket(), boost::asio::buffer(header), boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (error) {
        co_return connectionLost(error);
    }
    const Result<std::size_t> length = decodeFrameLength(header);
    if (length.has_error()) {
        co_return fail(length.error());
    }
    if (length.value() > longest) {
        co_return fail(ErrorKind::TooLarge, "a peer announced a first frame of " + std::to_string(length.value()) + " bytes",
            "look at who connects to the address for instances");
    }
    // The length is only announced: memory is taken as the bytes come.
    std::string payload;
    while (payload.size() < length.value()) {
        const std::size_t before = payload.size();
        const std::size_t step = std::min(length.value() - before, frameStep + before);
        if (!memory.grow(before + step)) {
            co_return fail(ErrorKind::Unavailable,
                "there is no memory for a frame of " + std::to_string(length.value()) + " bytes",
                "the peer sends it again on a new connection");
        }
        payload.resize(before + step);
        co_await boost::asio::async_read(deadlineSocket.socket(), boost::asio::buffer(payload.data() + before, step),
            boost::asio::redirect_error(boost::asio::use_awaitable, error));
        if (error) {
            co_return connectionLost(error);
        }
    }
    bytes = header.size() + payload.size();
    co_return decodeFrame(payload);
}

boost::asio::awaitable<Result<void>> writeBytes(DeadlineSocket &deadlineSocket, const std::string &bytes)
{
    boost::system::error_code error;
    co_await boost::asio::async_write(
        deadlineSocket.socket(), boost::asio::buffer(bytes), boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (error) {
        co_return connectionLost(error);
    }
    co_return success();
}

} // namespace flamingosaddle
