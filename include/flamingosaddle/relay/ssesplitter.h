#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flamingosaddle
{

/**
 * How the end of a stream is known.
 */
enum class StreamEnd {
    Mark, ///< by the event `[DONE]`
    Body, ///< by the end of the body behind a whole event; the events carry numbers
};

/**
 * Cuts the body of a streamed completion into whole server-sent events, counts the tokens in them and notices the end. With
 * an end mark an event counts as one token unless it carries a finish reason, no choice, or only the role at the start;
 * without one every event with data counts.
 */
class SseSplitter
{
public:
    static constexpr std::size_t maxEventBytes = std::size_t{1024} * 1024;

    struct Batch {
        std::string_view events; ///< whole events before the end mark; valid until the next call of feed()
        std::uint32_t tokens = 0; ///< in them
        std::optional<std::uint64_t> firstNumber; ///< of the first event with a number
        std::optional<std::uint64_t> lastNumber; ///< of the last one
        bool isConsecutive = true; ///< whether each number is one more than the one before
    };

    explicit SseSplitter(StreamEnd end = StreamEnd::Mark);

    // Commands.
    /** Takes in the next bytes of the body. What comes after the end mark is ignored. */
    Batch feed(std::string_view piece);

    // Queries.
    bool isDone() const; ///< whether what came so far is a whole stream
    bool isOverflown() const; ///< whether an event is larger than maxEventBytes; the stream cannot be relayed then
    const std::string &usage() const; ///< data of the last event that reports the usage, or an empty text

private:
    struct Event {
        std::string_view data; // of its first data line
        bool hasData = false;
        std::optional<std::uint64_t> number;
    };

    Batch scan(std::string_view text);
    static void takeLine(std::string_view line, Event &event);
    static void noteNumber(std::uint64_t number, Batch &batch);
    void endEvent(const Event &event, Batch &batch);
    bool isToken(std::string_view data);

    StreamEnd end;
    std::string ready;
    std::string pending; // the beginning of an event
    std::string usageData;
    std::uint64_t tokensSeen = 0;
    bool done = false;
    bool overflown = false;
};

} // namespace flamingosaddle
