#include <flamingosaddle/base/memoryguard.h>

#include <boost/asio/post.hpp>

#include <malloc.h>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace asio = boost::asio;

namespace
{

constexpr Duration reviewInterval = std::chrono::milliseconds(100);
constexpr Duration calmInterval = std::chrono::seconds(1); // when only memory has to be given back
// What the allocator keeps is given back after so much was held and only a part of it still is.
constexpr std::size_t trimBytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t trimPart = 2;
constexpr Duration trimInterval = std::chrono::seconds(5);

} // namespace

MemoryGuard::MemoryGuard(const MemoryLimits &limits, asio::io_context &context, RefusalHook onRefusal)
    : context(context)
    , onRefusal(std::move(onRefusal))
    , account(limits)
    , reviewTimer(context)
{
}

void MemoryGuard::addConnection()
{
    const std::scoped_lock lock(this->mutex);
    this->account.addConnection();
    this->peakBytes = std::max(this->peakBytes, this->account.heldBytes());
    if (this->peakBytes >= trimBytes) {
        this->scheduleReview();
    }
}

void MemoryGuard::removeConnection()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->account.removeConnection();
    }
    this->wakeGranted();
}

MemoryAccount::HolderId MemoryGuard::open(MemoryOwner owner, const std::string &address, std::weak_ptr<MemoryHolder> holder)
{
    const std::scoped_lock lock(this->mutex);
    const MemoryAccount::HolderId id = this->account.open(owner, address, RuntimeClock::now());
    this->entries.emplace(id, Entry{owner, address, std::move(holder)});
    return id;
}

void MemoryGuard::identify(MemoryAccount::HolderId holder, const std::string &clientAccount)
{
    const std::scoped_lock lock(this->mutex);
    this->account.identify(holder, clientAccount);
}

bool MemoryGuard::grow(MemoryAccount::HolderId holder, std::size_t bytes)
{
    bool isGranted = false;
    {
        const std::scoped_lock lock(this->mutex);
        isGranted = this->account.grow(holder, bytes, RuntimeClock::now());
        this->peakBytes = std::max(this->peakBytes, this->account.heldBytes());
        if (!isGranted || this->peakBytes >= trimBytes) {
            this->scheduleReview();
        }
    }
    if (!isGranted) {
        // The first that pauses may go on beyond the budget.
        this->wakeGranted();
    }
    return isGranted;
}

void MemoryGuard::set(MemoryAccount::HolderId holder, std::size_t bytes)
{
    {
        const std::scoped_lock lock(this->mutex);
        this->account.set(holder, bytes);
        this->peakBytes = std::max(this->peakBytes, this->account.heldBytes());
        if (this->peakBytes >= trimBytes) {
            this->scheduleReview();
        }
    }
    this->wakeGranted();
}

void MemoryGuard::beginPhase(MemoryAccount::HolderId holder, MemoryAccount::Phase phase)
{
    {
        const std::scoped_lock lock(this->mutex);
        this->account.beginPhase(holder, phase, RuntimeClock::now());
    }
    this->wakeGranted();
}

void MemoryGuard::close(MemoryAccount::HolderId holder)
{
    {
        const std::scoped_lock lock(this->mutex);
        this->account.close(holder);
        this->entries.erase(holder);
    }
    this->wakeGranted();
}

void MemoryGuard::wakeGranted()
{
    std::vector<std::pair<MemoryAccount::HolderId, std::weak_ptr<MemoryHolder>>> granted;
    {
        const std::scoped_lock lock(this->mutex);
        // At the end of the process, nothing may be posted to contexts whose handlers are being destroyed.
        if (this->account.pausedCount() == 0 || this->context.stopped()) {
            return;
        }
        for (const MemoryAccount::HolderId id : this->account.takeGranted(RuntimeClock::now())) {
            granted.emplace_back(id, this->entries.at(id).holder);
        }
    }
    for (const auto &[id, weak] : granted) {
        if (const std::shared_ptr<MemoryHolder> holder = weak.lock()) {
            holder->onMemoryGranted(id);
        }
    }
}

void MemoryGuard::scheduleReview()
{
    if (this->isReviewScheduled || this->context.stopped()) {
        return;
    }
    this->isReviewScheduled = true;
    const Duration interval = this->account.isShort() ? reviewInterval : calmInterval;
    asio::post(this->context, [weak = this->weak_from_this(), interval] {
        const std::shared_ptr<MemoryGuard> self = weak.lock();
        if (!self) {
            return;
        }
        self->reviewTimer.expires_at(RuntimeClock::now() + interval);
        self->reviewTimer.async_wait([weak](const boost::system::error_code &error) {
            const std::shared_ptr<MemoryGuard> guard = weak.lock();
            if (!error && guard) {
                guard->review();
            }
        });
    });
}

void MemoryGuard::review()
{
    struct Refused {
        MemoryAccount::Verdict verdict;
        Entry entry;
        std::size_t bytes = 0;
    };
    std::vector<Refused> refused;
    {
        const std::scoped_lock lock(this->mutex);
        this->isReviewScheduled = false;
        for (const MemoryAccount::Verdict &verdict : this->account.review(RuntimeClock::now())) {
            refused.push_back({verdict, this->entries.at(verdict.holder), this->account.heldBytesOf(verdict.holder)});
        }
        if (this->account.pausedCount() > 0 || this->peakBytes >= trimBytes) {
            this->scheduleReview();
        }
    }
    for (const Refused &one : refused) {
        if (const std::shared_ptr<MemoryHolder> holder = one.entry.holder.lock()) {
            holder->onMemoryRefused(one.verdict.holder, one.verdict.reason);
        }
        if (this->onRefusal) {
            this->onRefusal(one.entry.owner, one.entry.address, one.bytes, one.verdict.reason);
        }
    }
    this->wakeGranted();
    this->trim();
}

void MemoryGuard::trim()
{
    const TimePoint now = RuntimeClock::now();
    {
        const std::scoped_lock lock(this->mutex);
        const std::size_t held = this->account.heldBytes();
        if (this->peakBytes < trimBytes || held > this->peakBytes / trimPart || now - this->trimmedAt < trimInterval) {
            return;
        }
        this->peakBytes = held;
        this->trimmedAt = now;
    }
    ::malloc_trim(0);
}

bool MemoryGuard::isShort() const
{
    const std::scoped_lock lock(this->mutex);
    return this->account.isShort();
}

std::size_t MemoryGuard::heldBytes() const
{
    const std::scoped_lock lock(this->mutex);
    return this->account.heldBytes();
}

std::size_t MemoryGuard::heldBytes(MemoryOwner owner) const
{
    const std::scoped_lock lock(this->mutex);
    return this->account.heldBytes(owner);
}

std::size_t MemoryGuard::pausedCount() const
{
    const std::scoped_lock lock(this->mutex);
    return this->account.pausedCount();
}

MemoryLimits MemoryGuard::limits() const
{
    const std::scoped_lock lock(this->mutex);
    return this->account.limits();
}

} // namespace flamingosaddle
