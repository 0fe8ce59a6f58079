#pragma once

#include <flamingosaddle/base/id.h>
#include <flamingosaddle/state/servertable.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace flamingosaddle
{

/**
 * Logs how a batch of entries changes the list of backend servers: one line for each kind of change.
 */
class ServerListLog
{
public:
    static constexpr std::size_t maxListedServers = 32; ///< names in one line

    /**
     * @param before the list before the batch is applied
     * @param isComplete whether the batch replaces the list
     */
    ServerListLog(const ServerTable &before, const std::vector<ServerChange> &batch, bool isComplete);

    /**
     * @param after the list with the batch
     * @param source where the batch comes from
     * @param nextOffset offset after the batch
     */
    void logChanges(const ServerTable &after, std::string_view source, std::uint64_t nextOffset) const;

private:
    enum class Status {
        Unknown,
        Serving,
        Leaving,
        Missing, // the entry has disappeared, the server is kept for the grace period
    };

    static Status statusOf(const ServerTable &table, const BackendServerId &server);

    std::map<BackendServerId, Status> statusBefore; // of each server that the batch can change
};

} // namespace flamingosaddle
