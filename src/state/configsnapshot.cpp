#include <flamingosaddle/state/configstate.h>

#include "configfields.h"

#include <flamingosaddle/state/configvalidation.h>

namespace flamingosaddle
{

namespace
{

constexpr std::size_t maxSnapshotBytes = std::size_t{64} << 20;
constexpr std::uint32_t snapshotVersion = 1;

constexpr RecordFormat snapshotFormat{
    ErrorKind::InvalidConfiguration, "take another snapshot, from the log or from a peer", maxSnapshotBytes, false};

} // namespace

template <>
struct EnumNames<ChangeOutcome> {
    static constexpr std::array values{
        std::pair{ChangeOutcome::Accepted, "accepted"},
        std::pair{ChangeOutcome::Conflict, "conflict"},
        std::pair{ChangeOutcome::Invalid, "invalid"},
    };
};

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<ChangeResult> value)
{
    archive.required("id", value.id);
    archive.required("offset", value.offset);
    archive.required("outcome", value.outcome);
    archive.optional("detail", value.detail);
}

template <typename Archive, typename T>
static void describeVersioned(Archive &archive, T &value)
{
    archive.required("revision", value.revision);
    archive.required("value", value.value);
}

template <typename T>
static void describe(RecordReader &reader, Versioned<T> &value)
{
    describeVersioned(reader, value);
}

template <typename T>
static void describe(RecordWriter &writer, const Versioned<T> &value)
{
    describeVersioned(writer, value);
}

/**
 * The contents of a snapshot: the tables of a ConfigState as lists.
 */
struct ConfigSnapshot {
    std::uint32_t version = snapshotVersion;
    std::uint64_t next = 0;
    std::vector<Versioned<Template>> templates;
    std::vector<Versioned<ClientAccount>> clientAccounts;
    std::vector<Versioned<Route>> routes;
    std::vector<Versioned<BackendServer>> backendServers;
    std::vector<Versioned<ClientKey>> keys;
    std::vector<KeyId> withdrawnKeys;
    std::vector<std::uint64_t> givenDigests;
    std::vector<ChangeResult> results;
};

template <typename Archive>
static void describe(Archive &archive, typename Archive::template Ref<ConfigSnapshot> value)
{
    archive.required("version", value.version);
    archive.required("next", value.next);
    archive.required("templates", value.templates);
    archive.required("clientAccounts", value.clientAccounts);
    archive.required("routes", value.routes);
    archive.required("backendServers", value.backendServers);
    archive.required("keys", value.keys);
    archive.required("withdrawnKeys", value.withdrawnKeys);
    archive.required("givenDigests", value.givenDigests);
    archive.required("results", value.results);
}

class ConfigSnapshotCodec
{
public:
    static ConfigSnapshot toSnapshot(const ConfigState &state)
    {
        ConfigSnapshot snapshot;
        snapshot.next = state.next;
        snapshot.templates = valuesOf(state.templateTable);
        snapshot.clientAccounts = valuesOf(state.clientAccountTable);
        snapshot.routes = valuesOf(state.routeTable);
        snapshot.backendServers = valuesOf(state.backendServerTable);
        snapshot.keys = valuesOf(state.keyTable);
        snapshot.withdrawnKeys.assign(state.withdrawnKeyTable.begin(), state.withdrawnKeyTable.end());
        snapshot.givenDigests.assign(state.givenDigestPrefixes.begin(), state.givenDigestPrefixes.end());
        snapshot.results.assign(state.recentResults.begin(), state.recentResults.end());
        return snapshot;
    }

    static ConfigState toState(ConfigSnapshot snapshot)
    {
        ConfigState state;
        state.next = snapshot.next;
        for (auto &entry : snapshot.templates) {
            TemplateKey key{entry.value.name, entry.value.version};
            state.templateTable[std::move(key)] = std::move(entry);
        }
        fill(state.clientAccountTable, snapshot.clientAccounts);
        fill(state.routeTable, snapshot.routes);
        fill(state.backendServerTable, snapshot.backendServers);
        fill(state.keyTable, snapshot.keys);
        state.withdrawnKeyTable.insert(snapshot.withdrawnKeys.begin(), snapshot.withdrawnKeys.end());
        state.givenDigestPrefixes.insert(snapshot.givenDigests.begin(), snapshot.givenDigests.end());
        for (const ChangeResult &result : snapshot.results) {
            state.recordResult(result);
        }
        return state;
    }

private:
    template <typename Key, typename Value>
    static std::vector<Value> valuesOf(const std::map<Key, Value> &table)
    {
        std::vector<Value> values;
        values.reserve(table.size());
        for (const auto &[key, value] : table) {
            values.push_back(value);
        }
        return values;
    }

    template <typename Table, typename Values>
    static void fill(Table &table, Values &values)
    {
        for (auto &entry : values) {
            auto id = entry.value.id;
            table[std::move(id)] = std::move(entry);
        }
    }
};

std::string encodeConfigSnapshot(const ConfigState &state)
{
    return encodeRecord(ConfigSnapshotCodec::toSnapshot(state));
}

Result<ConfigState> decodeConfigSnapshot(std::string_view text)
{
    Result<ConfigSnapshot> snapshot = decodeRecord<ConfigSnapshot>(text, snapshotFormat);
    if (snapshot.has_error()) {
        return fail(snapshot.error());
    }
    if (snapshot.value().version != snapshotVersion) {
        return fail(ErrorKind::InvalidConfiguration, "the snapshot has an unknown version", "read the log from its beginning");
    }
    return ConfigSnapshotCodec::toState(std::move(snapshot).value());
}

} // namespace flamingosaddle
