#pragma once

#include <flamingosaddle/app/executioncontext.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace flamingosaddle
{

/**
 * Threads that each run one io_context of their own, from start() until stop().
 */
class WorkerThreads
{
public:
    explicit WorkerThreads(std::size_t count);
    ~WorkerThreads();
    WorkerThreads(const WorkerThreads &) = delete;
    WorkerThreads &operator=(const WorkerThreads &) = delete;

    // Commands.
    void start();
    /** Ends the contexts and joins the threads. Idempotent. */
    void stop();
    /** Destroys the remaining handlers of the contexts, after stop(). Idempotent. */
    void destroyHandlers();

    // Queries.
    std::vector<boost::asio::io_context *> contexts() const;

private:
    using WorkGuard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    std::vector<std::unique_ptr<ExecutionContext>> contextList;
    std::vector<WorkGuard> guards;
    std::vector<std::thread> threads;
};

} // namespace flamingosaddle
