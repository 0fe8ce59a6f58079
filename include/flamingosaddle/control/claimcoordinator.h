#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/control/claim.h>
#include <flamingosaddle/control/logappender.h>
#include <flamingosaddle/control/logreplica.h>
#include <flamingosaddle/platform/platform.h>
#include <flamingosaddle/state/claimtable.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace flamingosaddle
{

/**
 * Decides through the `claims` stream whether a non-idempotent request with an idempotency key runs. Must be used on the
 * control thread, except for the hook, which traffic threads call.
 */
class ClaimCoordinator
{
public:
    struct Options {
        Incarnation self;
        ClaimLimits limits;
        Duration timeout = std::chrono::seconds(2); ///< limit for appending a claim and reading it back
        std::chrono::seconds retryAfter{5}; ///< sent to a caller whose claim could not be decided
        std::function<std::chrono::seconds()> wallTime; ///< returns the time since the Unix epoch
        std::uint64_t seed = 1;
    };

    ClaimCoordinator(const boost::asio::any_io_executor &control, const Platform &platform, Options options);
    ~ClaimCoordinator();

    // Commands.

    /** Returns the hook for callers' requests. The hook may be called from any thread while the control thread runs. */
    ClaimHook hook();

    /** Reads the stream until stop(). The object must outlive the coroutine. */
    boost::asio::awaitable<void> runReader();
    /** Appends outcomes until stop(). The object must outlive the coroutine. */
    boost::asio::awaitable<void> runAppender();
    void stop();

    // Queries.
    const ClaimTable &table() const;
    std::size_t runningCount() const; ///< requests of this instance that hold a claim and are still running
    std::size_t unappendedCount() const; ///< records that are not appended to the log yet

private:
    struct PendingClaim;

    boost::asio::awaitable<ClaimDecision> claim(ClaimRequest request);
    Result<void> restoreSnapshot(std::string_view text);
    void discardState();
    void applyRecord(const LogRecord &record);
    void resolvePending(std::uint64_t offset, const ClaimRecord &record, ClaimResult result);
    ClaimDecision decisionFor(const ClaimKey &key, std::uint64_t fingerprint, ClaimResult result, std::uint64_t number);
    ClaimDecision unavailable() const;
    void recordOutcome(const ClaimKey &key, std::uint64_t number, const ClaimOutcome &outcome);
    void enqueueEndRecord(ClaimRecordKind kind, const ClaimKey &key, std::uint64_t number, StoredResponse response);
    RecordId nextRecordId();

    boost::asio::any_io_executor controlExecutor;
    const Platform &platform;
    Options options;
    LogReplica replica;
    LogAppender appender;
    ClaimTable claimTable;
    std::map<RecordId, std::shared_ptr<PendingClaim>> pendingClaims;
    std::uint64_t sequence = 0;
    std::size_t running = 0;
};

} // namespace flamingosaddle
