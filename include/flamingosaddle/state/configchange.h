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
 * Withdraws a key permanently: later records cannot reuse its id.
 */
struct WithdrawKey {
    KeyId id;

    friend bool operator==(const WithdrawKey &, const WithdrawKey &) = default;
};

using ConfigChangeBody = std::variant<PutTemplate, PutClientAccount, RemoveClientAccount, PutRoute, RemoveRoute, PutBackendServer,
    RemoveBackendServer, GiveKey, WithdrawKey>;

/**
 * A record of the `config` stream.
 */
struct ConfigChange {
    ChangeId id; ///< kept when the change is sent again after a lost response, so that it is applied once
    /**
     * The revision of the object that the change was made against (see Versioned), or 0 for an object that does not
     * exist. A change without an expected revision applies to any revision. WithdrawKey ignores it.
     */
    std::optional<std::uint64_t> expectedRevision;
    std::string author;
    ConfigChangeBody body;

    friend bool operator==(const ConfigChange &, const ConfigChange &) = default;
};

/**
 * Encodes a `config` record as a JSON object. docs/PROTOCOL.md lists its fields.
 */
std::string encodeConfigChange(const ConfigChange &change);

/**
 * Decodes a `config` record. Fails with InvalidConfiguration; the error names the field and a remedy. Never throws,
 * whatever the input.
 */
Result<ConfigChange> decodeConfigChange(std::string_view text);

} // namespace flamingosaddle
