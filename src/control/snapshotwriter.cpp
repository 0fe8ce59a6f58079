#include <flamingosaddle/control/snapshotwriter.h>

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/base/log.h>

#include <utility>

namespace flamingosaddle
{

SnapshotWriter::SnapshotWriter(
    const Platform &platform, std::function<bool()> isLeading, std::vector<SnapshotSource> sources, Options options)
    : platform(platform)
    , isLeading(std::move(isLeading))
    , options(options)
{
    for (SnapshotSource &source : sources) {
        this->sourceStates.push_back({std::move(source), 0, RuntimeClock::now()});
    }
}

boost::asio::awaitable<void> SnapshotWriter::run()
{
    while (!this->stopped) {
        if (this->isLeading()) {
            for (SourceState &entry : this->sourceStates) {
                co_await this->writeIfDue(entry);
            }
        }
        co_await delay(this->options.checkInterval);
    }
}

void SnapshotWriter::stop()
{
    this->stopped = true;
}

std::uint64_t SnapshotWriter::writtenCount() const
{
    return this->written;
}

bool SnapshotWriter::isReadyToFix(const SourceState &entry, TimePoint now) const
{
    const std::uint64_t next = entry.source.nextOffset();
    if (next <= entry.coveredUntil) {
        return false;
    }
    // Records of a stream expire by time even if there are few of them.
    return next >= entry.coveredUntil + this->options.recordInterval || now - entry.writtenAt >= this->options.maxAge;
}

boost::asio::awaitable<void> SnapshotWriter::writeIfDue(SourceState &entry)
{
    if (!this->isReadyToFix(entry, RuntimeClock::now())) {
        co_return;
    }
    const std::uint64_t next = entry.source.nextOffset();
    const Result<void> saved = co_await this->platform.saveSnapshot(entry.source.stream, entry.source.encode());
    if (saved.has_error()) {
        logEvent(LogLevel::Warning, "control", "a snapshot was not kept",
            {{"stream", toString(entry.source.stream)}, {"next", std::to_string(next)}, {"reason", saved.error().text()}});
        co_return;
    }
    entry.coveredUntil = next;
    entry.writtenAt = RuntimeClock::now();
    ++this->written;
}

} // namespace flamingosaddle
