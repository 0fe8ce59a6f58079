#pragma once

#include <flamingosaddle/base/timer.h>
#include <flamingosaddle/control/configreplica.h>
#include <flamingosaddle/platform/platform.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>

namespace flamingosaddle
{

/**
 * The configuration as the platform's log has it, followed while the client runs. Used on the thread that runs the
 * context, which has to be stopped before the view is destroyed.
 */
class LogView
{
public:
    LogView(boost::asio::io_context &context, Platform platform);

    // Commands.

    /**
     * Reads the stream to its head. Fails with the platform's error when it does not answer.
     */
    boost::asio::awaitable<Result<void>> open(TimePoint deadline);

    /**
     * Follows the stream until @p isDone holds, and answers whether it did by @p deadline.
     */
    boost::asio::awaitable<bool> waitUntil(std::function<bool(const ConfigState &)> isDone, TimePoint deadline);

    // Queries.
    const ConfigState &config() const;

private:
    /** The head of the stream. */
    boost::asio::awaitable<Result<std::uint64_t>> probe();

    boost::asio::io_context &context;
    Platform platform;
    Timer advance; // cancelled whenever the tail moves
    ConfigReplica tail;
    bool isStarted = false;
};

} // namespace flamingosaddle
