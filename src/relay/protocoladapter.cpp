#include <flamingosaddle/relay/protocoladapter.h>

#include <charconv>
#include <cmath>

namespace flamingosaddle
{

std::optional<double> parseRateLimit(std::string_view text)
{
    double requestsPerSecond = 0.0;
    const char *end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, requestsPerSecond, std::chars_format::fixed);
    const bool isNumber = read.ec == std::errc() && read.ptr == end && std::isfinite(requestsPerSecond);
    return isNumber && requestsPerSecond >= 0.0 ? std::optional(requestsPerSecond) : std::nullopt;
}

} // namespace flamingosaddle
