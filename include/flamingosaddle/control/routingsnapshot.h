#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/hash.h>
#include <flamingosaddle/state/configstate.h>

#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace flamingosaddle
{

/**
 * An immutable view of the configuration at one offset, indexed for traffic threads. Built by the control thread and shared
 * read-only.
 */
class RoutingSnapshot
{
public:
    /**
     * @param config the current configuration
     * @param tombstones keys withdrawn by a peer or an operator whose record may not be in the log yet
     * @param freshUntil time after which the snapshot may miss a withdrawal and requests with a key are refused
     * @param evacuated data centres to whose backend servers no new request goes, for the lines of requests in the log
     */
    RoutingSnapshot(std::shared_ptr<const ConfigState> config, std::set<KeyId> tombstones, TimePoint freshUntil,
        std::set<DataCentre> evacuated = {});

    const ConfigState &config() const;
    std::uint64_t offset() const; ///< next offset of the config stream
    TimePoint freshUntil() const;
    const std::set<DataCentre> &evacuated() const;

    /** Returns the key with this digest, or nullptr if there is none or it was withdrawn. Compares in constant time. */
    const ClientKey *findKey(const KeyDigest &digest) const;
    bool isWithdrawn(const KeyId &id) const;

    /** Returns the route with the longest prefix of @p path among those for @p host and for any host, or nullptr. */
    const Route *findRoute(std::string_view host, std::string_view path) const;

    /** Returns the effective request classes of a client account; nullptr for an unknown one. */
    const std::vector<RequestClass> *classesOf(const ClientAccountId &id) const;

    /** Returns the names of all models that any backend server serves. */
    const std::vector<ModelName> &models() const;

    std::vector<BackendServer> backendServers() const;

private:
    std::shared_ptr<const ConfigState> configState;
    std::set<KeyId> tombstones;
    TimePoint freshnessDeadline;
    std::set<DataCentre> evacuatedDataCentres;
    std::unordered_multimap<std::uint64_t, const ClientKey *> keysByDigest;
    std::unordered_map<std::string_view, std::vector<const Route *>> routesByHost; // longest prefix first
    std::unordered_map<ClientAccountId, std::vector<RequestClass>> classesByAccount;
    std::vector<ModelName> modelNames;
};

/** Returns all backend servers of a configuration, ordered by id. */
std::vector<BackendServer> backendServersOf(const ConfigState &state);

/**
 * Passes the newest snapshot from the control thread to the traffic threads. Thread-safe.
 */
class SharedRoutingSnapshot
{
public:
    void publish(std::shared_ptr<const RoutingSnapshot> snapshot);

    /** Returns the newest snapshot; nullptr before the first one. */
    std::shared_ptr<const RoutingSnapshot> current() const;

private:
    mutable std::mutex mutex;
    std::shared_ptr<const RoutingSnapshot> newest;
};

} // namespace flamingosaddle
