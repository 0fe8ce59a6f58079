#pragma once

#include <flamingosaddle/base/timer.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace flamingosaddle
{

/**
 * Awaits @p operation, until @p deadline at most. Returns its result, or nothing at the deadline. The operation then goes on by
 * itself and passes its result to @p onLateResult, which may be empty. An exception of the operation is rethrown unless it is
 * late. Used from one executor.
 */
template <typename T>
boost::asio::awaitable<std::optional<T>> awaitUntil(
    boost::asio::awaitable<T> operation, TimePoint deadline, std::function<void(T)> onLateResult)
{
    struct Wait {
        explicit Wait(const boost::asio::any_io_executor &executor)
            : ended(executor)
        {
        }

        Timer ended; // expires at the deadline, and is cancelled when the operation ends
        std::optional<T> result;
        std::exception_ptr error;
        bool isOver = false;
    };
    const boost::asio::any_io_executor executor = co_await boost::asio::this_coro::executor;
    const auto wait = std::make_shared<Wait>(executor);
    wait->ended.expires_at(deadline);
    const auto onEnd = [wait, onLateResult = std::move(onLateResult)](const std::exception_ptr &error, T result) {
        if (!wait->isOver) {
            wait->error = error;
            wait->result = std::move(result);
            wait->isOver = true;
            wait->ended.cancel();
        } else if (!error && onLateResult) {
            onLateResult(std::move(result));
        }
    };
    boost::asio::co_spawn(executor, std::move(operation), onEnd);
    if (!wait->isOver) {
        boost::system::error_code ignored;
        co_await wait->ended.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    wait->isOver = true;
    if (wait->error) {
        std::rethrow_exception(wait->error);
    }
    co_return std::move(wait->result);
}

} // namespace flamingosaddle
