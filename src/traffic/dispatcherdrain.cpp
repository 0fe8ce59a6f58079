// Decides which requests an instance that is about to stop still serves.

#include "dispatcherimplementation.h"

#include <algorithm>

namespace flamingosaddle
{

void Dispatcher::Implementation::drain(TimePoint end)
{
    this->drainEnd = end;
    for (const RequestIndex index : this->requests.waiting()) {
        this->waitLimits.remove(index);
        this->waitLimits.add(index, this->waitLimit(this->requests.record(index)));
    }
}

std::optional<TimePoint> Dispatcher::Implementation::latestStart(ClassIndex requestClass) const
{
    if (!this->drainEnd.has_value()) {
        return std::nullopt;
    }
    return *this->drainEnd - this->statistics.longHold(requestClass);
}

TimePoint Dispatcher::Implementation::waitLimit(const RequestRecord &record) const
{
    return std::min(record.deadline, this->latestStart(record.entry.requestClass).value_or(record.deadline));
}

} // namespace flamingosaddle
