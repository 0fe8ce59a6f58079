#include <flamingosaddle/control/logappender.h>

#include <flamingosaddle/base/delay.h>

#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::chrono::milliseconds initialRetryDelay(100);
constexpr std::chrono::seconds maxRetryDelay(5);

} // namespace

LogAppender::LogAppender(const Platform &platform, LogStream stream, LogAppenderOptions options, std::uint64_t seed)
    : platform(platform)
    , stream(stream)
    , options(options)
    , backoff(initialRetryDelay, maxRetryDelay, seed)
{
}

void LogAppender::enqueue(std::string body)
{
    // The front record may be in flight, so the one after it is dropped.
    if (this->buffer.size() >= this->options.maxBufferedRecords && this->buffer.size() > 1) {
        this->buffer.erase(this->buffer.begin() + 1);
        ++this->dropped;
    }
    this->buffer.push_back(std::move(body));
}

boost::asio::awaitable<void> LogAppender::run()
{
    while (!this->stopped) {
        if (this->buffer.empty()) {
            co_await delay(this->options.minInterval);
            continue;
        }
        ++this->appends;
        const Result<std::uint64_t> offset = co_await this->platform.append(this->stream, this->buffer.front());
        if (offset.has_value()) {
            this->buffer.pop_front();
            this->backoff.reset();
            co_await delay(this->options.minInterval);
        } else {
            co_await delay(this->backoff.next());
        }
    }
}

void LogAppender::stop()
{
    this->stopped = true;
}

std::size_t LogAppender::bufferedCount() const
{
    return this->buffer.size();
}

std::uint64_t LogAppender::droppedCount() const
{
    return this->dropped;
}

std::uint64_t LogAppender::appendCount() const
{
    return this->appends;
}

} // namespace flamingosaddle
