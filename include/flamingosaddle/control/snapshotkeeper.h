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
 * A state that is written as snapshots, so that an instance can start when the log no longer holds the first records.
 */
struct SnapshotSource {
    LogStream stream = LogStream::Config;
    std::function<std::uint64_t()> nextOffset; ///< of the state
    std::function<std::string()> encode;
};

/**
 * Writes snapshots while this instance leads. The lead only saves repetitions: a snapshot states a prefix of the log, so that
 * one from an instance that leads no longer is as true as any, and an older one than the state in force is ignored by every
 * reader. Lives on the control thread.
 */
class SnapshotKeeper
{
public:
    struct Options {
        std::uint64_t everyRecords = 500; ///< records after which a stream gets a new snapshot
        /** After which a stream with any new record gets one: less than half of the 300 s that the platform keeps records. */
        Duration maxAge = std::chrono::minutes(2);
        Duration interval = std::chrono::seconds(1); ///< between two looks at what is due
    };

    SnapshotKeeper(
        const Platform &platform, std::function<bool()> isLeading, std::vector<SnapshotSource> sources, Options options);

    // Commands.

    /** Writes until stop(). The object has to outlive the coroutine. */
    boost::asio::awaitable<void> run();
    void stop();

    // Queries.
    std::uint64_t writtenCount() const;

private:
    struct Entry {
        SnapshotSource source;
        std::uint64_t covered = 0; ///< next offset of the last snapshot that this process wrote
        TimePoint writtenAt; ///< of the last snapshot, or when this process began
    };

    bool isDue(const Entry &entry, TimePoint now) const;
    boost::asio::awaitable<void> writeIfDue(Entry &entry);

    const Platform &platform;
    std::function<bool()> isLeading;
    std::vector<Entry> entries;
    Options options;
    std::uint64_t written = 0;
    bool stopped = false;
};

} // namespace flamingosaddle
