#include <flamingosaddle/control/dutylog.h>

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/base/log.h>
#include <flamingosaddle/platform/storeoffset.h>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr const char *leadershipKey = "lead";

} // namespace

DutyLog::DutyLog(const DutyHooks &hooks, Options options)
    : hooks(hooks)
    , options(std::move(options))
    , leadership(this->options.self, this->options.timing)
    , random(this->options.seed)
{
}

boost::asio::awaitable<void> DutyLog::run()
{
    while (!this->stopped) {
        co_await this->runStep();
        this->logLeadershipChange();
        co_await delay(this->options.tickInterval);
    }
}

void DutyLog::stop()
{
    this->stopped = true;
}

boost::asio::awaitable<void> DutyLog::releaseLease()
{
    this->stopped = true;
    if (!this->isLeading() || !this->isLogEndCurrent) {
        co_return;
    }
    co_await this->append(leadershipKey, encodeLeadershipRecord(this->leadership.makeReleaseRecord(RuntimeClock::now())));
    this->logLeadershipChange();
}

void DutyLog::enqueueDecision(std::string key, std::string value)
{
    this->pendingDecisions.emplace_back(std::move(key), std::move(value));
}

void DutyLog::recordLeaderHeartbeat()
{
    this->lastLeaderHeartbeatAt = RuntimeClock::now();
}

void DutyLog::recordLeaderLoss()
{
    this->lastLeaderHeartbeatAt.reset();
    this->isReadRequested = true;
}

bool DutyLog::hasRecentLeaderHeartbeat(TimePoint now) const
{
    return this->lastLeaderHeartbeatAt.has_value() && now < *this->lastLeaderHeartbeatAt + this->options.leaderHeartbeatTimeout;
}

bool DutyLog::isReadDue(TimePoint now) const
{
    const bool hasRecentLeaderHeartbeat = this->hasRecentLeaderHeartbeat(now);
    const Duration interval = hasRecentLeaderHeartbeat ? this->options.readIntervalWithLeader : this->options.readInterval;
    return (this->isReadRequested && !hasRecentLeaderHeartbeat) || now >= this->lastReadAt + interval;
}

void DutyLog::stepDown()
{
    this->leadership.onFenced(RuntimeClock::now());
    this->isLogEndCurrent = false;
}

bool DutyLog::isLeading() const
{
    return this->leadership.isHeld(RuntimeClock::now());
}

bool DutyLog::isLeadingSafely() const
{
    return this->leadership.isRenewed(RuntimeClock::now());
}

FencingToken DutyLog::fencingToken() const
{
    return {this->options.self.instance, this->leadership.fencingNumber()};
}

DutyHooks::Permission DutyLog::permission() const
{
    return [this, fence = this->leadership.fencingNumber()] {
        return this->leadership.fencingNumber() == fence ? this->leadership.remaining(RuntimeClock::now()) : Duration::zero();
    };
}

const std::optional<LeadershipRecord> &DutyLog::newestLeadership() const
{
    return this->leadership.newestRecord();
}

const std::map<std::string, std::string> &DutyLog::decisions() const
{
    return this->committedDecisions;
}

std::uint64_t DutyLog::epoch() const
{
    return this->storeEpoch.value_or(0);
}

const std::map<std::string, std::string> &DutyLog::earlierDecisions() const
{
    return this->decisionsBefore;
}

bool DutyLog::knowsEarlierDecisions() const
{
    return this->ledThroughRestore;
}

bool DutyLog::isDecided(const std::string &key, const std::string &value) const
{
    const auto stored = this->committedDecisions.find(key);
    return stored != this->committedDecisions.end() && stored->second == value;
}

bool DutyLog::hasPendingDecision(const std::string &key) const
{
    return std::any_of(this->pendingDecisions.begin(), this->pendingDecisions.end(), [&key](const auto &decision) {
        return decision.first == key;
    });
}

boost::asio::awaitable<void> DutyLog::runStep()
{
    const TimePoint now = RuntimeClock::now();
    const bool leading = this->leadership.isHeld(now);
    if (!leading) {
        this->pendingDecisions.clear();
        if (!this->options.isEligible()) {
            this->claimDueAt.reset();
            co_return;
        }
    }
    if (leading ? !this->isLogEndCurrent : this->isReadDue(now)) {
        const bool succeeded = co_await this->readOnce();
        if (!succeeded) {
            co_return;
        }
    }
    if (this->isLeading()) {
        co_await this->runAsLeader();
    } else {
        co_await this->claimLeaseIfFree();
    }
}

boost::asio::awaitable<bool> DutyLog::readOnce()
{
    const Result<KeyedReadResult> reading = co_await this->hooks.readDuties(this->logEnd);
    if (reading.has_error()) {
        if (reading.error().kind() == ErrorKind::Trimmed) {
            this->logEnd.reset();
        }
        co_return false;
    }
    const std::uint64_t epoch = epochOf(reading.value().nextOffset);
    if (this->storeEpoch.value_or(epoch) != epoch) {
        this->beginEpoch(epoch);
    }
    this->storeEpoch = epoch;
    const TimePoint now = RuntimeClock::now();
    this->lastReadAt = now;
    this->isReadRequested = false;
    for (const KeyedEntry &entry : reading.value().entries) {
        this->applyEntry(entry, now);
    }
    this->logEnd = reading.value().nextOffset;
    this->isLogEndCurrent = reading.value().isAtEnd;
    co_return true;
}

void DutyLog::beginEpoch(std::uint64_t epoch)
{
    this->ledThroughRestore = this->isLeading();
    logEvent(LogLevel::Warning, "control", "the store of the duties was restored from an older copy",
        {{"epoch", std::to_string(epoch)}, {"epoch_before", std::to_string(this->epoch())},
            {"leading", this->ledThroughRestore ? "yes" : "no"}});
    for (auto &[key, value] : std::exchange(this->committedDecisions, {})) {
        this->decisionsBefore[key] = std::move(value);
    }
}

void DutyLog::applyEntry(const KeyedEntry &entry, TimePoint now)
{
    if (entry.key != leadershipKey) {
        this->committedDecisions[entry.key] = entry.value.value_or(std::string());
        return;
    }
    const Result<LeadershipRecord> record = decodeLeadershipRecord(entry.value.value_or(std::string()));
    if (record.has_value()) {
        this->ledThroughRestore = this->ledThroughRestore && record.value().id.writer == this->options.self;
        this->leadership.apply(record.value(), entry.offset, now);
    } else {
        logEvent(LogLevel::Error, "control", "leadership record is unreadable", {{"reason", record.error().text()}});
    }
}

boost::asio::awaitable<void> DutyLog::runAsLeader()
{
    const TimePoint now = RuntimeClock::now();
    if (!this->isLogEndCurrent) {
        co_return;
    }
    if (this->leadership.isRenewalDue(now)) {
        co_await this->append(leadershipKey, encodeLeadershipRecord(this->leadership.makeRecord(now)));
    }
    while (!this->pendingDecisions.empty() && this->isLogEndCurrent && this->isLeading() && !this->stopped) {
        const std::size_t before = this->pendingDecisions.size();
        const auto [key, value] = this->pendingDecisions.front();
        // An append that got no response may have been read back since.
        if (!this->isDecided(key, value)) {
            co_await this->append(key, value);
        }
        if (this->isDecided(key, value)) {
            this->pendingDecisions.pop_front();
        }
        if (this->pendingDecisions.size() == before) {
            co_return;
        }
    }
}

boost::asio::awaitable<void> DutyLog::claimLeaseIfFree()
{
    const TimePoint now = RuntimeClock::now();
    // A recent heartbeat of a leader suspends claims, since the leader may have appended records that are not read yet.
    if (!this->isLogEndCurrent || this->hasRecentLeaderHeartbeat(now) || !this->leadership.mayClaim(now)) {
        this->claimDueAt.reset();
        co_return;
    }
    if (!this->claimDueAt.has_value()) {
        const auto spread = static_cast<std::uint64_t>(this->options.claimJitter.count());
        this->claimDueAt = now + Duration(static_cast<Duration::rep>(this->random() % std::max<std::uint64_t>(spread, 1)));
    }
    if (now < *this->claimDueAt) {
        co_return;
    }
    this->claimDueAt.reset();
    co_await this->append(leadershipKey, encodeLeadershipRecord(this->leadership.makeRecord(now)));
}

boost::asio::awaitable<void> DutyLog::append(std::string key, std::string value)
{
    const std::uint64_t at = *this->logEnd;
    const Result<std::uint64_t> offset = co_await this->hooks.appendDuty(key, value, at);
    if (offset.has_value()) {
        this->logEnd = offset.value() + 1;
        this->applyEntry({std::move(key), std::move(value), offset.value()}, RuntimeClock::now());
        co_return;
    }
    const ErrorKind kind = offset.error().kind();
    if (kind == ErrorKind::Unavailable || kind == ErrorKind::Unreachable) {
        co_return;
    }
    // Another instance appended, or it is unknown whether this record is in the log. Only a read can tell.
    this->isLogEndCurrent = false;
    this->isReadRequested = true;
}

void DutyLog::logLeadershipChange()
{
    const bool leading = this->isLeading();
    if (leading == this->wasLeading) {
        return;
    }
    this->wasLeading = leading;
    const auto &record = this->leadership.newestRecord();
    logEvent(LogLevel::Info, "control", leading ? "this instance leads" : "this instance no longer leads",
        {{"fence", std::to_string(this->leadership.fencingNumber())},
            {"newest_holder", record.has_value() ? record->id.writer.text() : "none"}});
}

} // namespace flamingosaddle
