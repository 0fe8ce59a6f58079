#include <flamingosaddle/relay/ssesplitter.h>

#include <charconv>
#include <cstring>
#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::string_view dataField = "data:";
constexpr std::string_view idField = "id:";
constexpr std::string_view doneData = "[DONE]";

std::size_t skipBlanks(std::string_view text, std::size_t position)
{
    while (position < text.size() && (text[position] == ' ' || text[position] == '\t')) {
        ++position;
    }
    return position;
}

bool contains(std::string_view text, std::string_view part)
{
    return memmem(text.data(), text.size(), part.data(), part.size()) != nullptr;
}

/**
 * Returns the first character of the value of a JSON member, or 0 if there is none. Searching for the quoted name is safe:
 * inside a JSON string its quotes would be escaped.
 */
char firstCharOfValue(std::string_view json, std::string_view quotedName)
{
    const void *found = memmem(json.data(), json.size(), quotedName.data(), quotedName.size());
    if (found == nullptr) {
        return 0;
    }
    std::size_t position = static_cast<std::size_t>(static_cast<const char *>(found) - json.data()) + quotedName.size();
    position = skipBlanks(json, position);
    if (position >= json.size() || json[position] != ':') {
        return 0;
    }
    position = skipBlanks(json, position + 1);
    return position < json.size() ? json[position] : '\0';
}

bool isEmptyValue(std::string_view json, std::string_view quotedName, char opening, char closing)
{
    const void *found = memmem(json.data(), json.size(), quotedName.data(), quotedName.size());
    if (found == nullptr) {
        return false;
    }
    const std::size_t start = static_cast<std::size_t>(static_cast<const char *>(found) - json.data()) + quotedName.size();
    const std::size_t open = json.find(opening, start);
    return open != std::string_view::npos && open + 1 < json.size() && json[open + 1] == closing;
}

/** Whether this is the initial event of a chat stream, which carries the role and no text. */
bool isInitialEvent(std::string_view data)
{
    return contains(data, "\"role\"") && (!contains(data, "\"content\"") || isEmptyValue(data, "\"content\"", '"', '"'));
}

} // namespace

SseSplitter::SseSplitter(StreamEnd end)
    : end(end)
{
}

SseSplitter::Batch SseSplitter::feed(std::string_view piece)
{
    if (this->done || this->eventTooLarge) {
        return {};
    }
    std::string_view text = piece;
    if (!this->partialEvent.empty()) {
        this->partialEvent.append(piece);
        std::swap(this->partialEvent, this->joined);
        this->partialEvent.clear();
        text = this->joined;
    }
    const Batch batch = this->scan(text);
    if (!this->done) {
        this->partialEvent.append(text.substr(batch.events.size()));
        this->eventTooLarge = this->partialEvent.size() > maxEventBytes;
    }
    return batch;
}

SseSplitter::Batch SseSplitter::scan(std::string_view text)
{
    Batch batch;
    Event event;
    std::size_t position = 0;
    while (!this->done && position < text.size()) {
        const void *newline = std::memchr(text.data() + position, '\n', text.size() - position);
        if (newline == nullptr) {
            break;
        }
        const auto end = static_cast<std::size_t>(static_cast<const char *>(newline) - text.data());
        std::string_view line = text.substr(position, end - position);
        position = end + 1;
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (!line.empty()) {
            parseLine(line, event);
            continue;
        }
        this->finishEvent(event, batch);
        event = {};
        if (!this->done) {
            batch.events = text.substr(0, position);
        }
    }
    return batch;
}

void SseSplitter::parseLine(std::string_view line, Event &event)
{
    if (!event.hasData && line.starts_with(dataField)) {
        event.data = line.substr(skipBlanks(line, dataField.size()));
        event.hasData = true;
    } else if (line.starts_with(idField)) {
        const std::string_view text = line.substr(skipBlanks(line, idField.size()));
        std::uint64_t number = 0;
        const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
        if (read.ec == std::errc() && read.ptr == text.data() + text.size()) {
            event.id = number;
        }
    }
}

void SseSplitter::recordEventId(std::uint64_t number, Batch &batch)
{
    if (!batch.firstEventId.has_value()) {
        batch.firstEventId = number;
    } else if (number != *batch.lastEventId + 1) {
        batch.isConsecutive = false;
    }
    batch.lastEventId = number;
}

void SseSplitter::finishEvent(const Event &event, Batch &batch)
{
    if (event.id.has_value()) {
        recordEventId(*event.id, batch);
    }
    if (!event.hasData) {
        return;
    }
    if (this->end == StreamEnd::EndOfBody) {
        ++batch.tokens;
        return;
    }
    if (event.data == doneData) {
        this->done = true;
        return;
    }
    if (this->countsAsToken(event.data)) {
        ++batch.tokens;
        ++this->tokenCount;
    } else if (firstCharOfValue(event.data, "\"usage\"") == '{') {
        this->usageData = event.data;
    }
}

bool SseSplitter::countsAsToken(std::string_view data)
{
    const char reason = firstCharOfValue(data, "\"finish_reason\"");
    if (reason == '"') {
        return false;
    }
    if (reason == 0 && isEmptyValue(data, "\"choices\"", '[', ']')) {
        return false;
    }
    return this->tokenCount > 0 || !isInitialEvent(data);
}

bool SseSplitter::isDone() const
{
    return this->end == StreamEnd::DoneEvent ? this->done : this->partialEvent.empty() && !this->eventTooLarge;
}

bool SseSplitter::isEventTooLarge() const
{
    return this->eventTooLarge;
}

const std::string &SseSplitter::usage() const
{
    return this->usageData;
}

} // namespace flamingosaddle
