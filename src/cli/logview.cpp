#include <flamingosaddle/cli/logview.h>

#include <flamingosaddle/base/delay.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr int maxProbes = 3;
constexpr std::chrono::milliseconds probeDelay(100);
constexpr std::uint64_t backoffSeed = 1;

} // namespace

LogView::LogView(boost::asio::io_context &context, Platform platform)
    : context(context)
    , platform(std::move(platform))
    , advance(context)
    , tail(
          this->platform,
          [this] {
              this->advance.cancel();
          },
          backoffSeed)
{
}

boost::asio::awaitable<Result<std::uint64_t>> LogView::probe()
{
    Error lastError;
    for (int attempt = 0; attempt < maxProbes; ++attempt) {
        const Result<LogBounds> bounds = co_await this->platform.bounds(LogStream::Config);
        if (bounds.has_value()) {
            co_return bounds.value().endOffset;
        }
        lastError = bounds.error();
        co_await delay(probeDelay);
    }
    co_return fail(lastError);
}

boost::asio::awaitable<Result<void>> LogView::open(TimePoint deadline)
{
    // The tail retries for ever; the probe tells why nothing comes.
    const Result<std::uint64_t> head = co_await this->probe();
    if (head.has_error()) {
        co_return fail(head.error());
    }
    if (!this->isStarted) {
        this->isStarted = true;
        boost::asio::co_spawn(this->context, this->tail.run(), boost::asio::detached);
    }
    const auto isAtHead = [&head](const ConfigState &config) {
        return config.nextOffset() >= head.value();
    };
    const bool succeeded = co_await this->waitUntil(isAtHead, deadline);
    if (!succeeded) {
        co_return fail(ErrorKind::Unavailable, "the configuration could not be read from the log in time",
            this->tail.hasGap() ? "records were trimmed that no snapshot covers; ask a daemon with --admin"
                                : "try again with a longer --timeout, or ask a daemon with --admin");
    }
    co_return success();
}

boost::asio::awaitable<bool> LogView::waitUntil(std::function<bool(const ConfigState &)> isDone, TimePoint deadline)
{
    while (!isDone(this->config())) {
        if (RuntimeClock::now() >= deadline) {
            co_return false;
        }
        this->advance.expires_at(deadline);
        boost::system::error_code ignored;
        co_await this->advance.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    co_return true;
}

const ConfigState &LogView::config() const
{
    return *this->tail.state();
}

} // namespace flamingosaddle
