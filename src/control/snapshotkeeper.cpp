#include <flamingosaddle/control/snapshotkeeper.h>

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/base/log.h>

#include <utility>

namespace flamingosaddle
{

SnapshotKeeper::SnapshotKeeper(
    const Platform &platform, std::function<bool()> isLeading, std::vector<SnapshotSource> sources, Options options)
    : platform(platform)
    , isLeading(std::move(isLeading))
    , options(options)
{
    for (SnapshotSource &source : sources) {
        this->entries.push_back({std::move(source), 0, RuntimeClock::now()});
    }
}

boost::asio::awaitable<void> SnapshotKeeper::run()
{
    while (!this->stopped) {
        if (this->isLeading()) {
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
    // Records of a stream expire by time even if there are few of them.
    return next >= entry.covered + this->options.everyRecords || now - entry.writtenAt >= this->options.maxAge;
}

boost::asio::awaitable<void> SnapshotKeeper::writeIfDue(Entry &entry)
{
    if (!this->isDue(entry, RuntimeClock::now())) {
        co_return;
    }
    const std::uint64_t next = entry.source.nextOffset();
    const Result<void> saved = co_await this->platform.saveSnapshot(entry.source.stream, entry.source.encode());
    if (saved.has_error()) {
        logStateChange(LogLevel::Warning, "control", "a snapshot was not kept",
            {{"stream", toString(entry.source.stream)}, {"next", std::to_string(next)}, {"reason", saved.error().text()}});
        co_return;
    }
    entry.covered = next;
    entry.writtenAt = RuntimeClock::now();
    ++this->written;
}

} // namespace flamingosaddle
