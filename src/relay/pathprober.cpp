#include <flamingosaddle/relay/pathprober.h>

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/http/client.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace flamingosaddle
{

namespace asio = boost::asio;

PathProber::PathProber(
    asio::io_context &context, const SharedRoutingSnapshot &snapshots, Duration connectTimeout, ReportHook report)
    : context(context)
    , snapshots(snapshots)
    , connectTimeout(connectTimeout)
    , report(std::move(report))
{
}

void PathProber::run(const std::vector<PathCheck> &checks)
{
    for (const PathCheck &check : checks) {
        asio::co_spawn(this->context, this->probe(check), asio::detached);
    }
}

asio::awaitable<void> PathProber::probe(PathCheck check)
{
    const bool reached = co_await this->isReached(check.server, check.holdTime);
    this->report(check, reached);
}

asio::awaitable<bool> PathProber::isReached(const BackendServerId &server, Duration holdTime)
{
    const std::shared_ptr<const RoutingSnapshot> snapshot = this->snapshots.current();
    const Versioned<BackendServer> *found = snapshot ? snapshot->config().findBackendServer(server) : nullptr;
    if (found == nullptr) {
        co_return false;
    }
    Result<std::unique_ptr<HttpConnection>> connected
        = co_await HttpConnection::connect(found->value.endpoint, this->connectTimeout);
    if (!connected.has_value()) {
        co_return false;
    }
    const TimePoint end = RuntimeClock::now() + holdTime;
    while (RuntimeClock::now() < end) {
        co_await delay(std::min<Duration>(pollInterval, end - RuntimeClock::now()));
        if (connected.value()->isStale()) {
            co_return false;
        }
    }
    co_return true;
}

} // namespace flamingosaddle
