#pragma once

#include <flamingosaddle/base/id.h>

#include <cstdint>
#include <string>

namespace flamingosaddle
{

enum class OrderKind {
    StartServer,
    StopServer,
    LoadModel, ///< load a model, an adapter or a version
    ChangeRole,
};

/**
 * The name of @p kind in orders and records, for instance "startServer".
 */
const char *toString(OrderKind kind);

/**
 * An order to the backend server interface or to an engine.
 */
struct PlatformOrder {
    std::string id; ///< the same when the order is asked after
    OrderKind kind = OrderKind::StartServer;
    DataCentre dataCentre;
    std::string server; ///< the machine to stop or to change; empty for StartServer
    std::string model;
    bool cheap = false;
    std::uint64_t fencing = 0; ///< epoch of the lease under which it was decided
    std::string holder; ///< instance that holds the lease

    friend bool operator==(const PlatformOrder &, const PlatformOrder &) = default;
};

} // namespace flamingosaddle
