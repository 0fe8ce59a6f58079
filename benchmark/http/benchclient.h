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
 * Measurements of a client's streams.
 */
struct StreamSamples {
    std::vector<Duration> firstToken; ///< time from the first byte sent to the first token
    std::vector<Duration> tokenDelays; ///< time from the engine's write to the client's read
    std::uint64_t tokens = 0;
    std::uint64_t reads = 0; ///< reads of the response body
    std::uint64_t failures = 0;

    void append(const StreamSamples &other);
};

/** A client with one connection, which it reopens when the server has closed it. */
class BenchClient
{
public:
    explicit BenchClient(Endpoint endpoint);

    /** Sends one streamed request and reads its response to the end. */
    boost::asio::awaitable<void> request(StreamSamples &samples);

private:
    boost::asio::awaitable<bool> exchange(StreamSamples &samples);

    Endpoint endpoint;
    std::unique_ptr<HttpConnection> connection;
};

/** Returns the value below which @p fraction of the samples lie: 0.5 for the median, 0.95 for the p95. */
Duration quantile(std::vector<Duration> samples, double fraction);

} // namespace flamingosaddle::bench
