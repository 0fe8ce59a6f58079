#include <flamingosaddle/base/metrics.h>

// Boost 1.74 Accumulators uses std::ostringstream without including its header.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>

namespace flamingosaddle
{

namespace
{

namespace accumulators = boost::accumulators;

constexpr std::array<double, 3> estimatedQuantiles = {0.5, 0.95, 0.99};

std::string escapeLabelValue(const std::string &text)
{
    std::string result;
    for (const char character : text) {
        if (character == '\\' || character == '"') {
            result.push_back('\\');
        }
        if (character == '\n') {
            result += "\\n";
        } else {
            result.push_back(character);
        }
    }
    return result;
}

std::string formatLabels(const MetricLabels &labels)
{
    if (labels.empty()) {
        return {};
    }
    std::string text = "{";
    for (const MetricLabel &label : labels) {
        if (text.size() > 1) {
            text += ',';
        }
        text += label.name + "=\"" + escapeLabelValue(label.value) + '"';
    }
    return text + '}';
}

MetricLabels withQuantile(MetricLabels labels, const char *quantile)
{
    labels.push_back({"quantile", quantile});
    return labels;
}

void writeHeader(std::ostream &out, const std::string &name, const std::string &help, const char *type)
{
    out << "# HELP " << name << ' ' << help << '\n';
    out << "# TYPE " << name << ' ' << type << '\n';
}

void writeDistribution(std::ostream &out, const std::string &name, const MetricLabels &labels, const Distribution &distribution)
{
    const Distribution::Summary summary = distribution.summary();
    out << name << formatLabels(withQuantile(labels, "0.5")) << ' ' << summary.median << '\n';
    out << name << formatLabels(withQuantile(labels, "0.95")) << ' ' << summary.p95 << '\n';
    out << name << formatLabels(withQuantile(labels, "0.99")) << ' ' << summary.p99 << '\n';
    out << name << "_sum" << formatLabels(labels) << ' ' << summary.sum << '\n';
    out << name << "_count" << formatLabels(labels) << ' ' << summary.count << '\n';
}

} // namespace

class Distribution::Estimator
{
public:
    Estimator()
        : set(accumulators::extended_p_square_probabilities = estimatedQuantiles)
    {
    }

    accumulators::accumulator_set<double,
        accumulators::stats<accumulators::tag::count, accumulators::tag::sum, accumulators::tag::extended_p_square_quantile>>
        set;
};

Distribution::Distribution()
    : estimator(std::make_unique<Estimator>())
{
}

Distribution::~Distribution() = default;

void Distribution::observe(double value)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->estimator->set(value);
}

Distribution::Summary Distribution::summary() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto &set = this->estimator->set;
    Summary summary;
    summary.count = accumulators::count(set);
    if (summary.count == 0) {
        return summary;
    }
    summary.sum = accumulators::sum(set);
    summary.median = accumulators::quantile(set, accumulators::quantile_probability = 0.5);
    summary.p95 = accumulators::quantile(set, accumulators::quantile_probability = 0.95);
    summary.p99 = accumulators::quantile(set, accumulators::quantile_probability = 0.99);
    return summary;
}

template <typename Instrument>
Instrument &MetricsRegistry::findOrCreate(std::map<std::string, Family<Instrument>> &families, const std::string &name,
    const std::string &help, const MetricLabels &labels)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    Family<Instrument> &family = families[name];
    family.help = help;
    std::unique_ptr<Instrument> &instrument = family.instruments[labels];
    if (!instrument) {
        instrument = std::make_unique<Instrument>();
    }
    return *instrument;
}

Counter &MetricsRegistry::counter(const std::string &name, const std::string &help, const MetricLabels &labels)
{
    return this->findOrCreate(this->counters, name, help, labels);
}

Gauge &MetricsRegistry::gauge(const std::string &name, const std::string &help, const MetricLabels &labels)
{
    return this->findOrCreate(this->gauges, name, help, labels);
}

Distribution &MetricsRegistry::distribution(const std::string &name, const std::string &help, const MetricLabels &labels)
{
    return this->findOrCreate(this->distributions, name, help, labels);
}

std::string MetricsRegistry::prometheusText() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::ostringstream out;
    for (const auto &[name, family] : this->counters) {
        writeHeader(out, name, family.help, "counter");
        for (const auto &[labels, counter] : family.instruments) {
            out << name << formatLabels(labels) << ' ' << counter->value() << '\n';
        }
    }
    for (const auto &[name, family] : this->gauges) {
        writeHeader(out, name, family.help, "gauge");
        for (const auto &[labels, gauge] : family.instruments) {
            out << name << formatLabels(labels) << ' ' << gauge->value() << '\n';
        }
    }
    for (const auto &[name, family] : this->distributions) {
        writeHeader(out, name, family.help, "summary");
        for (const auto &[labels, distribution] : family.instruments) {
            writeDistribution(out, name, labels, *distribution);
        }
    }
    return out.str();
}

} // namespace flamingosaddle
