#include <flamingosaddle/base/memoryaccount.h>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace
{

// Of the budget, beyond which only small holders grow.
constexpr std::size_t largePartNumerator = 3;
constexpr std::size_t largePartDenominator = 4;
// Of the budget, that one review frees at most.
constexpr std::size_t reviewPart = 8;

void addShare(std::map<std::string, std::size_t> &shares, const std::string &name, std::size_t before, std::size_t after)
{
    if (name.empty()) {
        return;
    }
    const auto found = shares.try_emplace(name, 0).first;
    found->second += after;
    found->second -= before;
    if (found->second == 0) {
        shares.erase(found);
    }
}

} // namespace

std::string_view toString(MemoryOwner owner)
{
    switch (owner) {
    case MemoryOwner::Callers:
        return "callers";
    case MemoryOwner::Forwarded:
        return "forwarded";
    case MemoryOwner::Operators:
        return "operators";
    case MemoryOwner::Readiness:
        return "readiness";
    case MemoryOwner::Instances:
        return "instances";
    }
    return "callers";
}

std::string_view toString(MemoryRefusal refusal)
{
    switch (refusal) {
    case MemoryRefusal::SentTooSlowly:
        return "sent too slowly";
    case MemoryRefusal::ReadTooSlowly:
        return "read too slowly";
    case MemoryRefusal::NoRoom:
        return "no room";
    }
    return "no room";
}

MemoryAccount::MemoryAccount(const MemoryLimits &limits)
    : accountLimits(limits)
{
}

void MemoryAccount::addConnection()
{
    ++this->connections;
}

void MemoryAccount::removeConnection()
{
    --this->connections;
}

MemoryAccount::HolderId MemoryAccount::open(MemoryOwner owner, const std::string &address, TimePoint now)
{
    Holder holder;
    holder.owner = owner;
    holder.address = address;
    holder.movedAt = now;
    this->holders.emplace(++this->lastId, std::move(holder));
    return this->lastId;
}

void MemoryAccount::identify(HolderId id, const std::string &clientAccount)
{
    const auto found = this->holders.find(id);
    if (found == this->holders.end()) {
        return;
    }
    Holder &holder = found->second;
    addShare(this->bytesByClientAccount, holder.clientAccount, holder.bytes, 0);
    holder.clientAccount = clientAccount;
    addShare(this->bytesByClientAccount, holder.clientAccount, 0, holder.bytes);
}

bool MemoryAccount::holdsHalf(const std::map<std::string, std::size_t> &shares, const std::string &name, std::size_t more) const
{
    // Where all callers come from one address, there is nobody else to leave room for.
    const auto found = shares.find(name);
    return shares.size() > 1 && found != shares.end() && found->second + more > this->accountLimits.budgetBytes / 2;
}

std::size_t MemoryAccount::reservedBytes() const
{
    const auto found = this->privileged.has_value() ? this->holders.find(*this->privileged) : this->holders.end();
    return found == this->holders.end() ? 0 : std::min(found->second.bytes, this->accountLimits.reserveBytes);
}

bool MemoryAccount::hasRoom(const Holder &holder, std::size_t bytes, bool isPrivileged) const
{
    const std::size_t more = bytes - holder.bytes;
    const std::size_t budget = this->accountLimits.budgetBytes;
    // What the privileged holder has of the reserve is not missing in the budget.
    const std::size_t others = isPrivileged ? this->accountLimits.reserveBytes : this->reservedBytes();
    const std::size_t after = this->heldBytes() + more;
    if (bytes <= this->accountLimits.smallHolderBytes) {
        return after <= budget + others;
    }
    const bool isDominant = holdsHalf(this->bytesByAddress, holder.address, more)
        || holdsHalf(this->bytesByClientAccount, holder.clientAccount, more);
    const std::size_t part = isDominant ? budget / 2 : budget * largePartNumerator / largePartDenominator;
    return after <= (isPrivileged ? budget * largePartNumerator / largePartDenominator : part) + others;
}

void MemoryAccount::assign(Holder &holder, std::size_t bytes)
{
    addShare(this->bytesByAddress, holder.address, holder.bytes, bytes);
    addShare(this->bytesByClientAccount, holder.clientAccount, holder.bytes, bytes);
    std::size_t &owner = this->bytesByOwner[static_cast<std::size_t>(holder.owner)];
    owner = owner - holder.bytes + bytes;
    this->used = this->used - holder.bytes + bytes;
    holder.bytes = bytes;
}

bool MemoryAccount::grow(HolderId id, std::size_t bytes, TimePoint now)
{
    const auto found = this->holders.find(id);
    if (found == this->holders.end() || found->second.isCondemned) {
        return false;
    }
    Holder &holder = found->second;
    if (holder.isPaused) {
        holder.demandBytes = bytes;
        return false;
    }
    if (bytes <= holder.bytes || this->hasRoom(holder, bytes, this->privileged == id)) {
        this->assign(holder, bytes);
        holder.movedAt = now;
        return true;
    }
    holder.isPaused = true;
    holder.pausedAt = now;
    holder.demandBytes = bytes;
    // Who came first is finished first: if all had a part of what is free, none would get on.
    this->paused.insert(std::lower_bound(this->paused.begin(), this->paused.end(), id), id);
    return false;
}

void MemoryAccount::set(HolderId id, std::size_t bytes)
{
    const auto found = this->holders.find(id);
    if (found != this->holders.end()) {
        this->assign(found->second, bytes);
    }
}

void MemoryAccount::beginPhase(HolderId id, Phase phase, TimePoint now)
{
    const auto found = this->holders.find(id);
    if (found == this->holders.end()) {
        return;
    }
    found->second.phase = phase;
    found->second.movedAt = now;
    // It was chosen for what it was in before; by now it may be a request that was read whole.
    found->second.isCondemned = false;
    if (phase != Phase::Receiving && this->privileged == id) {
        this->privileged.reset();
    }
}

void MemoryAccount::unpause(HolderId id, Holder &holder)
{
    holder.isPaused = false;
    this->paused.remove(id);
}

void MemoryAccount::close(HolderId id)
{
    const auto found = this->holders.find(id);
    if (found == this->holders.end()) {
        return;
    }
    this->assign(found->second, 0);
    if (found->second.isPaused) {
        this->unpause(id, found->second);
    }
    if (this->privileged == id) {
        this->privileged.reset();
    }
    this->holders.erase(found);
}

std::vector<MemoryAccount::HolderId> MemoryAccount::takeGranted(TimePoint now)
{
    std::vector<HolderId> granted;
    const auto grant = [&](HolderId id, Holder &holder) {
        holder.isPaused = false;
        this->assign(holder, holder.demandBytes);
        holder.movedAt = now;
        granted.push_back(id);
    };
    for (auto next = this->paused.begin(); next != this->paused.end();) {
        const HolderId id = *next;
        Holder &holder = this->holders.at(id);
        if (this->hasRoom(holder, holder.demandBytes, this->privileged == id)) {
            grant(id, holder);
            next = this->paused.erase(next);
        } else {
            ++next;
        }
    }
    const auto next = std::find_if(this->paused.begin(), this->paused.end(), [this](HolderId id) {
        const Holder &holder = this->holders.at(id);
        return this->hasRoom(holder, holder.demandBytes, true);
    });
    if (!this->privileged.has_value() && next != this->paused.end()) {
        this->privileged = *next;
        grant(*next, this->holders.at(*next));
        this->paused.erase(next);
    }
    return granted;
}

std::size_t MemoryAccount::neededBytes() const
{
    const std::size_t held = this->heldBytes();
    std::size_t needed = held > this->accountLimits.budgetBytes ? held - this->accountLimits.budgetBytes : 0;
    for (const HolderId id : this->paused) {
        const Holder &holder = this->holders.at(id);
        needed += holder.demandBytes - holder.bytes;
    }
    return needed;
}

void MemoryAccount::condemnStalled(
    Phase phase, Duration patience, MemoryRefusal reason, TimePoint now, std::vector<Verdict> &verdicts)
{
    struct Candidate {
        double score = 0;
        HolderId id = 0;
    };
    std::vector<Candidate> candidates;
    std::size_t leaving = 0;
    for (auto &[id, holder] : this->holders) {
        leaving += holder.isCondemned ? holder.bytes : 0;
        const Duration stalled = now - holder.movedAt;
        if (holder.phase == phase && !holder.isPaused && !holder.isCondemned && holder.bytes > 0 && stalled >= patience) {
            const double seconds = std::chrono::duration<double>(stalled).count();
            candidates.push_back({static_cast<double>(holder.bytes) * seconds, id});
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        return left.score > right.score;
    });
    const std::size_t wanted = std::min(this->neededBytes(), this->accountLimits.budgetBytes / reviewPart + 1);
    for (const Candidate &candidate : candidates) {
        if (leaving >= wanted) {
            return;
        }
        Holder &holder = this->holders.at(candidate.id);
        holder.isCondemned = true;
        leaving += holder.bytes;
        verdicts.push_back({candidate.id, reason});
    }
}

std::vector<MemoryAccount::Verdict> MemoryAccount::review(TimePoint now)
{
    std::vector<Verdict> verdicts;
    if (this->neededBytes() == 0) {
        return verdicts;
    }
    this->condemnStalled(Phase::Receiving, this->accountLimits.patience, MemoryRefusal::SentTooSlowly, now, verdicts);
    if (verdicts.empty()) {
        this->condemnStalled(Phase::Answering, this->accountLimits.answerPatience, MemoryRefusal::ReadTooSlowly, now, verdicts);
    }
    // Nobody is held up for long: who has no room by now is told so, while it can go elsewhere.
    for (auto next = this->paused.begin(); next != this->paused.end();) {
        Holder &holder = this->holders.at(*next);
        if (now - holder.pausedAt < this->accountLimits.pauseLimit) {
            ++next;
            continue;
        }
        holder.isPaused = false;
        holder.isCondemned = true;
        verdicts.push_back({*next, MemoryRefusal::NoRoom});
        next = this->paused.erase(next);
    }
    return verdicts;
}

std::size_t MemoryAccount::heldBytes() const
{
    return this->used + this->connections * this->accountLimits.connectionBytes;
}

std::size_t MemoryAccount::heldBytes(MemoryOwner owner) const
{
    return this->bytesByOwner[static_cast<std::size_t>(owner)];
}

std::size_t MemoryAccount::heldBytesOf(HolderId id) const
{
    const auto found = this->holders.find(id);
    return found == this->holders.end() ? 0 : found->second.bytes;
}

std::size_t MemoryAccount::pausedCount() const
{
    return this->paused.size();
}

bool MemoryAccount::isShort() const
{
    return !this->paused.empty()
        || this->heldBytes() > this->accountLimits.budgetBytes * largePartNumerator / largePartDenominator;
}

const MemoryLimits &MemoryAccount::limits() const
{
    return this->accountLimits;
}

} // namespace flamingosaddle
