#include <flamingosaddle/base/loglimit.h>

#include <flamingosaddle/base/log.h>

#include <utility>

namespace flamingosaddle
{

LogLimit::LogLimit(std::uint32_t maxLines, std::string module, std::string omissionEvent)
    : maxLines(maxLines)
    , module(std::move(module))
    , omissionEvent(std::move(omissionEvent))
{
}

bool LogLimit::mayLog(TimePoint now)
{
    const std::scoped_lock lock(this->mutex);
    if (now - this->second >= std::chrono::seconds(1)) {
        if (this->omitted > 0) {
            logEvent(LogLevel::Info, this->module, this->omissionEvent, {{"count", std::to_string(this->omitted)}});
        }
        this->second = now;
        this->lines = 0;
        this->omitted = 0;
    }
    if (this->lines >= this->maxLines) {
        ++this->omitted;
        return false;
    }
    ++this->lines;
    return true;
}

} // namespace flamingosaddle
