#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/result.h>
#include <flamingosaddle/state/servertable.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace flamingosaddle
{

/**
 * The servers that began a stream.
 */
struct StreamOrigin {
    ServiceName service;
    std::string softwareVersion;

    friend bool operator==(const StreamOrigin &, const StreamOrigin &) = default;
};

/**
 * Streams that an instance began while the servers of their service had several software versions, or shortly afterwards.
 */
struct StreamOriginRecord {
    StreamOrigin origin;
    std::chrono::milliseconds mixedAt{0}; ///< Unix time at which the writer last knew of several versions
    std::vector<std::uint64_t> streams; ///< hashes of the ids of the requests that began them

    friend bool operator==(const StreamOriginRecord &, const StreamOriginRecord &) = default;
};

/**
 * The last release of a service whose servers had all the same version for long enough that no stream of an earlier one is left.
 */
struct ServiceRelease {
    std::string versionBefore;
    std::uint64_t firstStartedAt = 0; ///< Unix milliseconds; start of the first server of another version, 0 if not known
    TimePoint observedAt; ///< when that server was first seen

    friend bool operator==(const ServiceRelease &, const ServiceRelease &) = default;
};

std::string encodeStreamOrigins(const std::vector<StreamOriginRecord> &records);
/** Fails with Protocol for anything that encodeStreamOrigins() does not return. */
Result<std::vector<StreamOriginRecord>> decodeStreamOrigins(std::string_view text);

/**
 * Knows at which software version streams began, for callers that resume one at any instance. While all servers of a service have
 * one version for longer than a stream can last, that version is the answer and nothing is stored. Otherwise the streams that
 * begin, and those that run already, are to be saved where all instances can read them. The class does no I/O and reads no clock.
 */
class StreamOrigins
{
public:
    static constexpr std::size_t maxStreams = 50'000; ///< known at a time; the oldest are forgotten first
    /** Time after which a stream that still runs is saved again, because the store may have lost what was saved. */
    static constexpr Duration saveRepetition = std::chrono::seconds(3);

    // Commands.

    /** @param lifetime longest time from the begin of a stream to its last resumption */
    void setLifetime(Duration lifetime);
    void observeServers(const std::map<BackendServerId, RegisteredServer> &servers, TimePoint now);
    /** Records that the service's versions changed at a time that this instance learned from others or from the store. */
    void recordVersionChange(const ServiceName &service, TimePoint changedAt);
    void recordStart(std::uint64_t stream, StreamOrigin origin, TimePoint now);
    /** Records that the stream was sent as a whole, so that it is not resumed. */
    void recordCompletion(std::uint64_t stream);
    /** Applies records of any instance. @p unixNow is the current Unix time. */
    void applyRecords(const std::vector<StreamOriginRecord> &records, std::chrono::milliseconds unixNow, TimePoint now);
    /** Returns the streams of this instance that are to be saved, and considers them saved. */
    std::vector<StreamOriginRecord> takeUnsaved(std::chrono::milliseconds unixNow, TimePoint now);
    /** Takes back what could not be saved. */
    void restoreUnsaved(const std::vector<StreamOriginRecord> &records);
    /** Considers all streams of this instance unsaved. */
    void forgetSaves();
    void expire(TimePoint now);

    // Queries.

    Duration streamLifetime() const;
    /** Returns where the stream began; nullptr if it is not known. */
    const StreamOrigin *find(std::uint64_t stream) const;
    /** Returns the version of the service's servers if no other is known to have served during a stream's lifetime. */
    std::optional<std::string> soleVersion(const ServiceName &service, TimePoint now) const;
    /** Returns the service's release that is under way or that streams may outlast, if only one is. */
    const ServiceRelease *release(const ServiceName &service, TimePoint now) const;

private:
    struct Service {
        std::set<std::string> versions; // of the servers when it last had any
        std::optional<TimePoint> mixedAt; // when there were last known to be several versions
        std::optional<TimePoint> changedAt; // when the versions last changed; empty if they never did
        std::optional<ServiceRelease> release;
        std::map<std::string, TimePoint> recordedVersions; // in records of any instance, with the newest of their times

        bool isMixed(Duration lifetime, TimePoint now) const;
    };

    /** Follows the release of a service whose servers have these versions, given the first start of each. */
    void observeRelease(Service &service, const std::map<std::string, std::uint64_t> &firstStarts, TimePoint now) const;
    void add(std::uint64_t stream, StreamOrigin origin, TimePoint now);
    /** Considers the streams that were saved at @p savedUntil or before unsaved. */
    void repeatSaves(TimePoint savedUntil);

    Duration lifetime = Duration::zero();
    std::map<ServiceName, Service> services;
    std::unordered_map<std::uint64_t, StreamOrigin> streams;
    std::deque<std::pair<TimePoint, std::uint64_t>> byAge; // oldest first
    std::vector<std::uint64_t> unsaved; // of this instance
    std::deque<std::pair<TimePoint, std::uint64_t>> saved; // of this instance, with the time of the save; oldest first
};

} // namespace flamingosaddle
