#include "allocationcounter.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace
{

std::atomic<std::uint64_t> allocations{0};

} // namespace

namespace flamingosaddle::simulation
{

std::uint64_t allocationCount()
{
    return allocations.load();
}

} // namespace flamingosaddle::simulation

void *operator new(std::size_t size)
{
    ++allocations;
    void *memory = std::malloc(size == 0 ? 1 : size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    return memory;
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}
