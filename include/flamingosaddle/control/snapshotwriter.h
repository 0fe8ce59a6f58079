#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/platform/platform.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace flamingosaddle
{

/**
 * A state that is saved as snapshots, from which an instance can start when the log no longer holds the first records.
 */
struct SnapshotSource {
    LogStream stream = LogStream::Config;
    std::function<std::uint64_t()> nextOffset; ///< offset of the next record that the state applies
    std::function<std::string()> encode;
};

/**
 * Writes snapshots while this instance is the leader. Leadership only avoids duplicate writes. A snapshot represents a prefix of
 * the log, so one from a former leader is also valid, and every reader ignores a snapshot that is older than its state. Must be
 * used on the control thread.
 */
class SnapshotWriter
{
public:
    struct Options {
        std::uint64_t recordInterval = 500; ///< number of records after which a new snapshot of a stream is written
        /** Age after which a stream with any new record gets a new snapshot: less than half of the platform's retention of 300 s.
         */
        Duration maxAge = std::chrono::minutes(2);
        Duration checkInterval = std::chrono::seconds(1); ///< interval of the checks for due snapshots
    };

    SnapshotWriter(
        const Platform &platform, std::function<bool()> isLeading, std::vector<SnapshotSource> sources, Options options);

    // Commands.

    /** Writes until stop(). The object must outlive the coroutine. */
    boost::asio::awaitable<void> run();
    void stop();

    // Queries.
    std::uint64_t writtenCount() const;

private:
    struct SourceState {
        SnapshotSource source;
        std::uint64_t coveredUntil = 0; ///< next offset of the newest snapshot that this process wrote
        TimePoint writtenAt; ///< time of the newest snapshot, or of the start of this process
    };

    bool isReadyToFix(const SourceState &entry, TimePoint now) const;
    boost::asio::awaitable<void> writeIfDue(SourceState &entry);

    const Platform &platform;
    std::function<bool()> isLeading;
    std::vector<SourceState> sourceStates;
    Options options;
    std::uint64_t written = 0;
    bool stopped = false;
};

} // namespace flamingosaddle
