#pragma once

#include <flamingosaddle/base/clock.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingosaddle
{

/**
 * Names one trace; all zero is no trace.
 */
struct TraceId {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    std::string hex() const;

    friend bool operator==(const TraceId &, const TraceId &) = default;
};

/**
 * Names one span of a trace; 0 is no span.
 */
enum class SpanId : std::uint64_t {
};

/**
 * What passes from hop to hop in the W3C `traceparent` header.
 */
struct TraceContext {
    TraceId trace;
    SpanId span{};
    bool sampled = false;

    /** Reads a `traceparent` value. Answers nothing when it is not valid. */
    static std::optional<TraceContext> parse(std::string_view text);
    std::string format() const;

    friend bool operator==(const TraceContext &, const TraceContext &) = default;
};

struct SpanAttribute {
    std::string name;
    std::string value;

    friend bool operator==(const SpanAttribute &, const SpanAttribute &) = default;
};

/**
 * One finished piece of work inside a trace.
 */
struct Span {
    TraceId trace;
    SpanId id{};
    SpanId parent{}; ///< 0 for the first span of a trace
    std::string name;
    TimePoint start;
    TimePoint end;
    std::vector<SpanAttribute> attributes; ///< hold no secret

    friend bool operator==(const Span &, const Span &) = default;
};

/** Takes each finished span that is sampled. Any thread may call it. */
using SpanExporter = std::function<void(const Span &)>;

/**
 * One span as a line of OTLP/JSON, as an OpenTelemetry collector reads it from a file.
 *
 * @param unixTimeAtZero the Unix time at which the RuntimeClock shows zero
 */
std::string otlpJsonLine(const Span &span, std::string_view serviceName, std::chrono::nanoseconds unixTimeAtZero);

/**
 * Starts traces and decides which of them are recorded. Any thread may call anything.
 */
class Tracer
{
public:
    /** Records nothing. */
    Tracer() = default;

    /** @param sampledFraction share of the traces that begin here that is recorded, 0 to 1 */
    Tracer(SpanExporter exporter, double sampledFraction);

    /**
     * The context that a request came with, or that of a new trace. The caller's decision about sampling holds, but a
     * trace is never recorded without an exporter.
     */
    TraceContext begin(std::string_view traceparent) const;

    void record(const Span &span) const;

private:
    SpanExporter exporter;
    double sampledFraction = 0.0;
};

/**
 * A piece of work that is going on; recorded when it ends, or when the object is destroyed. Used from one thread.
 */
class ActiveSpan
{
public:
    ActiveSpan(const Tracer &tracer, const TraceContext &parent, std::string_view name);
    ~ActiveSpan();
    ActiveSpan(const ActiveSpan &) = delete;
    ActiveSpan &operator=(const ActiveSpan &) = delete;

    // Commands.
    void add(std::string_view name, std::string_view value);
    void end();

    // Queries.
    /** The context for the hops below this one. */
    TraceContext context() const;

private:
    const Tracer &tracer;
    Span span;
    bool sampled;
    bool ended = false;
};

/** 128 random bits in hexadecimal digits, for instance to name a request. */
std::string randomHexId();

} // namespace flamingosaddle
