#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/control/routingsnapshot.h>
#include <flamingosaddle/traffic/serverpaths.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <vector>

namespace flamingosaddle
{

/**
 * Opens the connections of path checks. A server is reached if it keeps a new connection open for the check's hold time, because
 * a device on the path may accept and reset connections.
 */
class PathProber
{
public:
    using ReportHook = std::function<void(const PathCheck &check, bool isReached)>;

    static constexpr Duration pollInterval = std::chrono::milliseconds(50); ///< at which a held connection is looked at

    /**
     * @param context runs the connections
     * @param snapshots has the servers' addresses; outlives the object, as does @p context
     * @param report called on the thread of @p context
     */
    PathProber(
        boost::asio::io_context &context, const SharedRoutingSnapshot &snapshots, Duration connectTimeout, ReportHook report);

    /** Opens a connection for each of @p checks. Any thread. */
    void run(const std::vector<PathCheck> &checks);

private:
    boost::asio::awaitable<void> probe(PathCheck check);
    boost::asio::awaitable<bool> isReached(const BackendServerId &server, Duration holdTime);

    boost::asio::io_context &context;
    const SharedRoutingSnapshot &snapshots;
    Duration connectTimeout;
    ReportHook report;
};

} // namespace flamingosaddle
