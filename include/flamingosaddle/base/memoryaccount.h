#pragma once

#include <flamingosaddle/base/clock.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingosaddle
{

/**
 * The address at which a holder's connection was accepted.
 */
enum class MemoryOwner {
    Callers,
    Forwarded, ///< requests that other instances forward
    Operators,
    Readiness,
    Instances, ///< frames of other instances
};

inline constexpr std::size_t memoryOwnerCount = 5;

std::string_view toString(MemoryOwner owner);

/**
 * Limits of a MemoryAccount.
 */
struct MemoryLimits {
    std::size_t budgetBytes = std::size_t{128} * 1024 * 1024; ///< of all holders and connections together
    /** Beyond the budget, for one holder at a time, so that one largest request can always be read whole. */
    std::size_t reserveBytes = std::size_t{16} * 1024 * 1024;
    std::size_t smallHolderBytes = std::size_t{256} * 1024; ///< up to which a holder may use the last quarter of the budget
    std::size_t connectionBytes = std::size_t{24} * 1024; ///< that each open connection counts for
    Duration patience = std::chrono::milliseconds(500); ///< without movement, before a request may be refused
    Duration answerPatience = std::chrono::seconds(2); ///< without movement, before the reader of an answer may be cut off
    Duration pauseLimit = std::chrono::seconds(5); ///< that reading of one request is paused at most

    friend bool operator==(const MemoryLimits &, const MemoryLimits &) = default;
};

/**
 * Why a holder has to give up what it holds.
 */
enum class MemoryRefusal {
    SentTooSlowly, ///< the request stopped coming while memory was short
    ReadTooSlowly, ///< the answer was not read while memory was short
    NoRoom, ///< reading was paused for the longest time allowed
};

std::string_view toString(MemoryRefusal refusal);

/**
 * The account of the bytes that a daemon holds for others: who holds how much, who may hold more, whose reading pauses and who is
 * refused when the budget is used up. Decides only; it takes the time as an argument, holds no memory itself and has no thread.
 *
 * Reading pauses first. Of those who pause, one at a time may go on beyond the budget, so that some request is always read whole.
 * While anybody pauses, those who hold most for longest without moving are refused. A request that was read whole is never
 * refused here; the reader of its answer is cut off only after those whose requests have stopped.
 */
class MemoryAccount
{
public:
    using HolderId = std::uint64_t;

    /** What a holder does, which decides whether it may be refused. */
    enum class Phase {
        Receiving, ///< a request is being read
        Owed, ///< a request was read whole and has no answer yet
        Answering, ///< an answer waits to be read
    };

    struct Verdict {
        HolderId holder = 0;
        MemoryRefusal reason = MemoryRefusal::NoRoom;

        friend bool operator==(const Verdict &, const Verdict &) = default;
    };

    explicit MemoryAccount(const MemoryLimits &limits);

    // Commands.
    void addConnection();
    void removeConnection();
    /** Opens a holder without bytes. @param address of the other side */
    HolderId open(MemoryOwner owner, const std::string &address, TimePoint now);
    /** Names the client account of a holder's request. */
    void identify(HolderId holder, const std::string &clientAccount);
    /**
     * Asks for @p bytes in total. Returns whether they are granted; otherwise the holder pauses until it is among those of
     * takeGranted() or review().
     */
    bool grow(HolderId holder, std::size_t bytes, TimePoint now);
    /** Records that the holder has @p bytes in total, whatever the budget. */
    void set(HolderId holder, std::size_t bytes);
    /** Begins a phase, which counts as movement. */
    void beginPhase(HolderId holder, Phase phase, TimePoint now);
    /** Closes the holder, whose bytes are free. Does nothing for a holder that is closed. */
    void close(HolderId holder);
    /** Grants what paused holders have asked for, in the order in which they were opened, as far as there is room. */
    std::vector<HolderId> takeGranted(TimePoint now);
    /** Chooses the holders that have to give up what they hold; each is named once. Their bytes count until they are closed. */
    std::vector<Verdict> review(TimePoint now);

    // Queries.
    std::size_t heldBytes() const; ///< of all holders and connections
    std::size_t heldBytes(MemoryOwner owner) const;
    std::size_t heldBytesOf(HolderId holder) const; ///< 0 for a holder that is closed
    std::size_t pausedCount() const;
    bool isShort() const; ///< whether any holder pauses, or the last quarter of the budget is in use
    const MemoryLimits &limits() const;

private:
    struct Holder {
        MemoryOwner owner = MemoryOwner::Callers;
        std::string address;
        std::string clientAccount;
        Phase phase = Phase::Receiving;
        std::size_t bytes = 0;
        std::size_t demandBytes = 0; // in total, while it pauses
        TimePoint movedAt;
        TimePoint pausedAt;
        bool isPaused = false;
        bool isCondemned = false;
    };

    using Holders = std::map<HolderId, Holder>;

    std::size_t reservedBytes() const;
    bool hasRoom(const Holder &holder, std::size_t bytes, bool isPrivileged) const;
    bool holdsHalf(const std::map<std::string, std::size_t> &shares, const std::string &name, std::size_t more) const;
    void assign(Holder &holder, std::size_t bytes);
    void unpause(HolderId id, Holder &holder);
    void condemnStalled(Phase phase, Duration patience, MemoryRefusal reason, TimePoint now, std::vector<Verdict> &verdicts);
    std::size_t neededBytes() const;

    MemoryLimits accountLimits;
    Holders holders;
    std::list<HolderId> paused; // in the order in which they were opened
    std::optional<HolderId> privileged; // may go beyond the budget
    std::map<std::string, std::size_t> bytesByAddress;
    std::map<std::string, std::size_t> bytesByClientAccount;
    std::array<std::size_t, memoryOwnerCount> bytesByOwner{};
    std::size_t connections = 0;
    std::size_t used = 0; // by holders
    HolderId lastId = 0;
};

} // namespace flamingosaddle
