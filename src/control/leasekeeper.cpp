#include <flamingosaddle/control/leasekeeper.h>

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/base/log.h>

#include <utility>

namespace flamingosaddle
{

LeaseKeeper::LeaseKeeper(const Platform &platform, Options options)
    : platform(platform)
    , options(std::move(options))
    , replica(platform, LogStream::Leases, LogStream::LeasesSnapshot,
          LogReplicaHooks{
              [this] {
                  return this->leaseTable.nextOffset();
              },
              [this](std::string_view text) {
                  return this->restore(text);
              },
              [this](const LogRecord &record) {
                  this->takeRecord(record);
              },
              [this](std::uint64_t head, TimePoint sentAt) {
                  this->leaseTable.noteHead(head, sentAt);
              },
          },
          this->options.seed)
    , leaseTable(this->options.timing)
    , random(static_cast<std::minstd_rand::result_type>(this->options.seed))
{
}

void LeaseKeeper::setRoles(const std::set<Role> &roles)
{
    std::erase_if(this->seats, [&roles](const auto &entry) {
        return !roles.contains(entry.first);
    });
    for (const Role &role : roles) {
        this->seats.try_emplace(role, Seat{LeaseHolder(role, this->options.self, this->options.timing), std::nullopt});
    }
}

boost::asio::awaitable<void> LeaseKeeper::runTail()
{
    return this->replica.run();
}

boost::asio::awaitable<void> LeaseKeeper::runKeeper()
{
    while (!this->stopped) {
        // Seats may change while an append is under way, so the roles are listed first.
        std::vector<Role> roles;
        for (const auto &[role, seat] : this->seats) {
            roles.push_back(role);
        }
        for (const Role &role : roles) {
            co_await this->tend(role);
        }
        co_await delay(this->options.tickInterval);
    }
}

void LeaseKeeper::stop()
{
    this->stopped = true;
    this->replica.stop();
}

boost::asio::awaitable<void> LeaseKeeper::releaseAll()
{
    this->stopped = true;
    for (auto &[role, seat] : this->seats) {
        const std::optional<LeaseRecord> record = seat.holder.release(++this->sequence);
        if (record) {
            co_await this->append(*record);
        }
    }
}

bool LeaseKeeper::isHeld(const Role &role, TimePoint now) const
{
    const auto seat = this->seats.find(role);
    return seat != this->seats.end() && seat->second.holder.isHeld(now);
}

Duration LeaseKeeper::remaining(const Role &role, TimePoint now) const
{
    const auto seat = this->seats.find(role);
    return seat == this->seats.end() ? Duration::zero() : seat->second.holder.remaining(now);
}

std::uint64_t LeaseKeeper::epoch(const Role &role) const
{
    const auto seat = this->seats.find(role);
    return seat == this->seats.end() ? 0 : seat->second.holder.epoch();
}

const LeaseTable &LeaseKeeper::table() const
{
    return this->leaseTable;
}

Result<void> LeaseKeeper::restore(std::string_view text)
{
    BOOST_OUTCOME_TRY(table, decodeLeaseSnapshot(text, this->options.timing, RuntimeClock::now()));
    if (table.nextOffset() > this->leaseTable.nextOffset()) {
        this->leaseTable = std::move(table);
    }
    return done();
}

void LeaseKeeper::takeRecord(const LogRecord &record)
{
    const Result<LeaseRecord> decoded = decodeLeaseRecord(record.body);
    if (decoded.has_error()) {
        this->leaseTable.skip(record.offset);
        return;
    }
    const LeaseRecord &lease = decoded.value();
    const TimePoint now = RuntimeClock::now();
    const bool accepted = this->leaseTable.apply(record.offset, lease, now);
    const auto seat = this->seats.find(lease.role);
    if (seat == this->seats.end()) {
        return;
    }
    const bool heldBefore = seat->second.holder.isHeld(now);
    seat->second.holder.observe(record.offset, lease, accepted);
    const bool heldAfter = seat->second.holder.isHeld(now);
    if (heldBefore != heldAfter) {
        logStateChange(LogLevel::Info, "control", heldAfter ? "lease taken" : "lease lost",
            {{"role", lease.role.text()}, {"epoch", std::to_string(seat->second.holder.epoch())}});
    }
}

boost::asio::awaitable<void> LeaseKeeper::tend(const Role &role)
{
    const auto seat = this->seats.find(role);
    if (seat == this->seats.end()) {
        co_return;
    }
    const std::optional<LeaseRecord> record = this->dueRecord(seat->second, role, RuntimeClock::now());
    if (record) {
        co_await this->append(*record);
    }
}

std::optional<LeaseRecord> LeaseKeeper::dueRecord(Seat &seat, const Role &role, TimePoint now)
{
    if (seat.holder.isHeld(now)) {
        seat.claimAt.reset();
        return now >= seat.holder.renewalDue() ? seat.holder.renew(++this->sequence, now) : std::nullopt;
    }
    if (!this->leaseTable.mayClaim(role, now)) {
        seat.claimAt.reset();
        return std::nullopt;
    }
    if (!seat.claimAt) {
        seat.claimAt = now + this->claimDelay();
    }
    if (now < *seat.claimAt) {
        return std::nullopt;
    }
    seat.claimAt.reset();
    return seat.holder.claim(this->leaseTable, ++this->sequence, now);
}

boost::asio::awaitable<void> LeaseKeeper::append(const LeaseRecord &record)
{
    // The answer decides nothing: a record counts once it is read back.
    const Result<std::uint64_t> ignored = co_await this->platform.append(LogStream::Leases, encodeLeaseRecord(record));
    static_cast<void>(ignored);
}

Duration LeaseKeeper::claimDelay()
{
    std::uniform_int_distribution<Duration::rep> draw(0, this->options.claimSpread.count());
    return Duration(draw(this->random));
}

} // namespace flamingosaddle
