#include "serverconnection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace asio = boost::asio;

namespace
{

// The account is asked once for so many bytes, so that a large body doesn't take its lock with each read.
constexpr std::size_t smallHoldingStep = std::size_t{16} * 1024; // up to the next step, for the many requests of ordinary size
constexpr std::size_t holdingStep = std::size_t{64} * 1024;

std::size_t roundUp(std::size_t bytes)
{
    const std::size_t step = bytes < holdingStep ? smallHoldingStep : holdingStep;
    return (bytes + step - 1) / step * step;
}

} // namespace

void CurrentLimits::assign(const CallerLimits &limits)
{
    const auto take = [](auto &target, auto value) {
        if (value != decltype(value){}) {
            target = value;
        }
    };
    take(this->maxHeaderBytes, limits.maxHeaderBytes);
    take(this->maxBodyBytes, limits.maxBodyBytes);
    take(this->headerTimeout, limits.headerTimeout);
    take(this->idleTimeout, limits.idleTimeout);
}

bool ServerCore::closeLongestWaiting()
{
    // The last owner of a connection takes the mutex, so that none may go while it is held.
    std::vector<std::shared_ptr<ServerConnection>> open;
    {
        const std::scoped_lock lock(this->mutex);
        open.reserve(this->connections.size());
        for (const auto &[id, weak] : this->connections) {
            open.push_back(weak.lock());
        }
    }
    std::shared_ptr<ServerConnection> longest;
    TimePoint since = TimePoint::max();
    for (const std::shared_ptr<ServerConnection> &connection : open) {
        if (connection && connection->waitingSince() < since) {
            since = connection->waitingSince();
            longest = connection;
        }
    }
    if (!longest) {
        return false;
    }
    longest->abort();
    this->onConnectionClosed();
    return true;
}

TimePoint ServerConnection::waitingSince() const
{
    return this->abortRequested ? TimePoint::max() : this->waitsSince.load();
}

asio::awaitable<bool> ServerConnection::awaitMemory(std::size_t bytes)
{
    if (!this->core->memory) {
        co_return true;
    }
    this->openHolder();
    const std::size_t wanted = roundUp(bytes);
    if (this->core->memory->grow(*this->holder, wanted)) {
        this->grantedBytes = wanted;
        co_return true;
    }
    // The caller can't move while its bytes aren't read, so that its time stands still.
    this->isMemoryPaused = true;
    this->watchdog.disarm();
    while (this->isMemoryPaused && !this->memoryRefusal.has_value() && !this->gone) {
        boost::system::error_code ignored;
        co_await this->inputArrived.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    this->watchdog.arm(this->core->limits.bodyTimeout);
    if (this->memoryRefusal.has_value() || this->gone) {
        co_return false;
    }
    this->grantedBytes = wanted;
    co_return true;
}

void ServerConnection::openHolder()
{
    if (this->holder.has_value()) {
        return;
    }
    boost::system::error_code error;
    const asio::ip::tcp::endpoint remote = this->socket.remote_endpoint(error);
    const std::string address = error ? std::string() : remote.address().to_string();
    this->holder = this->core->memory->open(this->core->memoryOwner, address, this->weak_from_this());
}

void ServerConnection::setHeld(std::size_t bytes)
{
    this->openHolder();
    this->core->memory->set(*this->holder, bytes);
    this->grantedBytes = bytes;
}

void ServerConnection::beginPhase(MemoryAccount::Phase memoryPhase)
{
    this->core->memory->beginPhase(*this->holder, memoryPhase);
}

bool ServerConnection::holdAnswer(std::size_t bytes)
{
    if (!this->core->memory || bytes <= uncountedBytes) {
        return true;
    }
    const std::size_t wanted = this->requestBytes + roundUp(bytes);
    if (wanted > this->grantedBytes) {
        this->setHeld(wanted);
        this->beginPhase(MemoryAccount::Phase::Owed);
    }
    return !this->core->memory->isShort();
}

void ServerConnection::releaseMemory()
{
    if (this->holder.has_value()) {
        this->core->memory->close(*this->holder);
        this->holder.reset();
    }
    this->grantedBytes = 0;
    this->requestBytes = 0;
    this->fieldBytes = 0;
    this->isMemoryPaused = false;
    this->memoryRefusal.reset();
}

Error ServerConnection::memoryError() const
{
    if (this->memoryRefusal == MemoryRefusal::NoRoom) {
        return {ErrorKind::Unavailable, "there is no memory for the request at present", "try again later"};
    }
    return {ErrorKind::Timeout, "the request stopped coming while memory was short", "send it without pauses"};
}

void ServerConnection::onMemoryGranted(MemoryAccount::HolderId granted)
{
    asio::post(this->socket.get_executor(), [self = this->shared_from_this(), granted]() {
        if (self->holder == granted) {
            self->isMemoryPaused = false;
            self->inputArrived.cancel();
        }
    });
}

void ServerConnection::onMemoryRefused(MemoryAccount::HolderId refused, MemoryRefusal reason)
{
    asio::post(this->socket.get_executor(), [self = this->shared_from_this(), refused, reason]() {
        if (self->holder != refused) {
            return;
        }
        if (self->phase == Phase::Reading) {
            self->memoryRefusal = reason;
            self->inputArrived.cancel();
        } else if (self->writing && reason == MemoryRefusal::ReadTooSlowly) {
            self->closeNow();
        }
    });
}

} // namespace flamingosaddle
