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
 * The append-only streams of the platform's log. Holds the last records of each stream, as many as the retention says,
 * and remembers offset and size of every append.
 */
class LogStore
{
public:
    // Commands.

    /** Appends a record and answers its offset, or nothing when there is no such stream. */
    std::optional<std::uint64_t> append(std::string_view stream, std::string body);

    /** Drops the records below @p first. */
    void trim(std::string_view stream, std::uint64_t first);

    /** The number of records that each stream holds; 0 holds all. */
    void setRetention(std::size_t records);

    // Queries.
    bool hasStream(std::string_view stream) const;
    std::uint64_t first(std::string_view stream) const;
    std::uint64_t head(std::string_view stream) const;
    std::vector<StoredRecord> read(std::string_view stream, std::uint64_t from, std::size_t limit) const;
    Json audit() const;

private:
    struct Stream {
        std::uint64_t first = 0;
        std::deque<std::string> records;

        std::uint64_t head() const
        {
            return this->first + this->records.size();
        }
        void dropBelow(std::uint64_t offset);
    };

    void applyRetention(Stream &stream) const;

    std::map<std::string, Stream, std::less<>> streams{{"config", {}}, {"config-snapshot", {}}, {"leases", {}},
        {"leases-snapshot", {}}, {"orders", {}}, {"orders-snapshot", {}}, {"usage", {}}, {"usage-snapshot", {}}, {"claims", {}},
        {"claims-snapshot", {}}};
    std::size_t retention = 0;
    Json appends = Json::array();
};

} // namespace flamingosaddle::standins
