#pragma once

#include <boost/asio/io_context.hpp>

namespace flamingosaddle
{

/**
 * An io_context whose remaining handlers can be destroyed before the context itself. A handler may own sockets and timers of
 * another context, which has to exist until they are destroyed.
 */
class ExecutionContext : public boost::asio::io_context
{
public:
    using boost::asio::io_context::io_context;

    /** Destroys the remaining handlers and what they own. No thread may run the context any more. Idempotent. */
    void destroyHandlers()
    {
        this->shutdown();
    }
};

} // namespace flamingosaddle
