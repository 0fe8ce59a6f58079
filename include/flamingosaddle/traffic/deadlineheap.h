#pragma once

#include <flamingosaddle/base/clock.h>

#include <cstdint>
#include <vector>

namespace flamingosaddle
{

/**
 * Indexed binary min-heap of the deadlines of waiting requests. Members are small dense indices. Insertion and removal take
 * logarithmic time and allocate only when the largest index grows.
 */
class DeadlineHeap
{
public:
    // Commands.

    /** Adds @p member, which must not be in the heap. */
    void add(std::uint32_t member, TimePoint deadline);

    /** Removes @p member if it is in the heap. */
    void remove(std::uint32_t member);

    // Queries.

    bool isEmpty() const
    {
        return this->entries.empty();
    }

    /** Returns the member with the earliest deadline. The heap must not be empty. */
    std::uint32_t earliestMember() const
    {
        return this->entries.front().member;
    }

    TimePoint earliestDeadline() const
    {
        return this->entries.front().deadline;
    }

private:
    struct Entry {
        TimePoint deadline;
        std::uint32_t member = 0;
    };

    void store(std::size_t position, const Entry &entry);
    void siftUp(std::size_t position, const Entry &entry);
    void siftDown(std::size_t position, const Entry &entry);

    std::vector<Entry> entries;
    std::vector<std::uint32_t> positions; // heap position by member, notInHeap if absent
};

} // namespace flamingosaddle
