#include <flamingosaddle/traffic/deadlineheap.h>

#include <limits>

namespace flamingosaddle
{

namespace
{

constexpr std::uint32_t notInHeap = std::numeric_limits<std::uint32_t>::max();

} // namespace

void DeadlineHeap::add(std::uint32_t member, TimePoint deadline)
{
    if (member >= this->positions.size()) {
        this->positions.resize(member + 1, notInHeap);
    }
    this->entries.emplace_back();
    this->siftUp(this->entries.size() - 1, Entry{deadline, member});
}

void DeadlineHeap::remove(std::uint32_t member)
{
    if (member >= this->positions.size() || this->positions[member] == notInHeap) {
        return;
    }
    const std::size_t position = this->positions[member];
    const Entry last = this->entries.back();
    this->positions[member] = notInHeap;
    this->entries.pop_back();
    if (position == this->entries.size()) {
        return;
    }
    if (position > 0 && last.deadline < this->entries[(position - 1) / 2].deadline) {
        this->siftUp(position, last);
    } else {
        this->siftDown(position, last);
    }
}

void DeadlineHeap::store(std::size_t position, const Entry &entry)
{
    this->entries[position] = entry;
    this->positions[entry.member] = static_cast<std::uint32_t>(position);
}

void DeadlineHeap::siftUp(std::size_t position, const Entry &entry)
{
    while (position > 0) {
        const std::size_t parent = (position - 1) / 2;
        if (this->entries[parent].deadline <= entry.deadline) {
            break;
        }
        this->store(position, this->entries[parent]);
        position = parent;
    }
    this->store(position, entry);
}

void DeadlineHeap::siftDown(std::size_t position, const Entry &entry)
{
    while (true) {
        std::size_t child = 2 * position + 1;
        if (child >= this->entries.size()) {
            break;
        }
        if (child + 1 < this->entries.size() && this->entries[child + 1].deadline < this->entries[child].deadline) {
            ++child;
        }
        if (entry.deadline <= this->entries[child].deadline) {
            break;
        }
        this->store(position, this->entries[child]);
        position = child;
    }
    this->store(position, entry);
}

} // namespace flamingosaddle
