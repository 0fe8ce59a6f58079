#pragma once

#include <flamingosaddle/base/id.h>

#include <compare>
#include <cstdint>
#include <string>

namespace flamingosaddle
{

/**
 * One run of an instance's process. A restarted process, and another one on the same address, is another incarnation.
 */
struct Incarnation {
    InstanceId instance;
    std::uint64_t number = 0; ///< grows with each start of the instance: milliseconds of wall time at the start

    std::string text() const
    {
        return this->instance.text() + "#" + std::to_string(this->number);
    }

    friend auto operator<=>(const Incarnation &, const Incarnation &) = default;
};

/**
 * Names a record in the log, in every repetition of its append.
 */
struct RecordId {
    Incarnation writer;
    std::uint64_t sequence = 0; ///< counts the records of the writer

    friend auto operator<=>(const RecordId &, const RecordId &) = default;
};

} // namespace flamingosaddle
