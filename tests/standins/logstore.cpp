#include "logstore.h"

#include <algorithm>

namespace flamingosaddle::standins
{

namespace
{

constexpr std::string_view keyedPrefix = "keyed.";

} // namespace

void LogStore::Topic::dropBelow(std::uint64_t offset)
{
    while (this->first < offset && !this->records.empty()) {
        this->records.pop_front();
        ++this->first;
    }
}

void LogStore::Topic::keepNewest(std::uint64_t offset, const std::string &record)
{
    // One byte with the length of the key, the key, and the value.
    const std::size_t keyEnd = record.empty() ? 0 : std::size_t{1} + static_cast<unsigned char>(record.front());
    if (keyEnd == 0 || record.size() < keyEnd) {
        return;
    }
    const std::string key = record.substr(1, keyEnd - 1);
    if (record.size() == keyEnd) {
        this->newest.erase(key);
    } else {
        this->newest[key] = {offset, record.substr(keyEnd)};
    }
}

std::optional<std::uint64_t> LogStore::append(std::string_view topic, std::string body, std::optional<std::uint64_t> at)
{
    Topic &held = this->topics.try_emplace(std::string(topic)).first->second;
    const std::uint64_t offset = held.head();
    if (at.has_value() && *at != offset) {
        return std::nullopt;
    }
    this->appends.push_back({{"topic", topic}, {"offset", offset}, {"bytes", body.size()}});
    if (topic.starts_with(keyedPrefix)) {
        held.keepNewest(offset, body);
    }
    held.records.push_back(std::move(body));
    this->applyRetention(held);
    return offset;
}

void LogStore::trim(std::string_view topic, std::uint64_t first)
{
    const auto found = this->topics.find(topic);
    if (found != this->topics.end()) {
        found->second.dropBelow(first);
    }
}

void LogStore::setRetention(std::size_t records)
{
    this->retention = records;
    for (auto &[name, topic] : this->topics) {
        this->applyRetention(topic);
    }
}

std::uint64_t LogStore::first(std::string_view topic) const
{
    const auto found = this->topics.find(topic);
    return found == this->topics.end() ? 0 : found->second.first;
}

std::uint64_t LogStore::head(std::string_view topic) const
{
    const auto found = this->topics.find(topic);
    return found == this->topics.end() ? 0 : found->second.head();
}

std::vector<StoredRecord> LogStore::read(std::string_view topic, std::uint64_t from, std::size_t maxBytes) const
{
    std::vector<StoredRecord> result;
    const auto found = this->topics.find(topic);
    if (found == this->topics.end()) {
        return result;
    }
    const Topic &held = found->second;
    std::size_t bytes = 0;
    for (std::uint64_t offset = std::max(from, held.first); offset < held.head(); ++offset) {
        const std::string &body = held.records[offset - held.first];
        bytes += body.size();
        if (bytes > maxBytes && !result.empty()) {
            break;
        }
        result.push_back({offset, body});
    }
    return result;
}

std::map<std::string, StoredRecord> LogStore::newest(std::string_view topic) const
{
    const auto found = this->topics.find(topic);
    return found == this->topics.end() ? std::map<std::string, StoredRecord>() : found->second.newest;
}

Json LogStore::audit() const
{
    return this->appends;
}

void LogStore::applyRetention(Topic &topic) const
{
    if (this->retention != 0 && topic.records.size() > this->retention) {
        topic.dropBelow(topic.head() - this->retention);
    }
}

} // namespace flamingosaddle::standins
