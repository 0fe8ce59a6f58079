#include <flamingosaddle/peer/peerlink.h>

#include "frameio.h"

#include <flamingosaddle/base/backoff.h>
#include <flamingosaddle/base/delay.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>
#include <string>
#include <utility>

namespace flamingosaddle
{

namespace
{

using boost::asio::ip::tcp;

} // namespace

class PeerLink::Core
{
public:
    Core(boost::asio::io_context &context, const PeerLinkOptions &options, PeerLinkHooks hooks)
        : context(context)
        , options(options)
        , hooks(std::move(hooks))
        , backoff(options.timing.initialRetryDelay, options.timing.maxRetryDelay, options.seed)
        , wakeTimer(context)
    {
    }

    /**
     * Connects, and reconnects after failures, until stop() is called.
     */
    static boost::asio::awaitable<void> run(std::shared_ptr<Core> core)
    {
        while (!core->stopped) {
            const bool connected = co_await connect(core);
            if (connected) {
                boost::asio::co_spawn(core->context, readAcknowledgements(core, core->deadlineSocket), boost::asio::detached);
                co_await sendFrames(core, core->deadlineSocket);
                core->endConnection();
            }
            if (!core->stopped) {
                co_await delay(core->backoff.next());
            }
        }
    }

    Result<void> send(const EncodedMessage &message)
    {
        if (!this->established || !this->deadlineSocket->isOpen()) {
            return fail(ErrorKind::Unavailable, "there is no connection to " + this->options.peer.text(),
                "it is part of the initial messages of the next connection");
        }
        BOOST_OUTCOME_TRY(bytes, encodeFrame(this->nextSequence, message));
        if (this->queuedBytes + bytes.size() > this->options.timing.maxQueuedBytes) {
            ++this->counts.queueOverflows;
            this->deadlineSocket->close();
            this->wakeTimer.cancel();
            return fail(ErrorKind::Overloaded, "the send queue is full for " + this->options.peer.text(),
                "it is part of the initial messages of the next connection");
        }
        ++this->nextSequence;
        this->queuedBytes += bytes.size();
        this->queue.push_back(std::move(bytes));
        this->wakeTimer.cancel();
        return success();
    }

    void stop()
    {
        this->stopped = true;
        this->wakeTimer.cancel();
        if (this->deadlineSocket) {
            this->deadlineSocket->close();
        }
    }

    bool isConnected() const
    {
        return this->established && this->deadlineSocket->isOpen() && this->acknowledged;
    }

    const PeerLinkCounters &counters() const
    {
        return this->counts;
    }

private:
    static boost::asio::awaitable<bool> connect(std::shared_ptr<Core> core)
    {
        auto deadlineSocket = std::make_shared<DeadlineSocket>(tcp::socket(core->context));
        core->deadlineSocket = deadlineSocket;
        deadlineSocket->closeAfter(core->options.timing.connectTimeout);
        boost::asio::co_spawn(core->context, DeadlineSocket::enforceDeadline(deadlineSocket), boost::asio::detached);
        const tcp::endpoint peer(boost::asio::ip::make_address(core->options.peer.address), core->options.peer.port);
        boost::system::error_code error;
        co_await deadlineSocket->socket().async_connect(peer, boost::asio::redirect_error(boost::asio::use_awaitable, error));
        if (error || core->stopped) {
            ++core->counts.failedConnects;
            deadlineSocket->close();
            core->deadlineSocket.reset();
            co_return false;
        }
        deadlineSocket->socket().set_option(tcp::no_delay(true), error);
        deadlineSocket->closeAfter(core->options.timing.acknowledgementTimeout());
        core->beginConnection();
        co_return true;
    }

    void beginConnection()
    {
        ++this->counts.connections;
        this->established = true;
        this->acknowledged = false;
        this->nextSequence = 0;
        this->nextHeartbeat = RuntimeClock::now();
        this->queue.clear();
        this->queuedBytes = 0;
        this->sentAt.clear();
        this->sendOrClose(encodeMessage(this->hooks.hello()));
        for (const PeerMessage &message : this->hooks.initialMessages()) {
            this->sendOrClose(encodeMessage(message));
        }
    }

    void endConnection()
    {
        this->counts.acknowledgementTimeouts += this->deadlineSocket->isTimedOut() ? 1 : 0;
        this->deadlineSocket->close();
        this->deadlineSocket.reset();
        this->established = false;
    }

    /**
     * Queues a message, or closes the connection if that fails. If the message were dropped silently, the peer would never get
     * it.
     */
    void sendOrClose(const EncodedMessage &message)
    {
        const Result<void> sent = this->send(message);
        if (sent.has_error() && this->deadlineSocket) {
            this->deadlineSocket->close();
        }
    }

    static boost::asio::awaitable<void> sendFrames(std::shared_ptr<Core> core, std::shared_ptr<DeadlineSocket> deadlineSocket)
    {
        while (deadlineSocket->isOpen()) {
            core->queueDueHeartbeat();
            while (!core->queue.empty() && deadlineSocket->isOpen()) {
                const std::string bytes = core->popQueue();
                const Result<void> written = co_await writeBytes(*deadlineSocket, bytes);
                if (written.has_error()) {
                    co_return;
                }
            }
            if (!deadlineSocket->isOpen()) {
                co_return;
            }
            core->wakeTimer.expires_at(core->nextHeartbeat);
            boost::system::error_code ignored;
            co_await core->wakeTimer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
    }

    void queueDueHeartbeat()
    {
        if (RuntimeClock::now() < this->nextHeartbeat) {
            return;
        }
        this->nextHeartbeat = RuntimeClock::now() + this->options.timing.heartbeatInterval;
        this->sendOrClose(*this->hooks.heartbeat());
    }

    std::string popQueue()
    {
        std::string bytes = std::move(this->queue.front());
        this->queue.pop_front();
        this->queuedBytes -= bytes.size();
        ++this->counts.frames;
        this->counts.bytes += bytes.size();
        this->sentAt.push_back(RuntimeClock::now());
        return bytes;
    }

    /**
     * Reads acknowledgements. Closes the connection on any other message, on a wrong sequence number, or when one is overdue.
     */
    static boost::asio::awaitable<void> readAcknowledgements(
        std::shared_ptr<Core> core, std::shared_ptr<DeadlineSocket> deadlineSocket)
    {
        std::uint64_t expected = 0;
        while (deadlineSocket->isOpen()) {
            std::size_t bytes = 0;
            FrameMemory uncounted(nullptr, *deadlineSocket); // this instance has chosen the other side
            const Result<PeerFrame> frame = co_await readFrame(*deadlineSocket, bytes, PeerFrameFormat::maxFrameBytes, uncounted);
            const auto *ack = frame.has_value() ? std::get_if<AckMessage>(&frame.value().message) : nullptr;
            // An acknowledgement covers all frames up to its sequence number.
            if (ack == nullptr || ack->sequence < expected || ack->sequence - expected >= core->sentAt.size()) {
                break;
            }
            core->onAcknowledgement(*ack, ack->sequence - expected);
            expected = ack->sequence + 1;
            core->acknowledged = true;
            core->backoff.reset();
            deadlineSocket->closeAfter(core->options.timing.acknowledgementTimeout());
        }
        deadlineSocket->close();
        core->wakeTimer.cancel();
    }

    /** @param index position of the acknowledged frame among the unacknowledged frames */
    void onAcknowledgement(const AckMessage &ack, std::size_t index)
    {
        const TimePoint sentAt = this->sentAt[index];
        this->sentAt.erase(this->sentAt.begin(), this->sentAt.begin() + static_cast<std::ptrdiff_t>(index + 1));
        if (this->hooks.onRelayProgress && ack.progress != StoreProgress()) {
            this->hooks.onRelayProgress(ack.progress, sentAt);
        }
    }

    boost::asio::io_context &context;
    PeerLinkOptions options;
    PeerLinkHooks hooks;
    PeerLinkCounters counts;
    Backoff backoff;
    Timer wakeTimer; // cancelled when there is something to send or the connection has ended
    std::shared_ptr<DeadlineSocket> deadlineSocket; // current connection, or the one being established
    std::deque<std::string> queue; // frames to send on the current connection
    std::size_t queuedBytes = 0;
    std::deque<TimePoint> sentAt; // send times of the unacknowledged frames
    std::uint64_t nextSequence = 0;
    TimePoint nextHeartbeat;
    bool established = false;
    bool acknowledged = false;
    bool stopped = false;
};

PeerLink::PeerLink(boost::asio::io_context &context, const PeerLinkOptions &options, PeerLinkHooks hooks)
    : core(std::make_shared<Core>(context, options, std::move(hooks)))
    , context(context)
{
}

PeerLink::~PeerLink()
{
    this->core->stop();
}

void PeerLink::start()
{
    boost::asio::co_spawn(this->context, Core::run(this->core), boost::asio::detached);
}

void PeerLink::stop()
{
    this->core->stop();
}

Result<void> PeerLink::send(const PeerMessage &message)
{
    return this->core->send(encodeMessage(message));
}

bool PeerLink::isConnected() const
{
    return this->core->isConnected();
}

const PeerLinkCounters &PeerLink::counters() const
{
    return this->core->counters();
}

} // namespace flamingosaddle
