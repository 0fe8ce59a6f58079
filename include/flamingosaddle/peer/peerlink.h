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
    Endpoint peer;
    PeerTiming timing;
    std::uint64_t seed = 1; ///< of the jitter in the delays before a new connection

    friend bool operator==(const PeerLinkOptions &, const PeerLinkOptions &) = default;
};

/**
 * What a link sends. All hooks are called on the link's context.
 */
struct PeerLinkHooks {
    /** The first message of a connection. Its connection number has to grow with every call, over all links to a peer. */
    std::function<HelloMessage()> hello;
    /** Called once for each interval while connected; never empty. */
    std::function<std::shared_ptr<const EncodedMessage>()> heartbeat;
    /** Sent after the hello: all that the peer has to know and that may have been sent while there was no connection. */
    std::function<std::vector<PeerMessage>()> greeting;
    /** The peer acknowledged a frame, with its progress at the store; the frame was sent at @p sentAt or later. */
    std::function<void(const StoreProgress &progress, TimePoint sentAt)> onProgress;
};

struct PeerLinkCounters {
    std::uint64_t connections = 0; ///< that were made
    std::uint64_t failedConnects = 0;
    std::uint64_t frames = 0; ///< sent
    std::uint64_t bytes = 0; ///< sent
    std::uint64_t silent = 0; ///< connections closed because no acknowledgement came
    std::uint64_t overflows = 0; ///< connections closed because too much was waiting on them

    friend bool operator==(const PeerLinkCounters &, const PeerLinkCounters &) = default;
};

/**
 * The connection from this instance to one other: connects, sends a hello, the greeting and heartbeats, and connects
 * again after a growing delay when the connection ends or goes silent. Used on the thread that runs the context.
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
     * Sends @p message after those before it. Fails with Unavailable while there is no connection: the next one's
     * greeting has to bring it. Fails with TooLarge when it is over the limit of a frame.
     */
    Result<void> send(const PeerMessage &message);

    // Queries.
    bool isConnected() const; ///< whether the peer acknowledged a frame of the present connection
    const PeerLinkCounters &counters() const;

private:
    class Core;

    std::shared_ptr<Core> core;
    boost::asio::io_context &context;
};

} // namespace flamingosaddle
