#include <flamingosaddle/app/workerthreads.h>

namespace flamingosaddle
{

WorkerThreads::WorkerThreads(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        this->contextList.push_back(std::make_unique<ExecutionContext>(1));
        this->guards.push_back(boost::asio::make_work_guard(*this->contextList.back()));
    }
}

WorkerThreads::~WorkerThreads()
{
    this->stop();
}

void WorkerThreads::start()
{
    for (const auto &context : this->contextList) {
        this->threads.emplace_back([&context = *context] {
            context.run();
        });
    }
}

void WorkerThreads::stop()
{
    for (const auto &context : this->contextList) {
        context->stop();
    }
    for (std::thread &thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
}

void WorkerThreads::destroyHandlers()
{
    for (const auto &context : this->contextList) {
        context->destroyHandlers();
    }
}

std::vector<boost::asio::io_context *> WorkerThreads::contexts() const
{
    std::vector<boost::asio::io_context *> pointers;
    for (const auto &context : this->contextList) {
        pointers.push_back(context.get());
    }
    return pointers;
}

} // namespace flamingosaddle
