#pragma once

#include <flamingosaddle/base/memoryaccount.h>
#include <flamingosaddle/base/timer.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace flamingosaddle
{

/**
 * Holds memory that a MemoryGuard accounts for. Its functions are called on any thread and must not call the guard.
 */
class MemoryHolder
{
public:
    virtual ~MemoryHolder() = default;
    /** The bytes that @p holder has asked for are granted. */
    virtual void onMemoryGranted(MemoryAccount::HolderId holder) = 0;
    /** @p holder has to give up its bytes. */
    virtual void onMemoryRefused(MemoryAccount::HolderId holder, MemoryRefusal reason) = 0;
};

/**
 * The MemoryAccount that all listeners of a process share. Wakes paused holders when there is room, reviews the account while
 * memory is short, and gives freed memory back to the system after a crowd. Thread-safe; small holders need not use it at all.
 */
class MemoryGuard : public std::enable_shared_from_this<MemoryGuard>
{
public:
    using RefusalHook
        = std::function<void(MemoryOwner owner, const std::string &address, std::size_t bytes, MemoryRefusal reason)>;

    /** @param context runs the reviews; outlives the guard's use @param onRefusal called on any thread */
    MemoryGuard(const MemoryLimits &limits, boost::asio::io_context &context, RefusalHook onRefusal);

    // Commands.
    void addConnection();
    void removeConnection();
    MemoryAccount::HolderId open(MemoryOwner owner, const std::string &address, std::weak_ptr<MemoryHolder> holder);
    void identify(MemoryAccount::HolderId holder, const std::string &clientAccount);
    /** Asks for @p bytes in total; when they are not granted now, the holder is told once they are, or that it is refused. */
    bool grow(MemoryAccount::HolderId holder, std::size_t bytes);
    void set(MemoryAccount::HolderId holder, std::size_t bytes);
    void beginPhase(MemoryAccount::HolderId holder, MemoryAccount::Phase phase);
    void close(MemoryAccount::HolderId holder);

    // Queries.
    bool isShort() const;
    std::size_t heldBytes() const;
    std::size_t heldBytes(MemoryOwner owner) const;
    std::size_t pausedCount() const;
    MemoryLimits limits() const;

private:
    struct Entry {
        MemoryOwner owner = MemoryOwner::Callers;
        std::string address;
        std::weak_ptr<MemoryHolder> holder;
    };

    void wakeGranted();
    void scheduleReview(); // with the mutex held
    void review();
    void trim();

    boost::asio::io_context &context;
    RefusalHook onRefusal;
    mutable std::mutex mutex; // guards the members below
    MemoryAccount account;
    std::unordered_map<MemoryAccount::HolderId, Entry> entries;
    Timer reviewTimer; // used on the context's thread only
    bool isReviewScheduled = false;
    std::size_t peakBytes = 0; // since memory was given back last
    TimePoint trimmedAt;
};

} // namespace flamingosaddle
