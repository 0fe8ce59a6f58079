#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flamingosaddle
{

/**
 * How the end of a stream is recognised.
 */
enum class StreamEnd {
    DoneEvent, ///< the event `[DONE]`
    EndOfBody, ///< the end of the body after a complete event; the events carry ids
};

/**
 * Splits the body of a streamed completion into complete server-sent events, counts their tokens and detects the end of the
 * stream. With StreamEnd::DoneEvent an event counts as one token unless it carries a finish reason, an empty list of choices
 * or only the initial role. With StreamEnd::EndOfBody every event with data counts.
 */
class SseSplitter
{
public:
    static constexpr std::size_t maxEventBytes = std::size_t{1024} * 1024;

    struct Batch {
        std::string_view events; ///< complete events before `[DONE]`; valid until the next call of feed()
        std::uint32_t tokens = 0; ///< tokens in these events
        std::optional<std::uint64_t> firstEventId; ///< id of the first event that has one
        std::optional<std::uint64_t> lastEventId; ///< id of the last event that has one
        bool isConsecutive = true; ///< whether each id is the previous one plus 1
    };

    explicit SseSplitter(StreamEnd end = StreamEnd::DoneEvent);

    // Commands.
    /** Parses the next bytes of the body. Bytes after the event `[DONE]` are ignored. */
    Batch feed(std::string_view piece);

    // Queries.
    bool isDone() const; ///< whether the stream is complete as received so far
    bool isEventTooLarge() const; ///< whether an event exceeds maxEventBytes; the stream cannot be relayed then
    const std::string &usage() const; ///< data of the last event with a usage report, or an empty text

private:
    struct Event {
        std::string_view data; // value of the first data line
        bool hasData = false;
        std::optional<std::uint64_t> id;
    };

    Batch scan(std::string_view text);
    static void parseLine(std::string_view line, Event &event);
    static void recordEventId(std::uint64_t number, Batch &batch);
    void finishEvent(const Event &event, Batch &batch);
    bool countsAsToken(std::string_view data);

    StreamEnd end;
    std::string joined;
    std::string partialEvent; // incomplete event at the end of the input
    std::string usageData;
    std::uint64_t tokenCount = 0;
    bool done = false;
    bool eventTooLarge = false;
};

} // namespace flamingosaddle
