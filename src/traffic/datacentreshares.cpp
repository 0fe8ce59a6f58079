#include <flamingosaddle/traffic/datacentreshares.h>

#include <flamingosaddle/base/decay.h>

#include <algorithm>
#include <cmath>

namespace flamingosaddle
{

namespace
{

constexpr double minRamp = 0.01; // slots over which the share changes

} // namespace

double DataCentreShares::comfortableLoad(double slots)
{
    // The load x for which x + 2 sqrt(x) = slots.
    const double root = std::sqrt(1.0 + slots) - 1.0;
    return root * root;
}

bool DataCentreShares::isDue(TimePoint now) const
{
    return !this->isUpdated || now - this->updatedAt >= updateInterval;
}

void DataCentreShares::update(const DataCentreLoad &own, const DataCentreLoad &others, TimePoint now)
{
    const double kept = this->isUpdated && this->slots > 0.0 ? decay(now - this->updatedAt, timeConstant) : 0.0;
    this->slots = kept * this->slots + (1.0 - kept) * own.slots;
    this->inFlight = kept * this->inFlight + (1.0 - kept) * own.inFlight;
    this->isUpdated = true;
    this->updatedAt = now;
    this->staying = this->shareFor(own, others);
}

double DataCentreShares::shareFor(const DataCentreLoad &own, const DataCentreLoad &others) const
{
    if (others.slots <= 0.0) {
        return 1.0;
    }
    if (own.slots <= 0.0) {
        return 0.0;
    }
    if (others.firstByteSeconds > 0.0 && own.firstByteSeconds >= slowRatio * others.firstByteSeconds) {
        return probeShare;
    }
    const double comfortable = comfortableLoad(this->slots);
    const double free = (this->inFlight - comfortable) / std::max(this->slots - comfortable, minRamp);
    return 1.0 - std::clamp(free, probeShare, 1.0);
}

} // namespace flamingosaddle
