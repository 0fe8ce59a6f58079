#include "backendfaults.h"

namespace flamingosaddle::standins
{

void BackendFaults::set(const Json &faults)
{
    this->down = faults.value("down", this->down);
    this->silent = faults.value("silent", this->silent);
    this->freezeStreams = faults.value("freezeStreams", this->freezeStreams);
    this->delay = std::chrono::milliseconds(faults.value("delayMs", this->delay.count()));
    if (faults.contains("truncateAfter")) {
        const Json &after = faults.at("truncateAfter");
        this->truncateAfter = after.is_null() ? std::nullopt : std::optional<std::uint32_t>(after.get<std::uint32_t>());
    }
    this->truncateCleanly = faults.value("truncateCleanly", this->truncateCleanly);
    this->closeBeforeAnswer = faults.value("closeBeforeAnswer", this->closeBeforeAnswer);
    this->loseAnswer = faults.value("loseAnswer", this->loseAnswer);
    this->status = faults.value("status", this->status);
    this->retryAfter = faults.value("retryAfter", this->retryAfter);
    if (faults.contains("rateLimit")) {
        const Json &limit = faults.at("rateLimit");
        this->rateLimit = limit.is_null() ? std::nullopt : std::optional<double>(limit.get<double>());
    }
    this->slowFactor = faults.value("slowFactor", this->slowFactor);
}

bool takeOne(unsigned &count)
{
    if (count == 0) {
        return false;
    }
    --count;
    return true;
}

} // namespace flamingosaddle::standins
