#include <flamingosaddle/control/logtail.h>

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/base/log.h>

#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::chrono::milliseconds readWait(1000);
constexpr std::chrono::milliseconds firstRetryDelay(50);
constexpr std::chrono::seconds longestRetryDelay(2);

} // namespace

LogTail::LogTail(const Platform &platform, LogStream stream, LogTailHooks hooks, std::uint64_t seed)
    : platform(platform)
    , stream(stream)
    , hooks(std::move(hooks))
    , backoff(firstRetryDelay, longestRetryDelay, seed)
{
}

boost::asio::awaitable<void> LogTail::run()
{
    while (!this->stopped) {
        const bool succeeded = co_await this->readOnce();
        if (succeeded != this->answering) {
            this->answering = succeeded;
            logStateChange(succeeded ? LogLevel::Info : LogLevel::Warning, "control",
                succeeded ? "log answers" : "log does not answer", {{"stream", toString(this->stream)}});
        }
        if (succeeded) {
            this->backoff.reset();
        } else if (!this->stopped) {
            co_await delay(this->backoff.next());
        }
    }
}

void LogTail::stop()
{
    this->stopped = true;
}

bool LogTail::isLogAnswering() const
{
    return this->answering;
}

boost::asio::awaitable<bool> LogTail::readOnce()
{
    const Result<std::uint64_t> from = co_await this->hooks.position();
    if (from.has_error()) {
        co_return false;
    }
    const TimePoint sentAt = RuntimeClock::now();
    const Result<LogBatch> batch
        = co_await this->platform.read(this->stream, from.value(), this->answering ? readWait : std::chrono::milliseconds(0));
    if (this->stopped) {
        co_return false;
    }
    if (batch.has_error()) {
        if (batch.error().kind() == ErrorKind::Trimmed) {
            this->hooks.onTrimmed();
        }
        co_return false;
    }
    this->hooks.onBatch(batch.value(), sentAt);
    co_return true;
}

} // namespace flamingosaddle
