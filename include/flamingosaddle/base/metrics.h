#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace flamingosaddle
{

struct MetricLabel {
    std::string name;
    std::string value;

    friend auto operator<=>(const MetricLabel &, const MetricLabel &) = default;
};

using MetricLabels = std::vector<MetricLabel>;

/**
 * A monotonically increasing counter. Thread-safe.
 */
class Counter
{
public:
    void add(std::uint64_t count = 1)
    {
        this->total.fetch_add(count, std::memory_order_relaxed);
    }

    std::uint64_t value() const
    {
        return this->total.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> total{0};
};

/**
 * A value that can go up and down. Thread-safe.
 */
class Gauge
{
public:
    void set(double value)
    {
        this->current.store(value, std::memory_order_relaxed);
    }

    double value() const
    {
        return this->current.load(std::memory_order_relaxed);
    }

private:
    std::atomic<double> current{0.0};
};

/**
 * Estimates the quantiles 0.5, 0.95 and 0.99 of all observed values in constant memory. Thread-safe.
 */
class Distribution
{
public:
    struct Summary {
        std::uint64_t count = 0;
        double sum = 0.0;
        double median = 0.0;
        double p95 = 0.0;
        double p99 = 0.0;

        friend bool operator==(const Summary &, const Summary &) = default;
    };

    Distribution();
    ~Distribution();

    void observe(double value);
    Summary summary() const;

private:
    class Estimator;
    mutable std::mutex mutex;
    std::unique_ptr<Estimator> estimator;
};

/**
 * Holds all metrics of a process by name and labels. An instrument lives as long as the registry; requests for the same
 * name and labels return the same instrument. Thread-safe.
 */
class MetricsRegistry
{
public:
    // Commands.
    Counter &counter(const std::string &name, const std::string &help, const MetricLabels &labels = {});
    Gauge &gauge(const std::string &name, const std::string &help, const MetricLabels &labels = {});
    Distribution &distribution(const std::string &name, const std::string &help, const MetricLabels &labels = {});

    // Queries.
    /** Returns all metrics in the Prometheus text format. */
    std::string prometheusText() const;

private:
    template <typename Instrument>
    struct Family {
        std::string help;
        std::map<MetricLabels, std::unique_ptr<Instrument>> instruments;
    };

    template <typename Instrument>
    Instrument &findOrCreate(std::map<std::string, Family<Instrument>> &families, const std::string &name,
        const std::string &help, const MetricLabels &labels);

    mutable std::mutex mutex;
    std::map<std::string, Family<Counter>> counters;
    std::map<std::string, Family<Gauge>> gauges;
    std::map<std::string, Family<Distribution>> distributions;
};

} // namespace flamingosaddle
