#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/control/logreplica.h>
#include <flamingosaddle/platform/platform.h>
#include <flamingosaddle/state/configstate.h>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace flamingosaddle
{

/**
 * Keeps the configuration in step with the `config` stream. Starts from the newest snapshot in the log or from a peer's,
 * then applies records in log order. The state only moves forward: a snapshot or a record at or below the offset in force
 * is ignored. Lives on the control thread.
 */
class ConfigTail
{
public:
    /**
     * @param onAdvance called after each step forward, and after each read that reached the head of the stream
     */
    ConfigTail(const Platform &platform, std::function<void()> onAdvance, std::uint64_t seed);

    // Commands.

    /** Reads until stop(). The object has to outlive the coroutine. */
    boost::asio::awaitable<void> run();
    void stop();

    /** A snapshot that a peer holds. Taken when it is ahead; answers whether it was. */
    bool adoptSnapshot(const ConfigState &snapshot);

    // Queries.

    /** The state in force. A later step makes a new object; a pointer that was handed out never changes. */
    std::shared_ptr<const ConfigState> state() const;

    /** When the stream was last read to its head. */
    std::optional<TimePoint> lastReadAt() const;

    /** Whether the log has lost records that no snapshot covers. */
    bool hasGap() const;

    /** Records that could not be decoded. */
    std::uint64_t undecodableCount() const;

private:
    Result<void> restore(std::string_view text);
    void apply(std::uint64_t offset, std::string_view body);
    void noteHead(TimePoint sentAt);
    void publish();

    std::function<void()> onAdvance;
    LogReplica replica;
    ConfigState working; // ahead of `current` while a batch is being applied
    std::shared_ptr<const ConfigState> current;
    std::optional<TimePoint> readAt;
    std::uint64_t undecodable = 0;
};

} // namespace flamingosaddle
