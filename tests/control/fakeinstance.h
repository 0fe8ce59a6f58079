#pragma once

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/control/directory.h>
#include <flamingosaddle/platform/storeoffset.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingosaddle
{

/** The configurations and servers' entries in the store. */
struct FakeStore {
    std::vector<PublishedConfig> configs;
    std::vector<EvacuationChange> evacuations; // each at the offset of a repeated configuration
    std::vector<ServerChange> entries;
    std::uint64_t epoch = 0; ///< of the servers' entries

    /** Replaces the servers' entries by those of a backup. */
    void restore(std::vector<ServerChange> backup)
    {
        this->entries = std::move(backup);
        ++this->epoch;
    }

    void evacuate(const DataCentre &dataCentre, bool evacuated)
    {
        this->evacuations.push_back({dataCentre, evacuated, this->configs.size()});
        this->configs.push_back(this->configs.back());
    }

    /** Returns the records from @p from on, or the newest of each data centre that is evacuated. */
    std::vector<EvacuationChange> evacuationsSince(std::optional<std::uint64_t> from) const
    {
        std::map<DataCentre, EvacuationChange> newest;
        std::vector<EvacuationChange> since;
        for (const EvacuationChange &change : this->evacuations) {
            newest.insert_or_assign(change.dataCentre, change);
            if (from.has_value() && change.offset >= *from) {
                since.push_back(change);
            }
        }
        for (const auto &[dataCentre, change] : newest) {
            if (!from.has_value() && change.isEvacuated) {
                since.push_back(change);
            }
        }
        return since;
    }

    void publish(std::uint64_t version)
    {
        PublishedConfig config;
        config.version = version;
        config.offset = this->configs.size();
        this->configs.push_back(config);
    }

    void put(const std::string &id, const ServiceName &service = {}, const std::string &softwareVersion = {},
        std::chrono::milliseconds startedAt = {})
    {
        RegisteredServer registered;
        registered.server.id = BackendServerId(id);
        registered.server.service = service;
        registered.server.softwareVersion = softwareVersion;
        registered.startedAt = static_cast<std::uint64_t>(startedAt.count());
        this->entries.push_back({registered.server.id, registered});
    }

    void remove(const std::string &id)
    {
        this->entries.push_back({BackendServerId(id), std::nullopt});
    }
};

/** The directory of one instance, with its calls to the store and its requests to the relay. */
struct FakeInstance {
    FakeInstance(boost::asio::io_context &context, FakeStore &store, bool isRelay)
        : store(store)
        , isRelay(isRelay)
        , directory(
              this->hooks(), this->relayHooks(), DirectoryOptions(),
              [this] {
                  if (this->onUpdate) {
                      this->onUpdate();
                  }
              },
              [this](TimePoint confirmedAt) {
                  this->serversConfirmedAt = confirmedAt;
              })
    {
        boost::asio::co_spawn(context, this->directory.runConfig(), boost::asio::detached);
        boost::asio::co_spawn(context, this->directory.runServers(), boost::asio::detached);
        boost::asio::co_spawn(context, this->directory.runServerExpiry(), boost::asio::detached);
    }

    DirectoryHooks hooks()
    {
        DirectoryHooks hooks;
        hooks.readConfig = [this](std::optional<std::uint64_t> from, std::chrono::milliseconds wait) {
            return this->readConfig(from, wait);
        };
        hooks.readServers = [this](std::optional<std::uint64_t> from, std::chrono::milliseconds wait) {
            return this->readServers(from, wait);
        };
        return hooks;
    }

    DirectoryRelayHooks relayHooks()
    {
        DirectoryRelayHooks hooks;
        hooks.isRelay = [this] {
            return this->isRelay;
        };
        hooks.requestServers = [this](const Endpoint &, std::uint64_t from) {
            this->requestedFrom = from;
        };
        return hooks;
    }

    template <typename Condition>
    boost::asio::awaitable<Result<void>> waitForChange(std::chrono::milliseconds wait, Condition hasChanged)
    {
        const TimePoint deadline = RuntimeClock::now() + wait;
        ++this->calls;
        while (!this->isStoreUnreachable && !hasChanged() && RuntimeClock::now() < deadline) {
            co_await delay(std::chrono::milliseconds(10));
        }
        if (this->isStoreUnreachable) {
            co_await delay(this->failureDelay);
            co_return fail(ErrorKind::Unreachable, "the store is unreachable", "try again");
        }
        co_return success();
    }

    boost::asio::awaitable<Result<ConfigReadResult>> readConfig(std::optional<std::uint64_t> from, std::chrono::milliseconds wait)
    {
        const std::size_t begin = from.value_or(0);
        BOOST_OUTCOME_CO_TRYV(co_await this->waitForChange(from.has_value() ? wait : std::chrono::milliseconds(0), [this, begin] {
            return this->store.configs.size() > begin;
        }));
        ConfigReadResult reading;
        reading.nextOffset = this->store.configs.size();
        reading.isAtEnd = true;
        reading.isComplete = !from.has_value();
        reading.evacuations = this->store.evacuationsSince(from);
        if (reading.nextOffset > begin) {
            reading.newest = this->store.configs.back();
        }
        co_return reading;
    }

    boost::asio::awaitable<Result<ServerReadResult>> readServers(
        std::optional<std::uint64_t> from, std::chrono::milliseconds wait)
    {
        const std::size_t begin = positionOf(from.value_or(0));
        const auto isRestored = [this, from] {
            return from.has_value() && epochOf(*from) != this->store.epoch;
        };
        BOOST_OUTCOME_CO_TRYV(
            co_await this->waitForChange(from.has_value() ? wait : std::chrono::milliseconds(0), [this, begin, isRestored] {
                return this->store.entries.size() > begin || isRestored();
            }));
        if (isRestored()) {
            co_return fail(ErrorKind::Trimmed, "the store was restored", "read it anew");
        }
        ServerReadResult reading;
        reading.nextOffset = makeOffset(this->store.epoch, this->store.entries.size());
        reading.isComplete = !from.has_value();
        reading.changes.assign(this->store.entries.begin() + static_cast<std::ptrdiff_t>(begin), this->store.entries.end());
        co_return reading;
    }

    bool hasServer(const std::string &id) const
    {
        return this->directory.servers().servers().contains(BackendServerId(id));
    }

    FakeStore &store;
    bool isRelay;
    bool isStoreUnreachable = false; ///< whether the store is unreachable for this instance
    Duration failureDelay{0}; ///< time until a call to an unreachable store fails
    std::size_t calls = 0;
    std::function<void()> onUpdate; ///< called when the directory has changed
    std::optional<TimePoint> serversConfirmedAt; ///< as the directory reported last
    std::optional<std::uint64_t> requestedFrom; ///< offset from which entries were requested from the relay
    Directory directory;
};

} // namespace flamingosaddle
