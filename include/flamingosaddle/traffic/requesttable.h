#pragma once

#include <flamingosaddle/traffic/fairqueue.h>
#include <flamingosaddle/traffic/promptplacement.h>
#include <flamingosaddle/traffic/serverpool.h>
#include <flamingosaddle/traffic/types.h>

#include <cstdint>
#include <vector>

namespace flamingosaddle
{

/**
 * Dispatcher state of a request from its admission to its end.
 */
struct RequestRecord {
    QueueEntry entry; ///< queue entry, kept while the request runs
    ShareIndex share = 0;
    TimePoint deadline;
    std::uint64_t prefixHash = 0;
    std::uint64_t fingerprint = 0;
    std::vector<std::uint64_t> promptParts; ///< see RequestProfile
    std::uint32_t promptTokens = 0;
    PromptRequest prompt; ///< without tokens if the length of the prompt is unknown
    Homes homes; ///< see RequestProfile
    bool idempotent = true;
    std::uint32_t maxAttempts = 0;
    std::uint32_t attempts = 0; ///< attempts that a server may have seen
    std::uint32_t unsentAttempts = 0; ///< attempts that no server saw
    std::string softwareVersion; ///< version that a retry requires; empty if any
    TargetIndex serviceTarget = 0; ///< target of the service; that of the entry may be the one for long prompts
    bool parked = false; ///< true for a suspect held outside the queue until another run of it ends
    bool wasSent = false; ///< whether a backend server may have seen the request
    bool wasReached = false; ///< whether a backend server has seen the request, also if it rejected it
    bool isForwarded = false; ///< whether another instance forwarded it to this one
    ServerIndex failedServer = noServer; ///< server of the last attempt
    // State of the current attempt.
    ServerIndex server = noServer;
    TimePoint startedAt;
    TimePoint lastTokenAt;
    bool firstTokenSeen = false;
    bool suspect = false; ///< counted by the quarantine as a run of a suspect
    std::uint64_t tokens = 0; ///< response tokens so far
    double reservedTokens = 0.0; ///< tokens charged in advance and not yet used
    double outstandingTokens = 0.0; ///< tokens counted as pending work of the server
    PrefillWork prefill; ///< prefill work at the start of the attempt

    bool isPromptKnown() const
    {
        return this->prompt.outputTokens > 0;
    }

    bool isRunning() const
    {
        return this->server != noServer;
    }
};

/**
 * Stores records by dense index. A ticket combines the index with a generation, so that a ticket of an ended request never refers
 * to a later request at the same index.
 */
class RequestTable
{
public:
    // Commands.

    RequestIndex add()
    {
        if (this->unused.empty()) {
            this->slots.emplace_back();
            this->unused.reserve(this->slots.capacity());
            this->unused.push_back(static_cast<RequestIndex>(this->slots.size() - 1));
        }
        const RequestIndex index = this->unused.back();
        this->unused.pop_back();
        this->slots[index].used = true;
        this->slots[index].record = RequestRecord();
        ++this->count;
        return index;
    }

    void remove(RequestIndex index)
    {
        this->slots[index].used = false;
        ++this->slots[index].generation;
        this->unused.push_back(index);
        --this->count;
    }

    RequestRecord &record(RequestIndex index)
    {
        return this->slots[index].record;
    }

    // Queries.

    Ticket ticket(RequestIndex index) const
    {
        return Ticket{(static_cast<std::uint64_t>(this->slots[index].generation) << 32) | index};
    }

    std::optional<RequestIndex> find(Ticket ticket) const
    {
        const auto index = static_cast<RequestIndex>(ticket);
        const bool known = index < this->slots.size() && this->slots[index].used && this->ticket(index) == ticket;
        return known ? std::optional(index) : std::nullopt;
    }

    /** Returns the requests that wait for a server. */
    std::vector<RequestIndex> waiting() const
    {
        std::vector<RequestIndex> found;
        for (RequestIndex index = 0; index < this->slots.size(); ++index) {
            if (this->slots[index].used && !this->slots[index].record.isRunning()) {
                found.push_back(index);
            }
        }
        return found;
    }

    std::size_t size() const
    {
        return this->count;
    }

private:
    struct Slot {
        RequestRecord record;
        std::uint32_t generation = 1;
        bool used = false;
    };

    std::vector<Slot> slots;
    std::vector<RequestIndex> unused;
    std::size_t count = 0;
};

} // namespace flamingosaddle
