#include <flamingosaddle/control/snapshotkeeper.h>

#include <flamingosaddle/base/delay.h>

#include <utility>

namespace flamingosaddle
{

SnapshotKeeper::SnapshotKeeper(
    const Platform &platform, const LeaseKeeper &leases, std::vector<SnapshotSource> sources, Options options)
    : platform(platform)
    , leases(leases)
    , options(std::move(options))
{
    for (SnapshotSource &source : sources) {
        this->entries.push_back({std::move(source), 0, RuntimeClock::now()});
    }
}

boost::asio::awaitable<void> SnapshotKeeper::run()
{
    while (!this->stopped) {
        if (this->leases.isHeld(this->options.role, RuntimeClock::now())) {
            for (Entry &entry : this->entries) {
                co_await this->writeIfDue(entry);
            }
        }
        co_await delay(this->options.interval);
    }
}

void SnapshotKeeper::stop()
{
    this->stopped = true;
}

std::uint64_t SnapshotKeeper::writtenCount() const
{
    return this->written;
}

bool SnapshotKeeper::isDue(const Entry &entry, TimePoint now) const
{
    const std::uint64_t next = entry.source.nextOffset();
    if (next <= entry.covered) {
        return false;
    }
    // A stream with few records is trimmed by time all the same.
    return next >= entry.covered + this->options.everyRecords || now - entry.writtenAt >= this->options.maxAge;
}

boost::asio::awaitable<void> SnapshotKeeper::writeIfDue(Entry &entry)
{
    if (!this->isDue(entry, RuntimeClock::now())) {
        co_return;
    }
    const std::uint64_t next = entry.source.nextOffset();
    const Result<std::uint64_t> appended = co_await this->platform.append(entry.source.snapshots, entry.source.encode());
    if (appended.has_value()) {
        entry.covered = next;
        entry.writtenAt = RuntimeClock::now();
        ++this->written;
    }
}

} // namespace flamingosaddle
