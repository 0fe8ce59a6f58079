#pragma once

#include <boost/asio/io_context.hpp>

namespace flamingosaddle
{

/**
 * An io_context whose handlers can be destroyed while it still exists, because they own objects of other contexts.
 */
class ExecutionContext : public boost::asio::io_context
{
public:
    using boost::asio::io_context::io_context;

    /** Destroys the handlers that are left, with all that they own. No thread may run the context, nor run it later. */
    void destroyHandlers()
    {
        this->shutdown();
    }
};

} // namespace flamingosaddle
