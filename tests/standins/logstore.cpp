#include "logstore.h"

#include <algorithm>

namespace flamingosaddle::standins
{

namespace
{

constexpr std::size_t maxReadBytes = 4UL * 1024 * 1024; ///< of one answer

} // namespace

void LogStore::Stream::dropBelow(std::uint64_t offset)
{
    while (this->first < offset && !this->records.empty()) {
        this->records.pop_front();
        ++this->first;
    }
}

std::optional<std::uint64_t> LogStore::append(std::string_view stream, std::string body)
{
    const auto found = this->streams.find(stream);
    if (found == this->streams.end()) {
        return std::nullopt;
    }
    const std::uint64_t offset = found->second.head();
    this->appends.push_back({{"stream", stream}, {"offset", offset}, {"bytes", body.size()}});
    found->second.records.push_back(std::move(body));
    this->applyRetention(found->second);
    return offset;
}

void LogStore::trim(std::string_view stream, std::uint64_t first)
{
    const auto found = this->streams.find(stream);
    if (found != this->streams.end()) {
        found->second.dropBelow(first);
    }
}

void LogStore::setRetention(std::size_t records)
{
    this->retention = records;
    for (auto &[name, stream] : this->streams) {
        this->applyRetention(stream);
    }
}

bool LogStore::hasStream(std::string_view stream) const
{
    return this->streams.contains(stream);
}

std::uint64_t LogStore::first(std::string_view stream) const
{
    const auto found = this->streams.find(stream);
    return found == this->streams.end() ? 0 : found->second.first;
}

std::uint64_t LogStore::head(std::string_view stream) const
{
    const auto found = this->streams.find(stream);
    return found == this->streams.end() ? 0 : found->second.head();
}

std::vector<StoredRecord> LogStore::read(std::string_view stream, std::uint64_t from, std::size_t limit) const
{
    std::vector<StoredRecord> result;
    const auto found = this->streams.find(stream);
    if (found == this->streams.end()) {
        return result;
    }
    const Stream &held = found->second;
    std::size_t bytes = 0;
    for (std::uint64_t offset = std::max(from, held.first); offset < held.head() && result.size() < limit; ++offset) {
        const std::string &body = held.records[offset - held.first];
        bytes += body.size();
        if (bytes > maxReadBytes && !result.empty()) {
            break;
        }
        result.push_back({offset, body});
    }
    return result;
}

Json LogStore::audit() const
{
    return this->appends;
}

void LogStore::applyRetention(Stream &stream) const
{
    if (this->retention != 0 && stream.records.size() > this->retention) {
        stream.dropBelow(stream.head() - this->retention);
    }
}

} // namespace flamingosaddle::standins
