#include "callwait.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace flamingosaddle::standins
{

std::shared_ptr<CallWait> CallWait::of(HttpExchange &exchange, const boost::asio::any_io_executor &executor)
{
    auto wait = std::make_shared<CallWait>(executor);
    exchange.onGone([wait]() {
        wait->callerGone = true;
        wait->wake();
    });
    return wait;
}

CallWait::CallWait(const boost::asio::any_io_executor &executor)
    : timer(executor)
{
}

boost::asio::awaitable<void> CallWait::until(TimePoint deadline)
{
    if (this->callerGone) {
        co_return;
    }
    this->timer.expires_at(deadline);
    boost::system::error_code ignored;
    co_await this->timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

boost::asio::awaitable<void> CallWait::untilWoken()
{
    return this->until(TimePoint::max());
}

void CallWait::wake()
{
    this->timer.cancel();
}

boost::asio::awaitable<void> CallWait::closeUnanswered(HttpExchange &exchange)
{
    // The server answers by itself when a handler returns without an answer while the connection is still open.
    exchange.abortHandle()();
    while (!this->callerGone) {
        co_await this->untilWoken();
    }
}

bool CallWait::isCallerGone() const
{
    return this->callerGone;
}

} // namespace flamingosaddle::standins
