#include <flamingosaddle/base/trace.h>

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <random>
#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::size_t hexDigitsPerWord = 16;
constexpr std::size_t traceparentSize = 55; // version 2, trace id 32, span id 16, flags 2, dashes 3
constexpr unsigned int sampledFlag = 1;
constexpr int serverSpanKind = 2; // SPAN_KIND_SERVER

std::uint64_t randomNonZeroWord()
{
    thread_local std::mt19937_64 engine{std::random_device{}()};
    std::uint64_t word = 0;
    while (word == 0) {
        word = engine();
    }
    return word;
}

std::string toHex(std::uint64_t word)
{
    constexpr char digits[] = "0123456789abcdef";
    std::string text(hexDigitsPerWord, '0');
    for (std::size_t i = 0; i < hexDigitsPerWord; ++i) {
        text[hexDigitsPerWord - 1 - i] = digits[(word >> (4 * i)) & 0x0f];
    }
    return text;
}

bool isLowerHex(std::string_view text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::uint64_t parseHex(std::string_view digits)
{
    std::uint64_t word = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), word, 16);
    return word;
}

nlohmann::json attribute(std::string_view name, std::string_view value)
{
    return {{"key", name}, {"value", {{"stringValue", value}}}};
}

std::string unixNanoseconds(TimePoint time, std::chrono::nanoseconds unixTimeAtZero)
{
    return std::to_string((time.time_since_epoch() + unixTimeAtZero).count());
}

} // namespace

std::string TraceId::hex() const
{
    return toHex(this->high) + toHex(this->low);
}

std::optional<TraceContext> TraceContext::parse(std::string_view text)
{
    // Versions after 00 may append further fields, separated by a dash.
    const bool isVersion00 = text.substr(0, 2) == "00";
    if (text.size() < traceparentSize || (isVersion00 && text.size() != traceparentSize) || text.substr(0, 2) == "ff") {
        return std::nullopt;
    }
    if (text[2] != '-' || text[35] != '-' || text[52] != '-' || (text.size() > traceparentSize && text[55] != '-')) {
        return std::nullopt;
    }
    for (const auto &[first, size] : {std::pair{0, 2}, {3, 32}, {36, 16}, {53, 2}}) {
        if (!isLowerHex(text.substr(static_cast<std::size_t>(first), static_cast<std::size_t>(size)))) {
            return std::nullopt;
        }
    }
    TraceContext context;
    context.traceId = {parseHex(text.substr(3, hexDigitsPerWord)), parseHex(text.substr(3 + hexDigitsPerWord, hexDigitsPerWord))};
    context.spanId = SpanId{parseHex(text.substr(36, hexDigitsPerWord))};
    context.sampled = (parseHex(text.substr(53, 2)) & sampledFlag) != 0;
    if (context.traceId == TraceId() || context.spanId == SpanId()) {
        return std::nullopt;
    }
    return context;
}

std::string TraceContext::format() const
{
    return "00-" + this->traceId.hex() + "-" + toHex(static_cast<std::uint64_t>(this->spanId)) + (this->sampled ? "-01" : "-00");
}

std::string otlpJsonLine(const Span &span, std::string_view serviceName, std::chrono::nanoseconds unixTimeAtZero)
{
    nlohmann::json attributes = nlohmann::json::array();
    for (const SpanAttribute &entry : span.attributes) {
        attributes.push_back(attribute(entry.name, entry.value));
    }
    nlohmann::json record = {{"traceId", span.traceId.hex()}, {"spanId", toHex(static_cast<std::uint64_t>(span.id))},
        {"name", span.name}, {"kind", serverSpanKind}, {"startTimeUnixNano", unixNanoseconds(span.start, unixTimeAtZero)},
        {"endTimeUnixNano", unixNanoseconds(span.end, unixTimeAtZero)}, {"attributes", attributes}};
    if (span.parentId != SpanId()) {
        record["parentSpanId"] = toHex(static_cast<std::uint64_t>(span.parentId));
    }
    const nlohmann::json resource = {{"attributes", nlohmann::json::array({attribute("service.name", serviceName)})}};
    const nlohmann::json scope = {{"spans", nlohmann::json::array({record})}};
    const nlohmann::json entry = {{"resource", resource}, {"scopeSpans", nlohmann::json::array({scope})}};
    const nlohmann::json line = {{"resourceSpans", nlohmann::json::array({entry})}};
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Tracer::Tracer(SpanExporter exporter, double sampledFraction)
    : exporter(std::move(exporter))
    , sampledFraction(sampledFraction)
{
}

TraceContext Tracer::contextFromHeader(std::string_view traceparent) const
{
    if (const std::optional<TraceContext> received = TraceContext::parse(traceparent)) {
        return *received;
    }
    TraceContext context;
    context.traceId = {randomNonZeroWord(), randomNonZeroWord()};
    // Samples by the low word of the random trace id, so that every hop that uses it reaches the same decision.
    constexpr double wordRange = 18446744073709551616.0;
    context.sampled = this->exporter && static_cast<double>(context.traceId.low) < this->sampledFraction * wordRange;
    return context;
}

void Tracer::record(const Span &span) const
{
    if (this->exporter) {
        this->exporter(span);
    }
}

ActiveSpan::ActiveSpan(const Tracer &tracer, const TraceContext &parent, std::string_view name)
    : tracer(tracer)
    , sampled(parent.sampled)
{
    this->span.traceId = parent.traceId;
    this->span.id = SpanId{randomNonZeroWord()};
    this->span.parentId = parent.spanId;
    if (this->sampled) {
        this->span.name = name;
        this->span.start = RuntimeClock::now();
    }
}

ActiveSpan::~ActiveSpan()
{
    this->end();
}

void ActiveSpan::addAttribute(std::string_view name, std::string_view value)
{
    if (this->sampled) {
        this->span.attributes.push_back({std::string(name), std::string(value)});
    }
}

void ActiveSpan::end()
{
    if (!this->sampled || this->ended) {
        return;
    }
    this->ended = true;
    this->span.end = RuntimeClock::now();
    this->tracer.record(this->span);
}

TraceContext ActiveSpan::context() const
{
    return {this->span.traceId, this->span.id, this->sampled};
}

std::string randomHexId()
{
    return toHex(randomNonZeroWord()) + toHex(randomNonZeroWord());
}

} // namespace flamingosaddle
