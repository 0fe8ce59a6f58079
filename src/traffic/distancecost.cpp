#include <flamingosaddle/traffic/distancecost.h>

#include <chrono>

namespace flamingosaddle
{

namespace
{

// Text has about four bytes a token. In a stream, an event with its frame holds several tokens.
constexpr double bytesPerPromptToken = 4.0;
constexpr double bytesPerOutputToken = 16.0;
constexpr double bytesPerMegabyte = 1e6;

} // namespace

Duration DistanceCost::of(std::uint32_t promptTokens, std::uint32_t outputTokens) const
{
    const double bytes = bytesPerPromptToken * promptTokens + bytesPerOutputToken * outputTokens;
    return this->time + std::chrono::duration_cast<Duration>(bytes / bytesPerMegabyte * this->timePerMegabyte);
}

} // namespace flamingosaddle
