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
        this->entries.push_back({std::move(source), 0});
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

boost::asio::awaitable<void> SnapshotKeeper::writeIfDue(Entry &entry)
{
    const std::uint64_t next = entry.source.nextOffset();
    if (next < entry.covered + this->options.everyRecords) {
        co_return;
    }
    const Result<std::uint64_t> appended = co_await this->platform.append(entry.source.snapshots, entry.source.encode());
    if (appended.has_value()) {
        entry.covered = next;
        ++this->written;
    }
}

} // namespace flamingosaddle
