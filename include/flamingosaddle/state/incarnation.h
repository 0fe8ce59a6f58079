#pragma once

#include <flamingosaddle/base/id.h>

#include <compare>
#include <cstdint>
#include <string>

namespace flamingosaddle
{

/**
 * One run of an instance's process. A restarted process, or another process on the same address, is a new incarnation.
 */
struct Incarnation {
    InstanceId instance;
    std::uint64_t number = 0; ///< wall-clock time of the start, in Unix milliseconds; grows with each start

    std::string text() const
    {
        return this->instance.text() + "#" + std::to_string(this->number);
    }

    friend auto operator<=>(const Incarnation &, const Incarnation &) = default;
};

/**
 * Identifies a record in the log. All attempts to append the record use the same id.
 */
struct RecordId {
    Incarnation writer;
    std::uint64_t sequence = 0; ///< number of the record among those of the writer

    friend auto operator<=>(const RecordId &, const RecordId &) = default;
};

} // namespace flamingosaddle
