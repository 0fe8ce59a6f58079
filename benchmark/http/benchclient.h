#pragma once

#include "callerfixture.h"

#include <flamingosaddle/http/client.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace flamingosaddle::bench
{

/**
 * What a client saw of its streams.
 */
struct StreamSamples {
    std::vector<Duration> firstToken; ///< from the first byte sent to the first token
    std::vector<Duration> tokenAge; ///< from the engine's write to the client's read
    std::uint64_t tokens = 0;
    std::uint64_t pieces = 0;
    std::uint64_t failures = 0;

    void append(const StreamSamples &other);
};

/** A client with one connection, which it opens anew when the server closes it. */
class BenchClient
{
public:
    explicit BenchClient(Endpoint endpoint);

    /** Sends one streamed request and reads its answer to the end. */
    boost::asio::awaitable<void> request(StreamSamples &samples);

private:
    boost::asio::awaitable<bool> exchange(StreamSamples &samples);

    Endpoint endpoint;
    std::unique_ptr<HttpConnection> connection;
};

/** The middle value, and the value below which 95 in 100 lie. */
Duration quantile(std::vector<Duration> samples, double fraction);

} // namespace flamingosaddle::bench
