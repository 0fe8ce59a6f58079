#include <flamingosaddle/control/claimcoordinator.h>

#include <flamingosaddle/base/hash.h>
#include <flamingosaddle/base/timer.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace flamingosaddle
{

/**
 * A claim that was sent to the log and has not been read back.
 */
struct ClaimCoordinator::PendingClaim {
    explicit PendingClaim(const boost::asio::any_io_executor &executor)
        : decided(executor)
    {
    }

    Timer decided; ///< cancelled when the result is known
    std::optional<ClaimResult> result;
    std::uint64_t number = 0;
};

ClaimCoordinator::ClaimCoordinator(const boost::asio::any_io_executor &control, const Platform &platform, Options options)
    : controlExecutor(control)
    , platform(platform)
    , options(std::move(options))
    , replica(platform, LogStream::Claims,
          LogReplicaHooks{
              [this] {
                  return this->claimTable.nextOffset();
              },
              [this](std::string_view text) {
                  return this->restoreSnapshot(text);
              },
              [this] {
                  this->discardState();
              },
              [this](const LogRecord &record) {
                  this->applyRecord(record);
              },
              {},
          },
          this->options.seed)
    , appender(platform, LogStream::Claims, LogAppenderOptions{}, this->options.seed)
    , claimTable(this->options.limits)
{
}

ClaimCoordinator::~ClaimCoordinator() = default;

ClaimHook ClaimCoordinator::hook()
{
    return [this](ClaimRequest request) -> boost::asio::awaitable<ClaimDecision> {
        // The decision is made on the control thread; the caller's coroutine resumes on its own executor.
        ClaimDecision decision
            = co_await boost::asio::co_spawn(this->controlExecutor, this->claim(std::move(request)), boost::asio::use_awaitable);
        co_return decision;
    };
}

boost::asio::awaitable<void> ClaimCoordinator::runReader()
{
    return this->replica.run();
}

boost::asio::awaitable<void> ClaimCoordinator::runAppender()
{
    return this->appender.run();
}

void ClaimCoordinator::stop()
{
    this->replica.stop();
    this->appender.stop();
}

const ClaimTable &ClaimCoordinator::table() const
{
    return this->claimTable;
}

std::size_t ClaimCoordinator::runningCount() const
{
    return this->running;
}

std::size_t ClaimCoordinator::unappendedCount() const
{
    return this->appender.bufferedCount();
}

boost::asio::awaitable<ClaimDecision> ClaimCoordinator::claim(ClaimRequest request)
{
    const ClaimKey key{request.clientAccount, hash64(request.idempotencyKey)};
    const Claim *existing = this->claimTable.find(key);
    if (existing != nullptr) {
        const ClaimResult result = existing->fingerprint != request.fingerprint ? ClaimResult::KeyReused
            : existing->response                                                ? ClaimResult::Completed
                                                                                : ClaimResult::AlreadyStarted;
        co_return this->decisionFor(key, request.fingerprint, result, existing->number);
    }
    if (!this->replica.isLogReachable()) {
        co_return this->unavailable();
    }
    ClaimRecord record;
    record.id = this->nextRecordId();
    record.key = key;
    record.fingerprint = request.fingerprint;
    record.writtenAt = this->options.wallTime();
    const auto pending = std::make_shared<PendingClaim>(this->controlExecutor);
    pending->decided.expires_after(this->options.timeout);
    this->pendingClaims.emplace(record.id, pending);
    const Result<std::uint64_t> appended = co_await this->platform.append(LogStream::Claims, encodeClaimRecord(record));
    const bool mayBeAppended = appended.has_value()
        || (appended.error().kind() != ErrorKind::Unreachable && appended.error().kind() != ErrorKind::Unavailable);
    if (mayBeAppended && !pending->result) {
        boost::system::error_code ignored;
        co_await pending->decided.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    // If the record is read back later, the claim is abandoned, since its caller was told that the request did not run.
    this->pendingClaims.erase(record.id);
    if (!pending->result) {
        co_return this->unavailable();
    }
    co_return this->decisionFor(key, request.fingerprint, *pending->result, pending->number);
}

Result<void> ClaimCoordinator::restoreSnapshot(std::string_view text)
{
    BOOST_OUTCOME_TRY(table, decodeClaimSnapshot(text, this->options.limits));
    if (table.nextOffset() > this->claimTable.nextOffset()) {
        this->claimTable = std::move(table);
    }
    return success();
}

void ClaimCoordinator::discardState()
{
    this->claimTable = ClaimTable(this->options.limits);
}

void ClaimCoordinator::applyRecord(const LogRecord &record)
{
    const Result<ClaimRecord> decoded = decodeClaimRecord(record.body);
    if (decoded.has_error()) {
        this->claimTable.skip(record.offset);
        return;
    }
    const ClaimResult result = this->claimTable.apply(record.offset, decoded.value());
    this->resolvePending(record.offset, decoded.value(), result);
}

void ClaimCoordinator::resolvePending(std::uint64_t offset, const ClaimRecord &record, ClaimResult result)
{
    if (record.kind != ClaimRecordKind::Start || record.id.writer != this->options.self) {
        return;
    }
    const std::uint64_t number = offset + 1;
    const auto found = this->pendingClaims.find(record.id);
    if (found != this->pendingClaims.end() && !found->second->result) {
        found->second->result = result;
        found->second->number = number;
        found->second->decided.cancel();
        return;
    }
    if (result == ClaimResult::Won) {
        this->enqueueEndRecord(ClaimRecordKind::Abandon, record.key, number, {});
    }
}

ClaimDecision ClaimCoordinator::decisionFor(
    const ClaimKey &key, std::uint64_t fingerprint, ClaimResult result, std::uint64_t number)
{
    const Claim *claim = this->claimTable.find(key);
    switch (result) {
    case ClaimResult::Won: {
        ++this->running;
        return ClaimGranted{[this, key, number](const ClaimOutcome &outcome) {
            boost::asio::post(this->controlExecutor, [this, key, number, outcome] {
                this->recordOutcome(key, number, outcome);
            });
        }};
    }
    case ClaimResult::Completed: {
        if (claim == nullptr || !claim->response || !claim->response->bodyStored || claim->fingerprint != fingerprint) {
            return ClaimOutcomeUnknown{};
        }
        HttpResponse response;
        response.status = static_cast<int>(claim->response->status);
        response.headers.set("Content-Type", claim->response->contentType);
        response.body = claim->response->body;
        return ClaimCompleted{std::move(response)};
    }
    case ClaimResult::KeyReused:
        return ClaimMismatch{};
    case ClaimResult::AlreadyStarted:
    case ClaimResult::Recorded:
    case ClaimResult::Ignored:
        return ClaimOutcomeUnknown{};
    case ClaimResult::TableFull:
        return this->unavailable();
    }
    return ClaimOutcomeUnknown{};
}

ClaimDecision ClaimCoordinator::unavailable() const
{
    return ClaimUnavailable{this->options.retryAfter};
}

void ClaimCoordinator::recordOutcome(const ClaimKey &key, std::uint64_t number, const ClaimOutcome &outcome)
{
    --this->running;
    switch (outcome.state) {
    case ClaimOutcome::State::Completed: {
        StoredResponse response;
        response.status = static_cast<std::uint32_t>(outcome.response.status);
        response.contentType = std::string(outcome.response.headers.find("Content-Type"));
        response.body = outcome.response.body;
        this->enqueueEndRecord(ClaimRecordKind::Outcome, key, number, std::move(response));
        return;
    }
    case ClaimOutcome::State::NotRun:
        this->enqueueEndRecord(ClaimRecordKind::Abandon, key, number, {});
        return;
    case ClaimOutcome::State::Unknown:
        return;
    }
}

void ClaimCoordinator::enqueueEndRecord(ClaimRecordKind kind, const ClaimKey &key, std::uint64_t number, StoredResponse response)
{
    ClaimRecord record;
    record.id = this->nextRecordId();
    record.kind = kind;
    record.key = key;
    record.claimNumber = number;
    record.writtenAt = this->options.wallTime();
    record.response = std::move(response);
    this->appender.enqueue(encodeClaimRecord(std::move(record)));
}

RecordId ClaimCoordinator::nextRecordId()
{
    return {this->options.self, ++this->sequence};
}

} // namespace flamingosaddle
