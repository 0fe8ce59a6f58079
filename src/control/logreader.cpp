#include <flamingosaddle/control/logreader.h>

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/base/log.h>

#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::chrono::milliseconds readWait(1000);
constexpr std::chrono::milliseconds initialRetryDelay(50);
constexpr std::chrono::seconds maxRetryDelay(2);

} // namespace

LogReader::LogReader(const Platform &platform, LogStream stream, LogReaderHooks hooks, std::uint64_t seed)
    : platform(platform)
    , stream(stream)
    , hooks(std::move(hooks))
    , backoff(initialRetryDelay, maxRetryDelay, seed)
{
}

boost::asio::awaitable<void> LogReader::run()
{
    while (!this->stopped) {
        const bool succeeded = co_await this->readOnce();
        if (succeeded != this->isReachable) {
            this->isReachable = succeeded;
            logEvent(succeeded ? LogLevel::Info : LogLevel::Warning, "control", succeeded ? "log answers" : "log does not answer",
                {{"stream", toString(this->stream)}});
        }
        if (succeeded) {
            this->backoff.reset();
        } else if (!this->stopped) {
            co_await delay(this->backoff.next());
        }
    }
}

void LogReader::stop()
{
    this->stopped = true;
}

bool LogReader::isLogReachable() const
{
    return this->isReachable;
}

boost::asio::awaitable<bool> LogReader::readOnce()
{
    const Result<std::uint64_t> from = co_await this->hooks.nextReadOffset();
    if (from.has_error()) {
        co_return false;
    }
    const TimePoint sentAt = RuntimeClock::now();
    const Result<LogBatch> batch
        = co_await this->platform.read(this->stream, from.value(), this->isReachable ? readWait : std::chrono::milliseconds(0));
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
