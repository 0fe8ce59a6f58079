#pragma once

#include <cstdint>
#include <limits>
#include <vector>

namespace flamingosaddle
{

using ClassIndex = std::uint32_t;

/**
 * The reserved floors of the request classes of one target (a model or a plain service).
 *
 * The rule: each start of a request on the target earns every class with a floor `f` a credit of
 * `f' = f * min(1, maxReserved / F)`, where F is the sum of the floors of the target's classes; a credit is never above
 * 1. A class whose credit is 1 and that has a waiting request which can be placed is due: the next free slot goes to
 * the class that has been due longest, ahead of the order of tiers. Each start of a request of the class, due or not,
 * takes 1 off its credit, down to 0.
 *
 * So a class with waiting work that can be placed is served at least once in period() starts, and the classes together
 * take at most maxReserved of the starts out of turn. A floor only takes a slot that has become free: it ends no
 * running request, and it plays no part in who is refused or evicted, so that no higher tier is shed for it.
 */
class FloorCredits
{
public:
    static constexpr double maxReserved = 0.5; ///< fraction of the starts
    static constexpr ClassIndex none = std::numeric_limits<ClassIndex>::max();

    // Commands.

    /** Gives @p requestClass a floor; nothing happens when it has one. */
    void addClass(ClassIndex requestClass, double floorShare);

    /** A request of @p requestClass was started on the target. */
    void noteStart(ClassIndex requestClass);

    // Queries.

    /** The class that has been due longest among those for which @p canStart answers true; none without one. */
    template <typename Predicate>
    ClassIndex due(const Predicate &canStart) const
    {
        const Floor *oldest = nullptr;
        for (const Floor &floor : this->floors) {
            if (floor.credit >= 1.0 && (oldest == nullptr || floor.dueSince < oldest->dueSince) && canStart(floor.requestClass)) {
                oldest = &floor;
            }
        }
        return oldest == nullptr ? none : oldest->requestClass;
    }

    /** Starts on the target among which at least one is of @p requestClass while it waits; 0 without a floor. */
    std::uint64_t period(ClassIndex requestClass) const;

private:
    struct Floor {
        ClassIndex requestClass = none;
        double share = 0.0;
        double credit = 1.0;
        std::uint64_t dueSince = 0; // count of starts when the credit became full
    };

    double scale() const;

    std::vector<Floor> floors;
    double total = 0.0;
    std::uint64_t starts = 0;
};

} // namespace flamingosaddle
