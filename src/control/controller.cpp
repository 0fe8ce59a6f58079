#include <flamingosaddle/control/controller.h>

#include <flamingosaddle/base/log.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace flamingosaddle
{

Controller::Controller(boost::asio::io_context &context, Platform platform, ControllerOptions options, ControllerHooks hooks)
    : context(context)
    , platform(std::move(platform))
    , controllerOptions(std::move(options))
    , hooks(std::move(hooks))
    , tail(
          this->platform,
          [this] {
              this->configAdvanced();
          },
          this->controllerOptions.seed)
{
}

Controller::~Controller() = default;

void Controller::start()
{
    boost::asio::co_spawn(this->context, this->tail.run(), boost::asio::detached);
}

void Controller::stop()
{
    this->tail.stop();
}

void Controller::withdrawKey(const KeyId &id)
{
    const bool isNew = this->earlyTombstones.insert(id).second;
    if (!isNew) {
        return;
    }
    this->publishSnapshot();
    this->hooks.keyWithdrawn(id);
}

bool Controller::isReady() const
{
    return this->publishedState != nullptr && this->tail.lastReadAt().has_value();
}

TimePoint Controller::freshUntil() const
{
    const std::optional<TimePoint> readAt = this->tail.lastReadAt();
    return readAt ? *readAt + this->controllerOptions.freshnessLimit : TimePoint();
}

const ConfigTail &Controller::configTail() const
{
    return this->tail;
}

const std::set<KeyId> &Controller::tombstones() const
{
    return this->earlyTombstones;
}

const ControllerOptions &Controller::options() const
{
    return this->controllerOptions;
}

void Controller::configAdvanced()
{
    const std::shared_ptr<const ConfigState> before = this->publishedState;
    const std::shared_ptr<const ConfigState> after = this->tail.state();
    const bool changed = before != after;
    // The index of a snapshot costs a pass over the configuration, so freshness alone renews it in steps.
    const bool freshnessMoved = this->freshUntil() - this->publishedFreshness > this->controllerOptions.freshnessLimit / 8;
    if (!changed && !freshnessMoved) {
        return;
    }
    this->publishSnapshot();
    if (!changed) {
        return;
    }
    this->hooks.setServers(backendServersOf(*after));
    this->announceWithdrawals(before ? *before : ConfigState(), *after);
}

void Controller::publishSnapshot()
{
    this->publishedState = this->tail.state();
    this->publishedFreshness = this->freshUntil();
    this->hooks.publish(
        std::make_shared<const RoutingSnapshot>(this->publishedState, this->earlyTombstones, this->publishedFreshness));
}

void Controller::announceWithdrawals(const ConfigState &before, const ConfigState &after)
{
    for (const KeyId &id : after.withdrawnKeys()) {
        if (!before.isWithdrawn(id)) {
            this->hooks.keyWithdrawn(id);
        }
    }
    for (const auto &[id, key] : before.keys()) {
        if (after.findKey(id) == nullptr && !after.isWithdrawn(id)) {
            this->hooks.keyWithdrawn(id);
        }
    }
}

} // namespace flamingosaddle
