#pragma once

#include <flamingosaddle/base/result.h>
#include <flamingosaddle/state/config.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace flamingosaddle
{

struct PutTemplate {
    Template value;

    friend bool operator==(const PutTemplate &, const PutTemplate &) = default;
};

struct PutClientAccount {
    ClientAccount value;

    friend bool operator==(const PutClientAccount &, const PutClientAccount &) = default;
};

struct RemoveClientAccount {
    ClientAccountId id;

    friend bool operator==(const RemoveClientAccount &, const RemoveClientAccount &) = default;
};

struct PutRoute {
    Route value;

    friend bool operator==(const PutRoute &, const PutRoute &) = default;
};

struct RemoveRoute {
    RouteId id;

    friend bool operator==(const RemoveRoute &, const RemoveRoute &) = default;
};

struct PutBackendServer {
    BackendServer value;

    friend bool operator==(const PutBackendServer &, const PutBackendServer &) = default;
};

struct RemoveBackendServer {
    BackendServerId id;

    friend bool operator==(const RemoveBackendServer &, const RemoveBackendServer &) = default;
};

struct GiveKey {
    ClientKey value;

    friend bool operator==(const GiveKey &, const GiveKey &) = default;
};

/**
 * Withdraws a key for good: no later record brings the same key id back.
 */
struct WithdrawKey {
    KeyId id;

    friend bool operator==(const WithdrawKey &, const WithdrawKey &) = default;
};

using ConfigChangeBody = std::variant<PutTemplate, PutClientAccount, RemoveClientAccount, PutRoute, RemoveRoute, PutBackendServer,
    RemoveBackendServer, GiveKey, WithdrawKey>;

/**
 * One record of the `config` stream.
 */
struct ConfigChange {
    ChangeId id; ///< the same in every repetition of the change, so that a lost answer does no harm
    /**
     * The revision of the object that the change was made against (see Revised), or 0 for an object that does not
     * exist. A change without one is applied whatever the revision; WithdrawKey always is.
     */
    std::optional<std::uint64_t> expectedRevision;
    std::string author;
    ConfigChangeBody body;

    friend bool operator==(const ConfigChange &, const ConfigChange &) = default;
};

/**
 * The text of a `config` record: one JSON object. docs/PROTOCOL.md gives its fields.
 */
std::string encodeConfigChange(const ConfigChange &change);

/**
 * Reads the text of a `config` record. Fails with InvalidConfiguration, naming the field and the remedy. Never throws,
 * whatever the bytes.
 */
Result<ConfigChange> decodeConfigChange(std::string_view text);

} // namespace flamingosaddle
