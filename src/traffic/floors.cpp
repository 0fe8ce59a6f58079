#include <flamingosaddle/traffic/floors.h>

#include <algorithm>
#include <cmath>

namespace flamingosaddle
{

namespace
{

constexpr double rounding = 1e-9; // tolerance for sums of shares that miss 1 by rounding

} // namespace

void FloorCredits::addClass(ClassIndex requestClass, double floorShare)
{
    const bool known = std::any_of(this->floors.begin(), this->floors.end(), [&](const Floor &floor) {
        return floor.requestClass == requestClass;
    });
    if (known || floorShare <= 0.0) {
        return;
    }
    this->floors.push_back(Floor{requestClass, std::min(floorShare, 1.0), 1.0, this->starts});
    this->totalShare += std::min(floorShare, 1.0);
}

void FloorCredits::recordStart(ClassIndex requestClass)
{
    ++this->starts;
    const double factor = this->scale();
    for (Floor &floor : this->floors) {
        if (floor.requestClass == requestClass) {
            floor.credit = std::max(0.0, floor.credit - 1.0);
        } else if (floor.credit < 1.0) {
            floor.credit += floor.share * factor;
            if (floor.credit >= 1.0 - rounding) {
                floor.credit = 1.0;
                floor.dueSince = this->starts;
            }
        }
    }
}

std::uint64_t FloorCredits::period(ClassIndex requestClass) const
{
    for (const Floor &floor : this->floors) {
        if (floor.requestClass == requestClass) {
            const double rate = floor.share * this->scale();
            return static_cast<std::uint64_t>(std::ceil(1.0 / rate)) + this->floors.size();
        }
    }
    return 0;
}

double FloorCredits::scale() const
{
    return this->totalShare > maxReservedFraction ? maxReservedFraction / this->totalShare : 1.0;
}

} // namespace flamingosaddle
