#include <flamingosaddle/control/dutylog.h>

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/base/log.h>

#include <algorithm>

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
        co_await this->step();
        this->noteChange();
        co_await delay(this->options.tick);
    }
}

void DutyLog::stop()
{
    this->stopped = true;
}

boost::asio::awaitable<void> DutyLog::release()
{
    this->stopped = true;
    if (!this->isLeading() || !this->endKnown) {
        co_return;
    }
    co_await this->append(leadershipKey, encodeLeadershipRecord(this->leadership.release(RuntimeClock::now())));
    this->noteChange();
}

void DutyLog::decide(std::string key, std::string value)
{
    this->pending.emplace_back(std::move(key), std::move(value));
}

void DutyLog::noteLeader()
{
    this->heardLeaderAt = RuntimeClock::now();
}

bool DutyLog::hearsLeader(TimePoint now) const
{
    return this->heardLeaderAt.has_value() && now < *this->heardLeaderAt + this->options.leaderWordLife;
}

bool DutyLog::isReadDue(TimePoint now) const
{
    const bool hearsLeader = this->hearsLeader(now);
    const Duration interval = hearsLeader ? this->options.readIntervalWithLeader : this->options.readInterval;
    return (this->readAtOnce && !hearsLeader) || now >= this->lastRead + interval;
}

void DutyLog::lose()
{
    this->leadership.lose(RuntimeClock::now());
    this->endKnown = false;
}

bool DutyLog::isLeading() const
{
    return this->leadership.isHeld(RuntimeClock::now());
}

DutyStamp DutyLog::stamp() const
{
    return {this->options.self.instance, this->leadership.fence()};
}

DutyHooks::Permission DutyLog::permission() const
{
    return [this, fence = this->leadership.fence()] {
        return this->leadership.fence() == fence ? this->leadership.remaining(RuntimeClock::now()) : Duration::zero();
    };
}

const std::optional<LeadershipRecord> &DutyLog::newestLead() const
{
    return this->leadership.newest();
}

const std::map<std::string, std::string> &DutyLog::decisions() const
{
    return this->newest;
}

bool DutyLog::isDecided(const std::string &key, const std::string &value) const
{
    const auto stored = this->newest.find(key);
    return stored != this->newest.end() && stored->second == value;
}

bool DutyLog::hasPending(const std::string &key) const
{
    return std::any_of(this->pending.begin(), this->pending.end(), [&key](const auto &decision) {
        return decision.first == key;
    });
}

boost::asio::awaitable<void> DutyLog::step()
{
    const TimePoint now = RuntimeClock::now();
    const bool leading = this->leadership.isHeld(now);
    if (!leading) {
        this->pending.clear();
        if (!this->options.mayContest()) {
            this->claimAt.reset();
            co_return;
        }
    }
    if (leading ? !this->endKnown : this->isReadDue(now)) {
        const bool succeeded = co_await this->readOnce();
        if (!succeeded) {
            co_return;
        }
    }
    if (this->isLeading()) {
        co_await this->lead();
    } else {
        co_await this->claimIfFree();
    }
}

boost::asio::awaitable<bool> DutyLog::readOnce()
{
    const Result<KeyedReading> reading = co_await this->hooks.readDuties(this->end);
    if (reading.has_error()) {
        if (reading.error().kind() == ErrorKind::Trimmed) {
            this->end.reset();
        }
        co_return false;
    }
    const TimePoint now = RuntimeClock::now();
    this->lastRead = now;
    this->readAtOnce = false;
    for (const KeyedEntry &entry : reading.value().entries) {
        this->take(entry, now);
    }
    this->end = reading.value().next;
    this->endKnown = reading.value().isAtEnd;
    co_return true;
}

void DutyLog::take(const KeyedEntry &entry, TimePoint now)
{
    if (entry.key != leadershipKey) {
        this->newest[entry.key] = entry.value.value_or(std::string());
        return;
    }
    const Result<LeadershipRecord> record = decodeLeadershipRecord(entry.value.value_or(std::string()));
    if (record.has_value()) {
        this->leadership.observe(record.value(), entry.offset, now);
    } else {
        logStateChange(LogLevel::Error, "control", "leadership record is unreadable", {{"reason", record.error().text()}});
    }
}

boost::asio::awaitable<void> DutyLog::lead()
{
    const TimePoint now = RuntimeClock::now();
    if (!this->endKnown) {
        co_return;
    }
    if (this->leadership.isRenewalDue(now)) {
        co_await this->append(leadershipKey, encodeLeadershipRecord(this->leadership.makeRecord(now)));
    }
    while (!this->pending.empty() && this->endKnown && this->isLeading() && !this->stopped) {
        const std::size_t before = this->pending.size();
        const auto [key, value] = this->pending.front();
        // An append that got no response may have been read back since.
        if (!this->isDecided(key, value)) {
            co_await this->append(key, value);
        }
        if (this->isDecided(key, value)) {
            this->pending.pop_front();
        }
        if (this->pending.size() == before) {
            co_return;
        }
    }
}

boost::asio::awaitable<void> DutyLog::claimIfFree()
{
    const TimePoint now = RuntimeClock::now();
    // A recent heartbeat of a leader suspends claims, since the leader may have appended records that are not read yet.
    if (!this->endKnown || this->hearsLeader(now) || !this->leadership.mayClaim(now)) {
        this->claimAt.reset();
        co_return;
    }
    if (!this->claimAt.has_value()) {
        const auto spread = static_cast<std::uint64_t>(this->options.claimSpread.count());
        this->claimAt = now + Duration(static_cast<Duration::rep>(this->random() % std::max<std::uint64_t>(spread, 1)));
    }
    if (now < *this->claimAt) {
        co_return;
    }
    this->claimAt.reset();
    co_await this->append(leadershipKey, encodeLeadershipRecord(this->leadership.makeRecord(now)));
}

boost::asio::awaitable<void> DutyLog::append(std::string key, std::string value)
{
    const std::uint64_t at = *this->end;
    const Result<std::uint64_t> offset = co_await this->hooks.appendDuty(key, value, at);
    if (offset.has_value()) {
        this->end = offset.value() + 1;
        this->take({std::move(key), std::move(value), offset.value()}, RuntimeClock::now());
        co_return;
    }
    const ErrorKind kind = offset.error().kind();
    if (kind == ErrorKind::Unavailable || kind == ErrorKind::Unreachable) {
        co_return;
    }
    // Another instance appended, or it is unknown whether this record is in the log. Only a read can tell.
    this->endKnown = false;
    this->readAtOnce = true;
}

void DutyLog::noteChange()
{
    const bool leading = this->isLeading();
    if (leading == this->wasLeading) {
        return;
    }
    this->wasLeading = leading;
    const auto &record = this->leadership.newest();
    logStateChange(LogLevel::Info, "control", leading ? "this instance leads" : "this instance no longer leads",
        {{"fence", std::to_string(this->leadership.fence())},
            {"newest_holder", record.has_value() ? record->id.writer.text() : "none"}});
}

} // namespace flamingosaddle
