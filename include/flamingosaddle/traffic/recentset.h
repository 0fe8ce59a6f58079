#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_set>
#include <utility>

namespace flamingosaddle
{

/**
 * Remembers the numbers that were added last: at least @p capacity of them, at most twice as many.
 */
class RecentSet
{
public:
    explicit RecentSet(std::size_t capacity)
        : capacity(capacity)
    {
    }

    void add(std::uint64_t number)
    {
        if (this->newer.size() >= this->capacity) {
            this->older = std::exchange(this->newer, {});
        }
        this->newer.insert(number);
    }

    bool contains(std::uint64_t number) const
    {
        return this->newer.contains(number) || this->older.contains(number);
    }

private:
    std::size_t capacity;
    std::unordered_set<std::uint64_t> newer;
    std::unordered_set<std::uint64_t> older;
};

} // namespace flamingosaddle
