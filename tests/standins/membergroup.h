#pragma once

#include "json.h"

#include <flamingosaddle/base/clock.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flamingosaddle::standins
{

/**
 * A group of the platform's store: members that told of themselves lately, with the partitions of a topic dealt out to them.
 */
class MemberGroup
{
public:
    static constexpr std::size_t partitions = 12;

    // Commands.
    /** Answers the generation, which grows with each change. */
    std::uint64_t join(const std::string &member, Duration lifetime, TimePoint now);
    void leave(const std::string &member);

    // Queries.
    /** Which member has each partition; empty without members. */
    std::vector<std::string> owners(TimePoint now) const;

private:
    std::map<std::string, TimePoint> until;
    std::uint64_t generation = 0;
};

} // namespace flamingosaddle::standins
