#include <flamingosaddle/relay/protocoladapter.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace flamingosaddle
{

namespace
{

constexpr int serviceUnavailable = 503;
constexpr double maxPauseSeconds = 1e6; // fits into a Duration
constexpr double maxRejectionLimit = 1e9; // fits into 32 bits

/** Parses a decimal number that is not negative. */
std::optional<double> parseDecimal(std::string_view text)
{
    double value = 0.0;
    const char *end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    const bool isNumber = read.ec == std::errc() && read.ptr == end && std::isfinite(value);
    return isNumber && value >= 0.0 ? std::optional(value) : std::nullopt;
}

} // namespace

std::optional<double> parseRateLimit(std::string_view text)
{
    return parseDecimal(text);
}

std::optional<std::uint32_t> parseRejectionLimit(std::string_view text)
{
    const std::optional<double> limit = parseDecimal(text);
    return limit.has_value() ? std::optional(static_cast<std::uint32_t>(std::min(*limit, maxRejectionLimit))) : std::nullopt;
}

std::optional<Duration> requestedPause(const HttpResponseHead &head)
{
    const std::optional<double> seconds = parseDecimal(head.headers.find("Retry-After"));
    if (head.status != serviceUnavailable || !seconds.has_value()) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(*seconds, maxPauseSeconds)));
}

} // namespace flamingosaddle
