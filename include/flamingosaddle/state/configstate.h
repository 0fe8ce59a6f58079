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
    Conflict, ///< the object's revision is another than the change expects
    Invalid, ///< the change breaks a rule of the configuration
    Duplicate, ///< a change with this id was applied before; its first outcome stands
};

const char *toString(ChangeOutcome outcome);

/**
 * What became of one change, the same on every reader of the log.
 */
struct ChangeResult {
    ChangeId id;
    std::uint64_t offset = 0;
    ChangeOutcome outcome = ChangeOutcome::Accepted;
    std::string detail; ///< for Conflict and Invalid: the reason and the remedy

    friend bool operator==(const ChangeResult &, const ChangeResult &) = default;
};

/**
 * An object and its revision: one more than the offset of the record that last set it, so that 0 stands for an object
 * that does not exist.
 */
template <typename T>
struct Revised {
    T value;
    std::uint64_t revision = 0;

    friend bool operator==(const Revised &, const Revised &) = default;
};

struct TemplateKey {
    TemplateName name;
    std::uint32_t version = 1;

    friend auto operator<=>(const TemplateKey &, const TemplateKey &) = default;
};

/**
 * Everything that a configuration sets, as an operator publishes it in one piece.
 */
struct ConfigObjects {
    std::vector<ClientAccount> clientAccounts;
    std::vector<Route> routes;
    std::vector<BackendServer> backendServers;
    std::vector<ClientKey> keys;

    friend bool operator==(const ConfigObjects &, const ConfigObjects &) = default;
};

/**
 * The configuration after some prefix of the `config` stream. A pure function of the records: the same records, with
 * any repetitions, give the same state everywhere.
 *
 * Beside the rules of configvalidation.h for one object, apply() holds the configuration together:
 * - A published template version never changes.
 * - A client account names an existing template version; a key names an existing client account.
 * - Two routes never have the same path prefix.
 * - A key is given once and never changes. Neither its id nor its digest is ever given again, also when its
 *   withdrawal comes before the record that gives it.
 * - Removing a client account withdraws its keys.
 */
class ConfigState
{
public:
    /**
     * The configuration of @p objects, without history. Their publisher has checked them.
     * @param nextOffset one more than the offset of the record that they come from
     */
    static ConfigState ofObjects(const ConfigObjects &objects, std::uint64_t nextOffset);

    // Commands.

    /**
     * Applies the record at @p offset. An offset below nextOffset() changes nothing and answers Duplicate, so that
     * nothing that is in force reverts. So does a change whose id is among the remembered ones.
     */
    ChangeResult apply(std::uint64_t offset, const ConfigChange &change);

    /**
     * Passes over a record at @p offset that could not be decoded.
     */
    void skip(std::uint64_t offset);

    // Queries.

    /**
     * One more than the highest offset seen; 0 for the empty state. Reading goes on from here.
     */
    std::uint64_t nextOffset() const;

    const Revised<Template> *findTemplate(const TemplateName &name, std::uint32_t version) const;
    const Revised<ClientAccount> *findClientAccount(const ClientAccountId &id) const;
    const Revised<Route> *findRoute(const RouteId &id) const;
    const Revised<BackendServer> *findBackendServer(const BackendServerId &id) const;
    const Revised<ClientKey> *findKey(const KeyId &id) const;
    bool isWithdrawn(const KeyId &id) const;

    const std::map<TemplateKey, Revised<Template>> &templates() const;
    const std::map<ClientAccountId, Revised<ClientAccount>> &clientAccounts() const;
    const std::map<RouteId, Revised<Route>> &routes() const;
    const std::map<BackendServerId, Revised<BackendServer>> &backendServers() const;
    const std::map<KeyId, Revised<ClientKey>> &keys() const;
    const std::set<KeyId> &withdrawnKeys() const;

    /**
     * The classes of a client account: its template's with its own parameters laid over them. Empty for an unknown
     * client account.
     */
    std::vector<RequestClass> classesOf(const ClientAccountId &id) const;

    /**
     * The present revision of the object that @p change names, 0 when it does not exist.
     */
    std::uint64_t revisionOf(const ConfigChangeBody &change) const;

    /**
     * Whether a key with this digest was ever given, withdrawn or not.
     */
    bool wasGiven(const KeyDigest &digest) const;

    /**
     * What became of the change, while it is among the last maxRememberedChanges.
     */
    std::optional<ChangeResult> resultOf(const ChangeId &id) const;

    /**
     * The last results, oldest first.
     */
    const std::deque<ChangeResult> &history() const;

    friend bool operator==(const ConfigState &, const ConfigState &) = default;

    static constexpr std::size_t maxRememberedChanges = 4096;

private:
    friend class ConfigSnapshotCodec;

    void remember(const ChangeResult &result);
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

    std::map<TemplateKey, Revised<Template>> templateTable;
    std::map<ClientAccountId, Revised<ClientAccount>> clientAccountTable;
    std::map<RouteId, Revised<Route>> routeTable;
    std::map<BackendServerId, Revised<BackendServer>> backendServerTable;
    std::map<KeyId, Revised<ClientKey>> keyTable;
    std::set<KeyId> withdrawnKeyTable;
    std::set<std::uint64_t> givenDigestPrefixes; // KeyDigest::prefix() of every key that was ever given
    std::deque<ChangeResult> recentResults; // ascending offsets
    std::map<ChangeId, std::uint64_t> recentOffsets; // of the record that decided
    std::uint64_t next = 0;
};

/**
 * Writes the whole state as text for a snapshot record; decodeConfigSnapshot() gives an equal state back.
 */
std::string encodeConfigSnapshot(const ConfigState &state);

/**
 * Fails with InvalidConfiguration when @p text is no snapshot. Never throws, whatever the bytes.
 */
Result<ConfigState> decodeConfigSnapshot(std::string_view text);

} // namespace flamingosaddle
