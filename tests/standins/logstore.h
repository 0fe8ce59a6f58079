#pragma once

#include "json.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingosaddle::standins
{

struct StoredRecord {
    std::uint64_t offset = 0;
    std::string body;

    friend bool operator==(const StoredRecord &, const StoredRecord &) = default;
};

/**
 * The append-only topics of the platform's store. Holds the last records of each topic, as many as the retention says, the
 * newest record of each key of a keyed topic for ever, and remembers offset and size of every append.
 */
class LogStore
{
public:
    // Commands.

    /** Appends a record and answers its offset, or nothing when the topic does not end at @p at. */
    std::optional<std::uint64_t> append(std::string_view topic, std::string body, std::optional<std::uint64_t> at = std::nullopt);

    /** Drops the records below @p first; the newest of each key stay. */
    void trim(std::string_view topic, std::uint64_t first);

    /** The number of records that each topic holds; 0 holds all. */
    void setRetention(std::size_t records);

    // Queries.
    std::uint64_t first(std::string_view topic) const;
    std::uint64_t head(std::string_view topic) const;
    std::vector<StoredRecord> read(std::string_view topic, std::uint64_t from, std::size_t maxBytes) const;
    /** The newest value of each key of a keyed topic, where it has one. */
    std::map<std::string, StoredRecord> newest(std::string_view topic) const;
    Json audit() const;

private:
    struct Topic {
        std::uint64_t first = 0;
        std::deque<std::string> records;
        std::map<std::string, StoredRecord> newest;

        std::uint64_t head() const
        {
            return this->first + this->records.size();
        }
        void dropBelow(std::uint64_t offset);
        void keepNewest(std::uint64_t offset, const std::string &record);
    };

    void applyRetention(Topic &topic) const;

    std::map<std::string, Topic, std::less<>> topics;
    std::size_t retention = 0;
    Json appends = Json::array();
};

} // namespace flamingosaddle::standins
