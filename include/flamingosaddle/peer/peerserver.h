#pragma once

#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/base/memoryguard.h>
#include <flamingosaddle/base/result.h>
#include <flamingosaddle/peer/message.h>
#include <flamingosaddle/peer/timing.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace flamingosaddle
{

/**
 * Limits on what other instances may make a PeerServer hold.
 */
struct PeerServerLimits {
    std::size_t maxConnections = 4096;
    std::shared_ptr<MemoryGuard> memory; ///< accounts for frames that are being read; empty for no account
};

struct PeerServerOptions {
    Endpoint listen; ///< port 0 selects a free port
    PeerTiming timing;
    PeerServerLimits limits{};
    std::function<StoreProgress()> progress; ///< progress to report in each acknowledgement; empty to report none
};

/**
 * Counts of received and rejected traffic. Each rejection closes its connection.
 */
struct PeerServerCounters {
    std::uint64_t connections = 0;
    std::uint64_t frames = 0;
    std::uint64_t bytes = 0;
    std::uint64_t acknowledgements = 0; ///< sent acknowledgements; one may acknowledge several frames
    std::uint64_t malformedFrames = 0; ///< frames with an invalid or unexpected message or an unsupported version
    std::uint64_t oversizedFrames = 0; ///< frames over the size limit
    std::uint64_t sequenceViolations = 0; ///< frames out of sequence, and replayed connections
    std::uint64_t receiveTimeouts = 0; ///< connections closed because no frame arrived in time
    std::uint64_t refusedFrames = 0; ///< frames for which there was no memory
    std::uint64_t rejectedConnections = 0; ///< connections closed because the limit of connections was reached

    friend bool operator==(const PeerServerCounters &, const PeerServerCounters &) = default;
};

/**
 * Called on the server's io_context for each message except hellos. @p from is the hello of the connection. A message that
 * names a sender names the same one as the hello.
 */
using PeerMessageHook = std::function<void(const HelloMessage &from, const PeerMessage &message)>;

/**
 * Accepts connections from other instances. Tolerates any input: an invalid or out-of-sequence frame closes only its own
 * connection. Used only on the io_context's thread.
 */
class PeerServer
{
public:
    /**
     * Binds the address and starts to accept connections. Fails with InvalidSetting if the address cannot be bound.
     */
    static Result<std::unique_ptr<PeerServer>> start(
        boost::asio::io_context &context, const PeerServerOptions &options, PeerMessageHook onMessage);

    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    // Commands.
    /** Closes the acceptor and all connections. The hook is not called any more. */
    void stop();

    // Queries.
    /** Returns the bound address. */
    Endpoint localEndpoint() const;
    std::size_t connectionCount() const;
    const PeerServerCounters &counters() const;

private:
    class Core;

    explicit PeerServer(std::shared_ptr<Core> core);

    std::shared_ptr<Core> core;
};

} // namespace flamingosaddle
