#pragma once

#include "json.h"

#include <flamingosaddle/base/clock.h>

#include <deque>
#include <map>
#include <string>

namespace flamingosaddle::standins
{

/**
 * The platform's list of instances, which shows each change only after a lag.
 */
class InstanceList
{
public:
    // Commands.
    void setLag(Duration lag);
    /** Adds the instance or replaces the one of the same id. */
    void put(const Json &instance, TimePoint now);
    /** Replaces the whole list. */
    void replace(const Json &instances, TimePoint now);

    // Queries.
    Json visible(TimePoint now) const;

private:
    struct Version {
        TimePoint since;
        std::map<std::string, Json> instances;
    };

    void remember(std::map<std::string, Json> instances, TimePoint now);

    Duration lag = Duration::zero();
    std::deque<Version> versions;
};

} // namespace flamingosaddle::standins
