#pragma once

#include <flamingosaddle/base/result.h>
#include <flamingosaddle/state/configchange.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace flamingosaddle
{

enum class ChangeOutcome {
    Accepted,
    Conflict, ///< the object's revision differs from the expected one
    Invalid, ///< the change violates a rule of the configuration
    Duplicate, ///< a change with this id was applied before; the first outcome stands
};

const char *toString(ChangeOutcome outcome);

/**
 * The result of a change; the same on every reader of the log.
 */
struct ChangeResult {
    ChangeId id;
    std::uint64_t offset = 0;
    ChangeOutcome outcome = ChangeOutcome::Accepted;
    std::string detail; ///< reason and remedy of a Conflict or Invalid

    friend bool operator==(const ChangeResult &, const ChangeResult &) = default;
};

/**
 * An object with its revision: the offset of the record that last set it, plus one. Revision 0 stands for an object that
 * does not exist.
 */
template <typename T>
struct Versioned {
    T value;
    std::uint64_t revision = 0;

    friend bool operator==(const Versioned &, const Versioned &) = default;
};

struct TemplateKey {
    TemplateName name;
    std::uint32_t version = 1;

    friend auto operator<=>(const TemplateKey &, const TemplateKey &) = default;
};

/**
 * All objects of a configuration, as an operator publishes them together.
 */
struct ConfigObjects {
    std::vector<ClientAccount> clientAccounts;
    std::vector<Route> routes;
    std::vector<BackendServer> backendServers;
    std::vector<ClientKey> keys;

    friend bool operator==(const ConfigObjects &, const ConfigObjects &) = default;
};

/**
 * The configuration that results from applying the `config` stream up to nextOffset(). It is a pure function of the
 * records: the same records, with any repetitions, give the same state on every reader.
 *
 * In addition to the rules of configvalidation.h for single objects, apply() enforces rules between objects:
 * - A published template version never changes.
 * - A client account names an existing template version; a key names an existing client account.
 * - No two routes have the same path prefix.
 * - A key is given once and never changes. Neither its id nor its digest can be given again, even if its withdrawal
 *   precedes the record that gives it.
 * - Removing a client account withdraws its keys.
 */
class ConfigState
{
public:
    /**
     * Returns a configuration of @p objects, without history. The objects are not validated; their publisher has done so.
     * @param nextOffset offset of the record that holds the objects, plus one
     */
    static ConfigState fromObjects(const ConfigObjects &objects, std::uint64_t nextOffset);

    // Commands.

    /**
     * Applies the record at @p offset. A record below nextOffset() and a change whose id is in history() change nothing
     * and return Duplicate, so that records read again cannot revert later changes.
     */
    ChangeResult apply(std::uint64_t offset, const ConfigChange &change);

    /**
     * Skips the record at @p offset, which could not be decoded.
     */
    void skip(std::uint64_t offset);

    // Queries.

    /**
     * Returns the offset to read next: the highest one seen plus one, or 0 for the empty state.
     */
    std::uint64_t nextOffset() const;

    const Versioned<Template> *findTemplate(const TemplateName &name, std::uint32_t version) const;
    const Versioned<ClientAccount> *findClientAccount(const ClientAccountId &id) const;
    const Versioned<Route> *findRoute(const RouteId &id) const;
    const Versioned<BackendServer> *findBackendServer(const BackendServerId &id) const;
    const Versioned<ClientKey> *findKey(const KeyId &id) const;
    bool isWithdrawn(const KeyId &id) const;

    const std::map<TemplateKey, Versioned<Template>> &templates() const;
    const std::map<ClientAccountId, Versioned<ClientAccount>> &clientAccounts() const;
    const std::map<RouteId, Versioned<Route>> &routes() const;
    const std::map<BackendServerId, Versioned<BackendServer>> &backendServers() const;
    const std::map<KeyId, Versioned<ClientKey>> &keys() const;
    const std::set<KeyId> &withdrawnKeys() const;

    /**
     * Returns the classes of a client account: those of its template with the account's overrides applied. Empty for an
     * unknown client account.
     */
    std::vector<RequestClass> classesOf(const ClientAccountId &id) const;

    /**
     * Returns the current revision of the object that @p change names, or 0 if it does not exist.
     */
    std::uint64_t revisionOf(const ConfigChangeBody &change) const;

    /**
     * Returns whether a key with this digest was ever given, including withdrawn keys.
     */
    bool wasGiven(const KeyDigest &digest) const;

    /**
     * Returns the result of a change if it is still in history().
     */
    std::optional<ChangeResult> findResult(const ChangeId &id) const;

    /**
     * Returns the results of the last maxHistoryEntries changes, oldest first.
     */
    const std::deque<ChangeResult> &history() const;

    friend bool operator==(const ConfigState &, const ConfigState &) = default;

    static constexpr std::size_t maxHistoryEntries = 4096;

private:
    friend class ConfigSnapshotCodec;

    void recordResult(const ChangeResult &result);
    void withdraw(const KeyId &id);

    void perform(const PutTemplate &change);
    void perform(const PutClientAccount &change);
    void perform(const RemoveClientAccount &change);
    void perform(const PutRoute &change);
    void perform(const RemoveRoute &change);
    void perform(const PutBackendServer &change);
    void perform(const RemoveBackendServer &change);
    void perform(const GiveKey &change);
    void perform(const WithdrawKey &change);

    std::map<TemplateKey, Versioned<Template>> templateTable;
    std::map<ClientAccountId, Versioned<ClientAccount>> clientAccountTable;
    std::map<RouteId, Versioned<Route>> routeTable;
    std::map<BackendServerId, Versioned<BackendServer>> backendServerTable;
    std::map<KeyId, Versioned<ClientKey>> keyTable;
    std::set<KeyId> withdrawnKeyTable;
    std::set<std::uint64_t> givenDigestPrefixes; // KeyDigest::prefix() of every key that was ever given
    std::deque<ChangeResult> recentResults; // ascending offsets
    std::map<ChangeId, std::uint64_t> recentOffsets; // offset of the first record of each change in recentResults
    std::uint64_t next = 0;
};

/**
 * Encodes the complete state for a snapshot record. decodeConfigSnapshot() restores an equal state.
 */
std::string encodeConfigSnapshot(const ConfigState &state);

/**
 * Decodes a snapshot. Fails with InvalidConfiguration if @p text is not a snapshot. Never throws, whatever the input.
 */
Result<ConfigState> decodeConfigSnapshot(std::string_view text);

} // namespace flamingosaddle
