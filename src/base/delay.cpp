#include <flamingosaddle/base/delay.h>

#include <flamingosaddle/base/timer.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace flamingosaddle
{

boost::asio::awaitable<void> delay(Duration duration)
{
    Timer timer(co_await boost::asio::this_coro::executor, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

} // namespace flamingosaddle
