#include <flamingosaddle/peer/peerserver.h>

#include "frameio.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <set>
#include <utility>

namespace flamingosaddle
{

namespace
{

using boost::asio::ip::tcp;

constexpr std::chrono::milliseconds acceptRetryDelay(50);
constexpr std::size_t maxHelloBytes = std::size_t{16} * 1024; // of the first frame, before the other side is known

/**
 * The state of one accepted connection.
 */
struct PeerConnection {
    std::shared_ptr<DeadlineSocket> deadlineSocket;
    std::uint64_t nextSequence = 0;
    HelloMessage hello;
    TimePoint acknowledgedAt;
};

/**
 * Returns whether the message names a different sender than the connection's hello.
 */
bool namesOtherSender(const HelloMessage &hello, const PeerMessage &message)
{
    if (const auto *heartbeat = std::get_if<HeartbeatMessage>(&message)) {
        return heartbeat->heartbeat.from != hello.from;
    }
    const auto *leave = std::get_if<LeaveMessage>(&message);
    return leave != nullptr && leave->from != hello.from;
}

} // namespace

class PeerServer::Core : public std::enable_shared_from_this<PeerServer::Core>
{
public:
    Core(boost::asio::io_context &context, const PeerServerOptions &options, PeerMessageHook onMessage)
        : context(context)
        , acceptor(context)
        , options(options)
        , onMessage(std::move(onMessage))
    {
    }

    Result<void> listen()
    {
        const auto address = boost::asio::ip::make_address(this->options.listen.address);
        const tcp::endpoint endpoint(address, this->options.listen.port);
        boost::system::error_code error;
        this->acceptor.open(endpoint.protocol(), error);
        if (!error) {
            this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        }
        if (!error) {
            this->acceptor.bind(endpoint, error);
        }
        if (!error) {
            this->acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
        }
        if (error) {
            return fail(ErrorKind::InvalidSetting,
                "cannot listen on " + this->options.listen.text() + " for peers: " + error.message(),
                "choose an address of this machine and a free port");
        }
        return success();
    }

    static boost::asio::awaitable<void> accept(std::shared_ptr<Core> core)
    {
        while (!core->stopped) {
            tcp::socket socket(core->context);
            boost::system::error_code error;
            co_await core->acceptor.async_accept(socket, boost::asio::redirect_error(boost::asio::use_awaitable, error));
            if (core->stopped) {
                break;
            }
            if (error) {
                // For instance, no file descriptors are left. An immediate retry would busy-loop.
                Timer pause(core->context, acceptRetryDelay);
                co_await pause.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
                continue;
            }
            core->open(std::move(socket));
        }
    }

    void open(tcp::socket socket)
    {
        if (this->connections.size() >= this->options.limits.maxConnections) {
            ++this->counts.rejectedConnections;
            // Instances say who they are at once; a connection that has not is no loss.
            if (this->silent.empty()) {
                return;
            }
            (*this->silent.begin()).second->close();
            this->silent.erase(this->silent.begin());
        }
        ++this->counts.connections;
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto deadlineSocket = std::make_shared<DeadlineSocket>(std::move(socket));
        deadlineSocket->closeAfter(this->options.timing.receiveTimeout());
        this->connections.insert(deadlineSocket);
        this->silent.emplace(this->counts.connections, deadlineSocket);
        boost::asio::co_spawn(this->context, DeadlineSocket::enforceDeadline(deadlineSocket), boost::asio::detached);
        boost::asio::co_spawn(
            this->context, serve(this->shared_from_this(), deadlineSocket, this->counts.connections), boost::asio::detached);
    }

    void stop()
    {
        this->stopped = true;
        boost::system::error_code ignored;
        this->acceptor.close(ignored);
        for (const auto &deadlineSocket : this->connections) {
            deadlineSocket->close();
        }
    }

    Endpoint localEndpoint() const
    {
        boost::system::error_code ignored;
        const tcp::endpoint local = this->acceptor.local_endpoint(ignored);
        return Endpoint{local.address().to_string(), local.port()};
    }

    std::size_t connectionCount() const
    {
        return this->connections.size();
    }

    const PeerServerCounters &counters() const
    {
        return this->counts;
    }

private:
    static boost::asio::awaitable<void> serve(
        std::shared_ptr<Core> core, std::shared_ptr<DeadlineSocket> deadlineSocket, std::uint64_t number)
    {
        PeerConnection connection;
        connection.deadlineSocket = deadlineSocket;
        while (deadlineSocket->isOpen()) {
            std::size_t bytes = 0;
            FrameMemory memory(core->options.limits.memory, *deadlineSocket);
            const std::size_t longest = connection.nextSequence == 0 ? maxHelloBytes : PeerFrameFormat::maxFrameBytes;
            const Result<PeerFrame> frame = co_await readFrame(*deadlineSocket, bytes, longest, memory);
            core->silent.erase(number);
            if (core->stopped || !core->onFrame(connection, frame, bytes)) {
                break;
            }
            const StoreProgress progress = core->options.progress ? core->options.progress() : StoreProgress();
            if (!core->isAckDue(connection, frame.value(), progress)) {
                continue;
            }
            connection.acknowledgedAt = RuntimeClock::now();
            ++core->counts.acknowledgements;
            const std::string ack = encodeAcknowledgement(frame.value(), progress);
            const Result<void> written = co_await writeBytes(*deadlineSocket, ack);
            if (written.has_error()) {
                break;
            }
        }
        core->counts.receiveTimeouts += deadlineSocket->isTimedOut() ? 1 : 0;
        deadlineSocket->close();
        core->connections.erase(deadlineSocket);
        core->silent.erase(number);
    }

    /**
     * Counts and delivers one frame. Returns whether the connection stays open.
     */
    bool onFrame(PeerConnection &connection, const Result<PeerFrame> &frame, std::size_t bytes)
    {
        if (frame.has_error()) {
            this->countRejection(frame.error());
            return false;
        }
        ++this->counts.frames;
        this->counts.bytes += bytes;
        if (frame.value().sequence != connection.nextSequence) {
            ++this->counts.sequenceViolations;
            return false;
        }
        ++connection.nextSequence;
        connection.deadlineSocket->closeAfter(this->options.timing.receiveTimeout());
        return this->deliver(connection, frame.value());
    }

    bool deliver(PeerConnection &connection, const PeerFrame &frame)
    {
        const auto *hello = std::get_if<HelloMessage>(&frame.message);
        const bool isFirst = frame.sequence == 0;
        if ((hello != nullptr) != isFirst || std::holds_alternative<AckMessage>(frame.message)) {
            ++this->counts.malformedFrames;
            return false;
        }
        if (isFirst) {
            connection.hello = *hello;
            return this->acceptHello(*hello);
        }
        if (namesOtherSender(connection.hello, frame.message)) {
            ++this->counts.malformedFrames;
            return false;
        }
        this->onMessage(connection.hello, frame.message);
        return true;
    }

    /**
     * Returns whether the connection is newer than all previous ones from the instance. A replayed connection, or one from an
     * older incarnation, would deliver only outdated messages.
     */
    bool acceptHello(const HelloMessage &hello)
    {
        const std::pair<std::uint64_t, std::uint64_t> opened(hello.from.number, hello.connection);
        auto &newest = this->latestConnections[hello.from.instance];
        if (opened <= newest) {
            ++this->counts.sequenceViolations;
            return false;
        }
        newest = opened;
        return true;
    }

    void countRejection(const Error &error)
    {
        this->counts.malformedFrames += error.kind() == ErrorKind::Protocol ? 1 : 0;
        this->counts.oversizedFrames += error.kind() == ErrorKind::TooLarge ? 1 : 0;
        this->counts.refusedFrames += error.kind() == ErrorKind::Unavailable ? 1 : 0;
    }

    bool isAckDue(const PeerConnection &connection, const PeerFrame &frame, const StoreProgress &progress) const
    {
        return progress != StoreProgress() || !std::holds_alternative<HeartbeatMessage>(frame.message)
            || RuntimeClock::now() >= connection.acknowledgedAt + this->options.timing.acknowledgementInterval();
    }

    static std::string encodeAcknowledgement(const PeerFrame &frame, const StoreProgress &progress)
    {
        PeerFrame ack;
        ack.sequence = frame.sequence;
        ack.message = AckMessage{frame.sequence, progress};
        return encodeFrame(ack).value();
    }

    boost::asio::io_context &context;
    tcp::acceptor acceptor;
    PeerServerOptions options;
    PeerMessageHook onMessage;
    PeerServerCounters counts;
    std::set<std::shared_ptr<DeadlineSocket>> connections;
    std::map<std::uint64_t, std::shared_ptr<DeadlineSocket>>
        silent; // those that have sent no frame, by the order of their opening
    // Highest incarnation and connection number received from each instance.
    std::map<InstanceId, std::pair<std::uint64_t, std::uint64_t>> latestConnections;
    bool stopped = false;
};

Result<std::unique_ptr<PeerServer>> PeerServer::start(
    boost::asio::io_context &context, const PeerServerOptions &options, PeerMessageHook onMessage)
{
    auto core = std::make_shared<Core>(context, options, std::move(onMessage));
    BOOST_OUTCOME_TRYV(core->listen());
    boost::asio::co_spawn(context, Core::accept(core), boost::asio::detached);
    return std::unique_ptr<PeerServer>(new PeerServer(std::move(core)));
}

PeerServer::PeerServer(std::shared_ptr<Core> core)
    : core(std::move(core))
{
}

PeerServer::~PeerServer()
{
    this->core->stop();
}

void PeerServer::stop()
{
    this->core->stop();
}

Endpoint PeerServer::localEndpoint() const
{
    return this->core->localEndpoint();
}

std::size_t PeerServer::connectionCount() const
{
    return this->core->connectionCount();
}

const PeerServerCounters &PeerServer::counters() const
{
    return this->core->counters();
}

} // namespace flamingosaddle
