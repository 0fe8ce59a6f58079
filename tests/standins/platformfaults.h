#pragma once

#include "json.h"

#include <chrono>
#include <map>
#include <string>

namespace flamingosaddle::standins
{

/**
 * Faults of one interface of the platform.
 */
struct InterfaceFaults {
    bool down = false; ///< closes each connection without carrying anything out
    std::chrono::milliseconds delay{0}; ///< before the call is carried out
    unsigned loseAnswers = 0; ///< for how many more changes the action takes effect but the answer is lost

    friend bool operator==(const InterfaceFaults &, const InterfaceFaults &) = default;
};

/**
 * The interfaces `log`, `orders`, `usage` and `instances` with their faults.
 */
class PlatformFaults
{
public:
    // Commands.
    /** Sets the named fields and leaves the others alone. */
    void set(const Json &faults);
    /** Uses up one lost answer of the interface; answers whether there was one. */
    bool takeLostAnswer(const std::string &interface);

    // Queries.
    const InterfaceFaults &of(const std::string &interface) const;

private:
    std::map<std::string, InterfaceFaults> interfaces{{"log", {}}, {"orders", {}}, {"usage", {}}, {"instances", {}}};
};

} // namespace flamingosaddle::standins
