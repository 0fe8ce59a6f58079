#pragma once

#include <flamingosaddle/base/clock.h>

#include <cstdint>
#include <vector>

namespace flamingosaddle
{

/**
 * The deadlines of waiting requests, earliest first. Members are small dense indices; adding and removing take
 * logarithmic time and allocate only while the largest index grows.
 */
class DeadlineHeap
{
public:
    // Commands.

    /** Adds @p member, which must not be in the heap. */
    void add(std::uint32_t member, TimePoint deadline);

    /** Takes @p member out; nothing happens when it is not in the heap. */
    void remove(std::uint32_t member);

    // Queries.

    bool isEmpty() const
    {
        return this->entries.empty();
    }

    /** The member with the earliest deadline; the heap must not be empty. */
    std::uint32_t earliestMember() const
    {
        return this->entries.front().member;
    }

    TimePoint earliest() const
    {
        return this->entries.front().deadline;
    }

private:
    struct Entry {
        TimePoint deadline;
        std::uint32_t member = 0;
    };

    void place(std::size_t position, const Entry &entry);
    void moveUp(std::size_t position, const Entry &entry);
    void moveDown(std::size_t position, const Entry &entry);

    std::vector<Entry> entries;
    std::vector<std::uint32_t> positions; // by member; notInHeap for those that are not in the heap
};

} // namespace flamingosaddle
