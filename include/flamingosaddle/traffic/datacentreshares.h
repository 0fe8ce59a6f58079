#pragma once

#include <flamingosaddle/base/clock.h>

namespace flamingosaddle
{

/**
 * The usable servers of a data centre for one target, as one instance knows them.
 */
struct DataCentreLoad {
    double slots = 0.0; ///< taken slots and those that this instance may use
    double inFlight = 0.0; ///< requests of all instances
    double firstByteSeconds = 0.0; ///< mean measured time to the first byte; 0 if unknown

    friend bool operator==(const DataCentreLoad &, const DataCentreLoad &) = default;
};

/**
 * Decides which share of an instance's requests for one target stays with the servers of the instance's own data centre. The
 * others go to the best server anywhere. It is used for requests whose servers work on each request alone, so that any free slot
 * is as good as another.
 *
 * All stay until the requests that run there come within two standard deviations of the slots. From there on, a growing share is
 * free to leave. All instances of a data centre see the same load after a delay, so the load is averaged over a time longer than
 * that delay, and each instance draws by its own random numbers. A small share is always free to leave, to compare the own
 * servers with others.
 */
class DataCentreShares
{
public:
    static constexpr Duration updateInterval = std::chrono::milliseconds(100);
    /** Time constant of the averaged load, longer than reports and requests lag, so that the share does not oscillate. */
    static constexpr Duration timeConstant = std::chrono::seconds(2);
    static constexpr double probeShare = 1.0 / 16; ///< minimum share that may leave, and that stays if the own servers are slow
    static constexpr double slowRatio = 2.0; ///< ratio to the first-byte times elsewhere from which the own servers are avoided

    // Commands.

    /** Records the load of the own servers and of all others together. */
    void update(const DataCentreLoad &own, const DataCentreLoad &others, TimePoint now);

    // Queries.

    bool isDue(TimePoint now) const;

    /** Returns the share of requests that stay. */
    double stayingShare() const
    {
        return this->staying;
    }

    /** Returns how many requests may run on @p slots before one more is likely to find them all taken. */
    static double comfortableLoad(double slots);

private:
    double shareFor(const DataCentreLoad &own, const DataCentreLoad &others) const;

    double slots = 0.0; // averaged
    double inFlight = 0.0; // averaged
    double staying = 1.0;
    bool isUpdated = false;
    TimePoint updatedAt;
};

} // namespace flamingosaddle
