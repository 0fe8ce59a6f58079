#include <flamingosaddle/base/metrics.h>

#include <gtest/gtest.h>

using namespace flamingosaddle;

TEST(MetricsRegistry, ReturnsTheSameInstrumentForTheSameNameAndLabels)
{
    MetricsRegistry registry;
    registry.counter("requests_total", "Requests", {{"class", "chat"}}).add(2);
    registry.counter("requests_total", "Requests", {{"class", "chat"}}).add();
    registry.counter("requests_total", "Requests", {{"class", "plan"}}).add();
    EXPECT_EQ(registry.prometheusText(),
        "# HELP requests_total Requests\n"
        "# TYPE requests_total counter\n"
        "requests_total{class=\"chat\"} 3\n"
        "requests_total{class=\"plan\"} 1\n");
}

TEST(MetricsRegistry, EscapesLabelValues)
{
    MetricsRegistry registry;
    registry.gauge("g", "Help", {{"name", "a\"b\\c\nd"}}).set(1.5);
    EXPECT_NE(registry.prometheusText().find("g{name=\"a\\\"b\\\\c\\nd\"} 1.5\n"), std::string::npos);
}

TEST(Distribution, EstimatesQuantilesOfAUniformRange)
{
    Distribution distribution;
    for (int i = 0; i < 10000; ++i) {
        distribution.observe((i * 7919) % 10000);
    }
    const Distribution::Summary summary = distribution.summary();
    EXPECT_EQ(summary.count, 10000u);
    EXPECT_NEAR(summary.median, 5000, 250);
    EXPECT_NEAR(summary.p95, 9500, 250);
}

TEST(Distribution, IsEmptyWithoutObservations)
{
    EXPECT_EQ(Distribution().summary(), Distribution::Summary());
}
