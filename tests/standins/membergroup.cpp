#include "membergroup.h"

namespace flamingosaddle::standins
{

std::uint64_t MemberGroup::join(const std::string &member, Duration lifetime, TimePoint now)
{
    const std::size_t gone = std::erase_if(this->until, [&](const auto &entry) {
        return entry.second < now;
    });
    const bool isNew = this->until.insert_or_assign(member, now + lifetime).second;
    if (gone > 0 || isNew) {
        ++this->generation;
    }
    return this->generation;
}

void MemberGroup::leave(const std::string &member)
{
    this->generation += this->until.erase(member);
}

std::vector<std::string> MemberGroup::owners(TimePoint now) const
{
    std::vector<std::string> living;
    for (const auto &[member, end] : this->until) {
        if (end >= now) {
            living.push_back(member);
        }
    }
    std::vector<std::string> owners;
    for (std::size_t part = 0; part < partitions && !living.empty(); ++part) {
        owners.push_back(living[part % living.size()]);
    }
    return owners;
}

} // namespace flamingosaddle::standins
