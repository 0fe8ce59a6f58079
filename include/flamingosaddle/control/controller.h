#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/control/configtail.h>
#include <flamingosaddle/control/routingsnapshot.h>
#include <flamingosaddle/platform/platform.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace flamingosaddle
{

struct ControllerOptions {
    InstanceId instanceId;
    DataCentre dataCentre;
    Duration freshnessLimit = std::chrono::seconds(5);
    std::uint64_t seed = 1;

    friend bool operator==(const ControllerOptions &, const ControllerOptions &) = default;
};

/**
 * What the controller tells the traffic side. Called on the control thread; each hook is safe to call while traffic runs.
 */
struct ControllerHooks {
    std::function<void(std::shared_ptr<const RoutingSnapshot>)> publish;
    std::function<void(const std::vector<BackendServer> &)> setServers;
    std::function<void(const KeyId &)> keyWithdrawn; ///< running exchanges with the key have to end
};

/**
 * Owns all control state of an instance. Every function is called on the thread that runs @p context.
 */
class Controller
{
public:
    Controller(boost::asio::io_context &context, Platform platform, ControllerOptions options, ControllerHooks hooks);
    ~Controller();

    // Commands.
    void start();
    void stop();

    /** Takes a key out of use at once, before the log has the record. Idempotent. */
    void withdrawKey(const KeyId &id);

    // Queries.
    bool isReady() const; ///< whether the configuration was read to its end once
    TimePoint freshUntil() const;
    const ConfigTail &configTail() const;
    const std::set<KeyId> &tombstones() const;
    const ControllerOptions &options() const;

private:
    void configAdvanced();
    void publishSnapshot();
    void announceWithdrawals(const ConfigState &before, const ConfigState &after);

    boost::asio::io_context &context;
    Platform platform;
    ControllerOptions controllerOptions;
    ControllerHooks hooks;
    std::set<KeyId> earlyTombstones;
    std::shared_ptr<const ConfigState> publishedState;
    TimePoint publishedFreshness;
    ConfigTail tail;
};

} // namespace flamingosaddle
