#include <flamingosaddle/control/configreplica.h>

#include <utility>

namespace flamingosaddle
{

ConfigReplica::ConfigReplica(const Platform &platform, std::function<void()> onUpdate, std::uint64_t seed)
    : onUpdate(std::move(onUpdate))
    , replica(platform, LogStream::Config,
          LogReplicaHooks{
              [this] {
                  return this->workingState.nextOffset();
              },
              [this](std::string_view text) {
                  return this->restoreSnapshot(text);
              },
              [this] {
                  this->discardState();
              },
              [this](const LogRecord &record) {
                  this->applyRecord(record.offset, record.body);
              },
              [this](std::uint64_t, TimePoint sentAt) {
                  this->onLogEnd(sentAt);
              },
          },
          seed)
    , currentState(std::make_shared<const ConfigState>())
{
}

boost::asio::awaitable<void> ConfigReplica::run()
{
    return this->replica.run();
}

void ConfigReplica::stop()
{
    this->replica.stop();
}

bool ConfigReplica::adoptSnapshot(const ConfigState &snapshot)
{
    if (snapshot.nextOffset() <= this->workingState.nextOffset()) {
        return false;
    }
    this->workingState = snapshot;
    this->publishState();
    return true;
}

std::shared_ptr<const ConfigState> ConfigReplica::state() const
{
    return this->currentState;
}

std::optional<TimePoint> ConfigReplica::lastReadAt() const
{
    return this->lastEndReadAt;
}

bool ConfigReplica::isLogReachable() const
{
    return this->replica.isLogReachable();
}

bool ConfigReplica::hasGap() const
{
    return this->replica.hasGap();
}

std::uint64_t ConfigReplica::undecodableCount() const
{
    return this->undecodable;
}

Result<void> ConfigReplica::restoreSnapshot(std::string_view text)
{
    BOOST_OUTCOME_TRY(snapshot, decodeConfigSnapshot(text));
    this->adoptSnapshot(snapshot);
    return success();
}

void ConfigReplica::discardState()
{
    // The published state stays in force until the log has been read to its end.
    this->workingState = ConfigState();
    this->isDiscarded = true;
}

void ConfigReplica::applyRecord(std::uint64_t offset, std::string_view body)
{
    const Result<ConfigChange> change = decodeConfigChange(body);
    if (change.has_value()) {
        this->workingState.apply(offset, change.value());
    } else {
        ++this->undecodable;
        this->workingState.skip(offset);
    }
}

void ConfigReplica::onLogEnd(TimePoint sentAt)
{
    this->lastEndReadAt = sentAt;
    this->publishState();
}

void ConfigReplica::publishState()
{
    if (std::exchange(this->isDiscarded, false) || this->workingState.nextOffset() != this->currentState->nextOffset()) {
        this->currentState = std::make_shared<const ConfigState>(this->workingState);
    }
    this->onUpdate();
}

} // namespace flamingosaddle
