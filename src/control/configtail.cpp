#include <flamingosaddle/control/configtail.h>

#include <utility>

namespace flamingosaddle
{

ConfigTail::ConfigTail(const Platform &platform, std::function<void()> onAdvance, std::uint64_t seed)
    : onAdvance(std::move(onAdvance))
    , replica(platform, LogStream::Config,
          LogReplicaHooks{
              [this] {
                  return this->working.nextOffset();
              },
              [this](std::string_view text) {
                  return this->restore(text);
              },
              [this](const LogRecord &record) {
                  this->apply(record.offset, record.body);
              },
              [this](std::uint64_t, TimePoint sentAt) {
                  this->noteHead(sentAt);
              },
          },
          seed)
    , current(std::make_shared<const ConfigState>())
{
}

boost::asio::awaitable<void> ConfigTail::run()
{
    return this->replica.run();
}

void ConfigTail::stop()
{
    this->replica.stop();
}

bool ConfigTail::adoptSnapshot(const ConfigState &snapshot)
{
    if (snapshot.nextOffset() <= this->working.nextOffset()) {
        return false;
    }
    this->working = snapshot;
    this->publish();
    return true;
}

std::shared_ptr<const ConfigState> ConfigTail::state() const
{
    return this->current;
}

std::optional<TimePoint> ConfigTail::lastReadAt() const
{
    return this->readAt;
}

bool ConfigTail::hasGap() const
{
    return this->replica.hasGap();
}

std::uint64_t ConfigTail::undecodableCount() const
{
    return this->undecodable;
}

Result<void> ConfigTail::restore(std::string_view text)
{
    BOOST_OUTCOME_TRY(snapshot, decodeConfigSnapshot(text));
    this->adoptSnapshot(snapshot);
    return done();
}

void ConfigTail::apply(std::uint64_t offset, std::string_view body)
{
    const Result<ConfigChange> change = decodeConfigChange(body);
    if (change.has_value()) {
        this->working.apply(offset, change.value());
    } else {
        ++this->undecodable;
        this->working.skip(offset);
    }
}

void ConfigTail::noteHead(TimePoint sentAt)
{
    this->readAt = sentAt;
    this->publish();
}

void ConfigTail::publish()
{
    if (this->working.nextOffset() != this->current->nextOffset()) {
        this->current = std::make_shared<const ConfigState>(this->working);
    }
    this->onAdvance();
}

} // namespace flamingosaddle
