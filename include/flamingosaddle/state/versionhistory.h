#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/result.h>
#include <flamingosaddle/state/servertable.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace flamingosaddle
{

/**
 * The software versions of a service's servers, as the store keeps them for instances that start later.
 */
struct ServiceVersions {
    ServiceName service;
    std::vector<std::string> versions; ///< sorted, each once
    std::chrono::milliseconds changedAt{0}; ///< Unix time of the last change; 0 if none is known
    /** The only version before that change, if it was made while no instance ran; empty otherwise. */
    std::optional<std::string> versionBefore;
    std::uint64_t epoch = 0; ///< of the store when this was written

    friend bool operator==(const ServiceVersions &, const ServiceVersions &) = default;
};

std::string encodeServiceVersions(const std::vector<ServiceVersions> &services);
/** Fails with Protocol for anything that encodeServiceVersions() does not return. */
Result<std::vector<ServiceVersions>> decodeServiceVersions(std::string_view text);

/**
 * Compares the software versions of the servers that this instance sees with those that instances saw earlier, so that an
 * instance that has just started knows of a release that it has missed. Instances keep the versions in the store and write them
 * anew when they change. If the store has only an older version, no instance ran when the next one was released. The class does
 * no I/O and reads no clock.
 */
class VersionHistory
{
public:
    /** Longest time between the starts of instances that start together, including the difference between their clocks. */
    static constexpr Duration commonStartTime = std::chrono::seconds(5);

    // Commands.

    /**
     * @param services whose versions matter
     * @param streamLifetime longest time from the begin of a stream to its last resumption
     */
    void configure(std::set<ServiceName> services, Duration streamLifetime);
    void observeServers(const std::map<BackendServerId, RegisteredServer> &servers, TimePoint now);
    /** Applies what the store has in @p epoch. @p unixNow is the current Unix time. */
    void applyStored(
        const std::vector<ServiceVersions> &stored, std::uint64_t epoch, std::chrono::milliseconds unixNow, TimePoint now);

    // Queries.

    const std::set<ServiceName> &services() const;
    /** Returns whether applyStored() was called. */
    bool isLoaded() const;
    /** Returns the store's epoch at the last applyStored(). */
    std::uint64_t epoch() const;
    /** Returns whether the store lacks something that this instance has seen. */
    bool hasUnstored() const;
    /** Returns the versions of all services with which to replace those in the store. */
    std::vector<ServiceVersions> versionsToStore(std::chrono::milliseconds unixNow, TimePoint now) const;
    /** Returns the time of the last change of the service's versions that any instance knows of; empty if there was none. */
    std::optional<TimePoint> changedAt(const ServiceName &service) const;
    /**
     * Returns the version that the service had before its present ones, if these were released while no instance ran, this
     * instance is one of the first that started afterwards, and only streams of that version were begun before. A stream that
     * no running instance knows then began at that version.
     */
    std::optional<std::string> versionBeforeUnobservedRelease(const ServiceName &service, TimePoint now) const;

private:
    struct Service {
        std::set<std::string> versions; // of the servers when it last had any
        TimePoint firstSeenAt; // when it first had any
        std::optional<TimePoint> observedChangeAt; // when the versions last changed; empty if they never did
        std::optional<ServiceVersions> stored;
        std::optional<TimePoint> storedChangeAt; // on this instance's clock

        /** Returns whether the versions are others than those in the store. */
        bool differsFromStore() const;
        /** Returns whether the store, in @p epoch, is to be updated. */
        bool isUnstored(std::uint64_t epoch) const;
    };

    const Service *find(const ServiceName &service) const;
    std::optional<std::string> versionBefore(const Service &service) const;

    std::set<ServiceName> relevantServices;
    Duration lifetime = Duration::zero();
    std::map<ServiceName, Service> byService;
    std::optional<std::uint64_t> loadedEpoch;
};

} // namespace flamingosaddle
