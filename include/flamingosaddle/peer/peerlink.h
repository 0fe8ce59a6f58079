#pragma once

#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/base/result.h>
#include <flamingosaddle/peer/frame.h>
#include <flamingosaddle/peer/timing.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace flamingosaddle
{

struct PeerLinkOptions {
    Endpoint peer; ///< address to connect to
    PeerTiming timing;
    std::uint64_t seed = 1; ///< of the jitter in reconnect delays

    friend bool operator==(const PeerLinkOptions &, const PeerLinkOptions &) = default;
};

/**
 * Callbacks that supply what a link sends. All are called on the link's io_context.
 */
struct PeerLinkHooks {
    /** Returns the first message of a connection. Its connection number has to increase with each call, over all links to a peer.
     */
    std::function<HelloMessage()> hello;
    /** Returns the heartbeat; called once per interval while connected. Never null. */
    std::function<std::shared_ptr<const EncodedMessage>()> heartbeat;
    /** Returns the messages to send after the hello: everything the peer may have missed while there was no connection. */
    std::function<std::vector<PeerMessage>()> initialMessages;
    /** Called when the peer acknowledges a frame and reports its progress in the store. The frame was sent at or after @p sentAt.
     */
    std::function<void(const StoreProgress &progress, TimePoint sentAt)> onRelayProgress;
};

struct PeerLinkCounters {
    std::uint64_t connections = 0; ///< established connections
    std::uint64_t failedConnects = 0;
    std::uint64_t frames = 0; ///< sent frames
    std::uint64_t bytes = 0; ///< sent bytes
    std::uint64_t acknowledgementTimeouts = 0; ///< connections closed because no acknowledgement arrived
    std::uint64_t queueOverflows = 0; ///< connections closed because their send queue was full

    friend bool operator==(const PeerLinkCounters &, const PeerLinkCounters &) = default;
};

/**
 * Maintains the connection from this instance to one peer. Sends a hello, the initial messages and then heartbeats. When the
 * connection ends or acknowledgements stop, it reconnects with exponential backoff. Used only on the io_context's thread.
 */
class PeerLink
{
public:
    PeerLink(boost::asio::io_context &context, const PeerLinkOptions &options, PeerLinkHooks hooks);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    // Commands.
    void start();
    void stop();
    /**
     * Queues @p message. Fails with Unavailable while there is no connection: the initial messages of the next connection
     * then have to contain it. Fails with TooLarge if it exceeds the size limit of a frame. If the send queue is full,
     * closes the connection and fails with Overloaded.
     */
    Result<void> send(const PeerMessage &message);

    // Queries.
    bool isConnected() const; ///< whether the peer acknowledged a frame on the current connection
    const PeerLinkCounters &counters() const;

private:
    class Core;

    std::shared_ptr<Core> core;
    boost::asio::io_context &context;
};

} // namespace flamingosaddle
