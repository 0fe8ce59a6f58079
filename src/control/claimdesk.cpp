#include <flamingosaddle/control/claimdesk.h>

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
struct ClaimDesk::Waiting {
    explicit Waiting(const boost::asio::any_io_executor &executor)
        : decided(executor)
    {
    }

    Timer decided; ///< cancelled when the result is known
    std::optional<ClaimResult> result;
    std::uint64_t number = 0;
};

ClaimDesk::ClaimDesk(const boost::asio::any_io_executor &control, const Platform &platform, Options options)
    : control(control)
    , platform(platform)
    , options(std::move(options))
    , replica(platform, LogStream::Claims,
          LogReplicaHooks{
              [this] {
                  return this->claimTable.nextOffset();
              },
              [this](std::string_view text) {
                  return this->restore(text);
              },
              [this](const LogRecord &record) {
                  this->takeRecord(record);
              },
              {},
          },
          this->options.seed)
    , appender(platform, LogStream::Claims, LogAppenderOptions{}, this->options.seed)
    , claimTable(this->options.limits)
{
}

ClaimDesk::~ClaimDesk() = default;

ClaimHook ClaimDesk::hook()
{
    return [this](ClaimRequest request) -> boost::asio::awaitable<ClaimAnswer> {
        // The decision is made on the control thread; the caller's coroutine resumes on its own executor.
        ClaimAnswer answer
            = co_await boost::asio::co_spawn(this->control, this->claim(std::move(request)), boost::asio::use_awaitable);
        co_return answer;
    };
}

boost::asio::awaitable<void> ClaimDesk::runTail()
{
    return this->replica.run();
}

boost::asio::awaitable<void> ClaimDesk::runAppender()
{
    return this->appender.run();
}

void ClaimDesk::stop()
{
    this->replica.stop();
    this->appender.stop();
}

const ClaimTable &ClaimDesk::table() const
{
    return this->claimTable;
}

std::size_t ClaimDesk::unsettledCount() const
{
    return this->unsettled;
}

std::size_t ClaimDesk::unappendedCount() const
{
    return this->appender.bufferedCount();
}

boost::asio::awaitable<ClaimAnswer> ClaimDesk::claim(ClaimRequest request)
{
    const ClaimKey key{request.clientAccount, hash64(request.idempotencyKey)};
    const Claim *existing = this->claimTable.find(key);
    if (existing != nullptr) {
        const ClaimResult result = existing->fingerprint != request.fingerprint ? ClaimResult::OtherRequest
            : existing->answer                                                  ? ClaimResult::Answered
                                                                                : ClaimResult::AlreadyStarted;
        co_return this->answerOf(key, request.fingerprint, result, existing->number);
    }
    if (!this->replica.isLogAnswering()) {
        co_return this->unavailable();
    }
    ClaimRecord record;
    record.id = this->nextId();
    record.key = key;
    record.fingerprint = request.fingerprint;
    record.writtenAt = this->options.wallTime();
    const auto pending = std::make_shared<Waiting>(this->control);
    pending->decided.expires_after(this->options.timeout);
    this->waiting.emplace(record.id, pending);
    const Result<std::uint64_t> appended = co_await this->platform.append(LogStream::Claims, encodeClaimRecord(record));
    const bool mayBeAppended = appended.has_value()
        || (appended.error().kind() != ErrorKind::Unreachable && appended.error().kind() != ErrorKind::Unavailable);
    if (mayBeAppended && !pending->result) {
        boost::system::error_code ignored;
        co_await pending->decided.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    // If the record is read back later, the claim is abandoned, since its caller was told that the request did not run.
    this->waiting.erase(record.id);
    if (!pending->result) {
        co_return this->unavailable();
    }
    co_return this->answerOf(key, request.fingerprint, *pending->result, pending->number);
}

Result<void> ClaimDesk::restore(std::string_view text)
{
    BOOST_OUTCOME_TRY(table, decodeClaimSnapshot(text, this->options.limits));
    if (table.nextOffset() > this->claimTable.nextOffset()) {
        this->claimTable = std::move(table);
    }
    return done();
}

void ClaimDesk::takeRecord(const LogRecord &record)
{
    const Result<ClaimRecord> decoded = decodeClaimRecord(record.body);
    if (decoded.has_error()) {
        this->claimTable.skip(record.offset);
        return;
    }
    const ClaimResult result = this->claimTable.apply(record.offset, decoded.value());
    this->takeResult(record.offset, decoded.value(), result);
}

void ClaimDesk::takeResult(std::uint64_t offset, const ClaimRecord &record, ClaimResult result)
{
    if (record.kind != ClaimRecordKind::Start || record.id.writer != this->options.self) {
        return;
    }
    const std::uint64_t number = offset + 1;
    const auto found = this->waiting.find(record.id);
    if (found != this->waiting.end() && !found->second->result) {
        found->second->result = result;
        found->second->number = number;
        found->second->decided.cancel();
        return;
    }
    if (result == ClaimResult::Won) {
        this->pushEnd(ClaimRecordKind::Abandon, record.key, number, {});
    }
}

ClaimAnswer ClaimDesk::answerOf(const ClaimKey &key, std::uint64_t fingerprint, ClaimResult result, std::uint64_t number)
{
    const Claim *claim = this->claimTable.find(key);
    switch (result) {
    case ClaimResult::Won: {
        ++this->unsettled;
        return ClaimRun{[this, key, number](const ClaimOutcome &outcome) {
            boost::asio::post(this->control, [this, key, number, outcome] {
                this->settle(key, number, outcome);
            });
        }};
    }
    case ClaimResult::Answered: {
        if (claim == nullptr || !claim->answer || !claim->answer->bodyStored || claim->fingerprint != fingerprint) {
            return ClaimStarted{};
        }
        HttpResponse answer;
        answer.status = static_cast<int>(claim->answer->status);
        answer.headers.set("Content-Type", claim->answer->contentType);
        answer.body = claim->answer->body;
        return ClaimAnswered{std::move(answer)};
    }
    case ClaimResult::OtherRequest:
        return ClaimMismatch{};
    case ClaimResult::AlreadyStarted:
    case ClaimResult::Recorded:
    case ClaimResult::Ignored:
        return ClaimStarted{};
    case ClaimResult::Full:
        return this->unavailable();
    }
    return ClaimStarted{};
}

ClaimAnswer ClaimDesk::unavailable() const
{
    return ClaimUnavailable{this->options.retryAfter};
}

void ClaimDesk::settle(const ClaimKey &key, std::uint64_t number, const ClaimOutcome &outcome)
{
    --this->unsettled;
    switch (outcome.state) {
    case ClaimOutcome::State::Answered: {
        StoredAnswer answer;
        answer.status = static_cast<std::uint32_t>(outcome.answer.status);
        answer.contentType = std::string(outcome.answer.headers.find("Content-Type"));
        answer.body = outcome.answer.body;
        this->pushEnd(ClaimRecordKind::Outcome, key, number, std::move(answer));
        return;
    }
    case ClaimOutcome::State::NotRun:
        this->pushEnd(ClaimRecordKind::Abandon, key, number, {});
        return;
    case ClaimOutcome::State::Unknown:
        return;
    }
}

void ClaimDesk::pushEnd(ClaimRecordKind kind, const ClaimKey &key, std::uint64_t number, StoredAnswer answer)
{
    ClaimRecord record;
    record.id = this->nextId();
    record.kind = kind;
    record.key = key;
    record.claim = number;
    record.writtenAt = this->options.wallTime();
    record.answer = std::move(answer);
    this->appender.push(encodeClaimRecord(std::move(record)));
}

RecordId ClaimDesk::nextId()
{
    return {this->options.self, ++this->sequence};
}

} // namespace flamingosaddle
