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
 * What traffic threads need to know of the configuration, fixed at one offset. Built by the control thread, shared
 * read-only.
 */
class RoutingSnapshot
{
public:
    /**
     * @param config the configuration in force
     * @param tombstones keys withdrawn by a peer or an operator before the log has the record
     * @param freshUntil after this time the snapshot may miss a withdrawal, and requests with a key are refused
     */
    RoutingSnapshot(std::shared_ptr<const ConfigState> config, std::set<KeyId> tombstones, TimePoint freshUntil);

    const ConfigState &config() const;
    std::uint64_t offset() const; ///< next offset of the config stream
    TimePoint freshUntil() const;

    /** The key with this digest, unless it was withdrawn; compares in constant time. */
    const ClientKey *findKey(const KeyDigest &digest) const;
    bool isWithdrawn(const KeyId &id) const;

    /** Of the routes for @p host, those for any host included, the one with the longest prefix of @p path, or nullptr. */
    const Route *findRoute(std::string_view host, std::string_view path) const;

    /** Effective classes of a client account; nullptr for an unknown one. */
    const std::vector<RequestClass> *classesOf(const ClientAccountId &id) const;

    /** Names of all models that some backend server serves. */
    const std::vector<ModelName> &models() const;

    std::vector<BackendServer> backendServers() const;

private:
    std::shared_ptr<const ConfigState> state;
    std::set<KeyId> tombstones;
    TimePoint freshLimit;
    std::unordered_multimap<std::uint64_t, const ClientKey *> keysByDigest;
    std::unordered_map<std::string_view, std::vector<const Route *>> routesByHost; // longest prefix first
    std::unordered_map<ClientAccountId, std::vector<RequestClass>> classTable;
    std::vector<ModelName> modelNames;
};

/** All backend servers of a configuration, by their ids. */
std::vector<BackendServer> backendServersOf(const ConfigState &state);

/**
 * Hands the newest snapshot from the control thread to the traffic threads. Any thread may call anything.
 */
class SnapshotBoard
{
public:
    void publish(std::shared_ptr<const RoutingSnapshot> snapshot);

    /** The newest snapshot; nullptr until the first one. */
    std::shared_ptr<const RoutingSnapshot> current() const;

private:
    mutable std::mutex mutex;
    std::shared_ptr<const RoutingSnapshot> newest;
};

} // namespace flamingosaddle
