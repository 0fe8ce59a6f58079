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
 * The 128-bit identifier of a trace; all zero means no trace.
 */
struct TraceId {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    std::string hex() const;

    friend bool operator==(const TraceId &, const TraceId &) = default;
};

/**
 * The identifier of a span within a trace; 0 means no span.
 */
enum class SpanId : std::uint64_t {
};

/**
 * The trace context that is propagated in the W3C `traceparent` header.
 */
struct TraceContext {
    TraceId traceId;
    SpanId spanId{};
    bool sampled = false;

    /** Parses a `traceparent` value. Returns nothing when it is not valid. */
    static std::optional<TraceContext> parse(std::string_view text);
    /** Returns the `traceparent` value. */
    std::string format() const;

    friend bool operator==(const TraceContext &, const TraceContext &) = default;
};

struct SpanAttribute {
    std::string name;
    std::string value;

    friend bool operator==(const SpanAttribute &, const SpanAttribute &) = default;
};

/**
 * One finished operation of a trace.
 */
struct Span {
    TraceId traceId;
    SpanId id{};
    SpanId parentId{}; ///< 0 for the root span of a trace
    std::string name;
    TimePoint start;
    TimePoint end;
    std::vector<SpanAttribute> attributes; ///< must not contain secrets

    friend bool operator==(const Span &, const Span &) = default;
};

/** Exports one finished, sampled span. Called from any thread. */
using SpanExporter = std::function<void(const Span &)>;

/**
 * Returns @p span as a line of OTLP/JSON, the format that an OpenTelemetry collector reads from files.
 *
 * @param unixTimeAtZero Unix time at which RuntimeClock is zero
 */
std::string otlpJsonLine(const Span &span, std::string_view serviceName, std::chrono::nanoseconds unixTimeAtZero);

/**
 * Starts traces and decides which of them are recorded. Thread-safe.
 */
class Tracer
{
public:
    /** Creates a tracer that records nothing. */
    Tracer() = default;

    /** @param sampledFraction fraction of the traces started by this tracer that is recorded, 0 to 1 */
    Tracer(SpanExporter exporter, double sampledFraction);

    /**
     * Returns the context in a request's `traceparent` header, or that of a new trace if the header is not valid. The caller's
     * sampling decision is kept, but nothing is recorded without an exporter.
     */
    TraceContext contextFromHeader(std::string_view traceparent) const;

    void record(const Span &span) const;

private:
    SpanExporter exporter;
    double sampledFraction = 0.0;
};

/**
 * A span in progress. It is recorded by end(), or when the object is destroyed. Not thread-safe.
 */
class ActiveSpan
{
public:
    ActiveSpan(const Tracer &tracer, const TraceContext &parent, std::string_view name);
    ~ActiveSpan();
    ActiveSpan(const ActiveSpan &) = delete;
    ActiveSpan &operator=(const ActiveSpan &) = delete;

    // Commands.
    void addAttribute(std::string_view name, std::string_view value);
    void end();

    // Queries.
    /** Returns the context to propagate to downstream hops. */
    TraceContext context() const;

private:
    const Tracer &tracer;
    Span span;
    bool sampled;
    bool ended = false;
};

/** Returns 128 random bits as hexadecimal digits, for instance as a request id. */
std::string randomHexId();

} // namespace flamingosaddle
