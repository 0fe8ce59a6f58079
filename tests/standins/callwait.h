#pragma once

#include <flamingosaddle/base/timer.h>
#include <flamingosaddle/http/server.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>

namespace flamingosaddle::standins
{

/**
 * The waits of one exchange. A wait ends at its deadline, when wake() is called or when the caller is gone. Used from one
 * thread.
 */
class CallWait
{
public:
    /** Takes the exchange's onGone() handler for itself. */
    static std::shared_ptr<CallWait> of(HttpExchange &exchange, const boost::asio::any_io_executor &executor);

    explicit CallWait(const boost::asio::any_io_executor &executor);

    // Commands.
    boost::asio::awaitable<void> until(TimePoint deadline);
    boost::asio::awaitable<void> untilWoken();
    void wake();
    /** Closes the connection of the exchange without an answer. */
    boost::asio::awaitable<void> closeUnanswered(HttpExchange &exchange);

    // Queries.
    bool isCallerGone() const;

private:
    Timer timer;
    bool callerGone = false;
};

} // namespace flamingosaddle::standins
