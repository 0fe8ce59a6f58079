#pragma once

#include <flamingosaddle/base/timer.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <utility>

namespace flamingosaddle
{

/**
 * The waits of requests for decisions that other threads or the platform make, on one executor. Each has a deadline.
 */
class DecisionWaits
{
public:
    /**
     * Awaits @p operation, until @p deadline at most. Returns its result, or nothing at the deadline. The operation then goes on
     * by itself and passes its result to @p onLateResult, which may be empty. An exception of the operation is rethrown unless it
     * is late. Used from the executor.
     */
    template <typename T>
    boost::asio::awaitable<std::optional<T>> awaitUntil(
        boost::asio::awaitable<T> operation, TimePoint deadline, std::function<void(T)> onLateResult)
    {
        const boost::asio::any_io_executor executor = co_await boost::asio::this_coro::executor;
        const auto wait = std::make_shared<Wait<T>>(executor, this->active);
        wait->deadline = std::min(deadline, this->latestDeadline);
        const auto onEnd = [wait, onLateResult = std::move(onLateResult)](const std::exception_ptr &error, T result) {
            if (!wait->isOver) {
                wait->error = error;
                wait->result = std::move(result);
                wait->isOver = true;
                wait->timer.cancel();
            } else if (!error && onLateResult) {
                onLateResult(std::move(result));
            }
        };
        boost::asio::co_spawn(executor, std::move(operation), onEnd);
        while (!wait->isOver && RuntimeClock::now() < wait->deadline) {
            wait->timer.expires_at(wait->deadline);
            boost::system::error_code ignored;
            co_await wait->timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
        wait->isOver = true;
        if (wait->error) {
            std::rethrow_exception(wait->error);
        }
        co_return std::move(wait->result);
    }

    /** Lets no wait, whether it has begun or begins later, last beyond @p deadline. */
    void limitDeadlines(TimePoint deadline)
    {
        this->latestDeadline = std::min(this->latestDeadline, deadline);
        for (WaitBase *wait : *this->active) {
            wait->deadline = std::min(wait->deadline, deadline);
            wait->timer.cancel();
        }
    }

private:
    struct WaitBase;
    using ActiveWaits = std::set<WaitBase *>;

    struct WaitBase {
        WaitBase(const boost::asio::any_io_executor &executor, std::shared_ptr<ActiveWaits> active)
            : timer(executor)
            , active(std::move(active))
        {
            this->active->insert(this);
        }

        ~WaitBase()
        {
            this->active->erase(this);
        }

        WaitBase(const WaitBase &) = delete;
        WaitBase &operator=(const WaitBase &) = delete;

        Timer timer; // expires at the deadline, and is cancelled when the operation ends or the deadline changes
        TimePoint deadline = TimePoint::max();
        std::exception_ptr error;
        bool isOver = false;
        std::shared_ptr<ActiveWaits> active;
    };

    template <typename T>
    struct Wait : WaitBase {
        using WaitBase::WaitBase;

        std::optional<T> result;
    };

    std::shared_ptr<ActiveWaits> active = std::make_shared<ActiveWaits>();
    TimePoint latestDeadline = TimePoint::max();
};

} // namespace flamingosaddle
