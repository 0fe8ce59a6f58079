#pragma once

#include <cstdint>
#include <limits>
#include <vector>

namespace flamingosaddle
{

using ClassIndex = std::uint32_t;

/**
 * Guaranteed minimum shares (floors) of the request classes of one target, a model or a plain service.
 *
 * Each start of a request on the target earns every class with a floor `f` a credit of `f' = f * min(1, maxReservedFraction /
 * F)`, where F is the sum of the floors of the target's classes. A credit never exceeds 1. A class is due when its credit is 1
 * and it has a waiting request that can be placed. The next free slot goes to the class that has been due longest, ahead of the
 * order of tiers. Each start of a request of the class, due or not, takes 1 off its credit, down to 0.
 *
 * A class with waiting requests that can be placed is thus served at least once in period() starts, and all classes together take
 * at most maxReservedFraction of the starts out of turn. A floor only takes slots that have become free. It ends no running
 * request and does not affect refusals or evictions, so no higher tier is shed for it.
 */
class FloorCredits
{
public:
    static constexpr double maxReservedFraction = 0.5; ///< fraction of the starts
    static constexpr ClassIndex noClass = std::numeric_limits<ClassIndex>::max();

    // Commands.

    /** Sets the floor of @p requestClass. Does nothing if the class already has one. */
    void addClass(ClassIndex requestClass, double floorShare);

    /** Records the start of a request of @p requestClass on the target. */
    void recordStart(ClassIndex requestClass);

    // Queries.

    /** Returns the class that has been due longest among those for which @p canStart returns true, or noClass. */
    template <typename Predicate>
    ClassIndex due(const Predicate &canStart) const
    {
        const Floor *oldest = nullptr;
        for (const Floor &floor : this->floors) {
            if (floor.credit >= 1.0 && (oldest == nullptr || floor.dueSince < oldest->dueSince) && canStart(floor.requestClass)) {
                oldest = &floor;
            }
        }
        return oldest == nullptr ? noClass : oldest->requestClass;
    }

    /**
     * Returns the number of starts on the target among which at least one is of @p requestClass while it has requests waiting, or
     * 0 without a floor.
     */
    std::uint64_t period(ClassIndex requestClass) const;

private:
    struct Floor {
        ClassIndex requestClass = noClass;
        double share = 0.0;
        double credit = 1.0;
        std::uint64_t dueSince = 0; // start count at which the credit reached 1
    };

    double scale() const;

    std::vector<Floor> floors;
    double totalShare = 0.0;
    std::uint64_t starts = 0;
};

} // namespace flamingosaddle
