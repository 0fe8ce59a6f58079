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
 * Replicates the configuration from the `config` stream. Starts from the newest snapshot in the log or from a peer's snapshot,
 * then applies records in log order. The offset never decreases: a snapshot or record that is not ahead of the current state
 * is ignored. Must be used on the control thread.
 */
class ConfigReplica
{
public:
    /**
     * @param onUpdate called after each change of the state, and after each read that reached the end of the stream
     */
    ConfigReplica(const Platform &platform, std::function<void()> onUpdate, std::uint64_t seed);

    // Commands.

    /** Reads until stop(). The object must outlive the coroutine. */
    boost::asio::awaitable<void> run();
    void stop();

    /** Replaces the state by a peer's snapshot if that is ahead of it. Returns whether the snapshot was adopted. */
    bool adoptSnapshot(const ConfigState &snapshot);

    // Queries.

    /** Returns the current state. The object is immutable; an update replaces it by a new one. */
    std::shared_ptr<const ConfigState> state() const;

    /** Returns when the newest read that reached the end of the stream was sent. */
    std::optional<TimePoint> lastReadAt() const;

    /** Returns whether the last read of the log succeeded. */
    bool isLogReachable() const;

    /** Returns whether the log has trimmed records that no snapshot covers. */
    bool hasGap() const;

    /** Returns the number of records that could not be decoded. */
    std::uint64_t undecodableCount() const;

private:
    Result<void> restoreSnapshot(std::string_view text);
    void discardState();
    void applyRecord(std::uint64_t offset, std::string_view body);
    void onLogEnd(TimePoint sentAt);
    void publishState();

    std::function<void()> onUpdate;
    LogReplica replica;
    ConfigState workingState; // ahead of `currentState` while a batch is being applied, or behind it after discardState()
    std::shared_ptr<const ConfigState> currentState;
    bool isDiscarded = false; // whether `currentState` is to be replaced although its offset may be the same
    std::optional<TimePoint> lastEndReadAt;
    std::uint64_t undecodable = 0;
};

} // namespace flamingosaddle
