#include <flamingosaddle/base/timer.h>

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

using namespace flamingosaddle;

TEST(Timer, FiresAfterAnAdvanceAndNotWhilePaused)
{
    const PausedClock paused;
    boost::asio::io_context context;
    Timer timer(context, std::chrono::hours(1));
    bool fired = false;
    timer.async_wait([&fired](const boost::system::error_code &error) {
        fired = !error;
    });
    context.run_for(std::chrono::milliseconds(20));
    EXPECT_FALSE(fired);
    RuntimeClock::advance(std::chrono::hours(1));
    context.run_for(std::chrono::milliseconds(200));
    EXPECT_TRUE(fired);
}
