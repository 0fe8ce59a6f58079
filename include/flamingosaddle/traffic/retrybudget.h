#pragma once

#include <cstdint>
#include <vector>

namespace flamingosaddle
{

/**
 * Bounds the load that retries add. A client account starts with minRetries, earns a fraction of a retry with each success, and
 * holds at most maxRetries. After `s` successes it has been allowed at most `minRetries + s * fraction` retries.
 */
class RetryBudget
{
public:
    static constexpr double minRetries = 3.0;
    static constexpr double maxRetries = 100.0;

    /** @param fraction retries earned by each success, 0 to 1 */
    explicit RetryBudget(double fraction)
        : fraction(fraction)
    {
    }

    // Commands.

    void recordSuccess(std::uint32_t account)
    {
        double &credit = this->creditFor(account);
        credit = credit + this->fraction < maxRetries ? credit + this->fraction : maxRetries;
    }

    /** Takes one retry from the budget. Returns false if none is left. */
    bool tryTake(std::uint32_t account)
    {
        double &credit = this->creditFor(account);
        if (credit < 1.0) {
            return false;
        }
        credit -= 1.0;
        return true;
    }

private:
    double &creditFor(std::uint32_t account)
    {
        if (account >= this->credits.size()) {
            this->credits.resize(account + 1, minRetries);
        }
        return this->credits[account];
    }

    double fraction;
    std::vector<double> credits; // by account
};

} // namespace flamingosaddle
