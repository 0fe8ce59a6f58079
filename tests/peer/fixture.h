#pragma once

#include "messages.h"

#include <flamingosaddle/peer/peerlink.h>
#include <flamingosaddle/peer/peerserver.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace flamingosaddle
{

/**
 * A peer server on the loopback interface, and the messages that it received.
 */
class PeerFixture
{
public:
    PeerFixture()
    {
        this->startServer(Endpoint{"127.0.0.1", 0});
    }

    ~PeerFixture()
    {
        this->server->stop();
    }

    void startServer(const Endpoint &endpoint)
    {
        PeerServerOptions options;
        options.listen = endpoint;
        options.timing = this->timing;
        options.progress = [this] {
            return this->progress;
        };
        auto started = PeerServer::start(this->context, options, [this](const HelloMessage &, const PeerMessage &message) {
            this->received.push_back(message);
        });
        this->server = std::move(started).value();
    }

    std::unique_ptr<PeerLink> startLink(const Endpoint &peer)
    {
        PeerLinkOptions options;
        options.peer = peer;
        options.timing = this->timing;
        PeerLinkHooks hooks;
        hooks.hello = [this] {
            return sampleHello("sender", ++this->connections);
        };
        hooks.heartbeat = [] {
            return std::make_shared<const EncodedMessage>(encodeMessage(sampleHeartbeatMessage("sender")));
        };
        hooks.initialMessages = [this] {
            return this->initialMessages;
        };
        hooks.onRelayProgress = [this](const StoreProgress &progress, TimePoint sentAt) {
            this->reportedProgress.emplace_back(progress, sentAt);
        };
        auto link = std::make_unique<PeerLink>(this->context, options, hooks);
        link->start();
        return link;
    }

    /** Runs the io_context until @p isDone returns true. The test's timeout ends a run in which that never happens. */
    void runUntil(const std::function<bool()> &isDone)
    {
        while (!isDone()) {
            this->context.restart();
            this->context.run_one();
        }
    }

    /** Runs all ready handlers. */
    void runReady()
    {
        this->context.restart();
        this->context.poll();
    }

    boost::asio::ip::tcp::socket connect()
    {
        boost::asio::ip::tcp::socket socket(this->context);
        const Endpoint local = this->server->localEndpoint();
        socket.connect({boost::asio::ip::make_address(local.address), local.port});
        return socket;
    }

    /** Opens a connection and writes the raw @p bytes. */
    boost::asio::ip::tcp::socket connectAndWrite(const std::string &bytes)
    {
        boost::asio::ip::tcp::socket socket = this->connect();
        boost::asio::write(socket, boost::asio::buffer(bytes));
        return socket;
    }

    boost::asio::io_context context;
    PeerTiming timing;
    std::unique_ptr<PeerServer> server;
    std::vector<PeerMessage> received;
    std::vector<PeerMessage> initialMessages;
    std::uint64_t connections = 0;
    StoreProgress progress; ///< reported by the server
    std::vector<std::pair<StoreProgress, TimePoint>>
        reportedProgress; ///< progress that the link received, with the send time of the frame
};

} // namespace flamingosaddle
