#pragma once

#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/base/result.h>
#include <flamingosaddle/peer/message.h>
#include <flamingosaddle/peer/timing.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace flamingosaddle
{

struct PeerServerOptions {
    Endpoint listen; ///< port 0 takes a free one
    PeerTiming timing;
    std::size_t maxConnections = 4096;
    std::function<StoreProgress()> progress; ///< told in each acknowledgement; empty for none
};

/**
 * What came in, and what was refused. Each refusal closed its connection.
 */
struct PeerServerCounters {
    std::uint64_t connections = 0;
    std::uint64_t frames = 0;
    std::uint64_t bytes = 0;
    std::uint64_t acknowledgements = 0; ///< sent; one may stand for several frames
    std::uint64_t malformed = 0; ///< frames that hold no message, or one that has no place there; foreign versions
    std::uint64_t oversized = 0;
    std::uint64_t replayed = 0; ///< frames out of their sequence, connections that were opened before
    std::uint64_t silent = 0; ///< connections closed because nothing came
    std::uint64_t turnedAway = 0; ///< connections over the limit

    friend bool operator==(const PeerServerCounters &, const PeerServerCounters &) = default;
};

/**
 * Called for each message but hellos, on the server's context. @p from is the hello of the connection; the sender that a
 * message names is the one of the hello.
 */
using PeerMessageHook = std::function<void(const HelloMessage &from, const PeerMessage &message)>;

/**
 * Accepts connections of other instances. Whatever comes over one of them is survived: what is no valid frame in its
 * sequence closes that connection only. Used on the thread that runs the context.
 */
class PeerServer
{
public:
    /**
     * Binds and starts. Fails with InvalidSetting when the address cannot be bound.
     */
    static Result<std::unique_ptr<PeerServer>> start(
        boost::asio::io_context &context, const PeerServerOptions &options, PeerMessageHook onMessage);

    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    // Commands.
    /** Closes everything. The hook is not called any more. */
    void stop();

    // Queries.
    Endpoint localEndpoint() const;
    std::size_t connectionCount() const;
    const PeerServerCounters &counters() const;

private:
    class Core;

    explicit PeerServer(std::shared_ptr<Core> core);

    std::shared_ptr<Core> core;
};

} // namespace flamingosaddle
