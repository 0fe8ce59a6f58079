// Guards against attempts and bytes that are counted for the wrong data centre, so that operators cannot see what leaves it.

#include <flamingosaddle/app/trafficmetrics.h>

#include <gtest/gtest.h>

#include <string>

using namespace flamingosaddle;

TEST(TrafficMetrics, CountsAttemptsAndBytesByTheServersDataCentre)
{
    MetricsRegistry registry;
    const SharedRoutingSnapshot board;
    TrafficMetrics metrics(registry, board, DataCentre("a"));
    RequestOutcome outcome;
    outcome.target.service = ServiceName("lookup");
    outcome.traffic = {{DataCentre("a"), 100, 0}, {DataCentre("b"), 100, 2000}, {DataCentre("c"), 100, 30}};
    metrics.observe(outcome);
    const std::string text = registry.prometheusText();
    for (const std::string line : {
             "flamingosaddle_data_centre_attempts_total{target=\"lookup\",place=\"own\"} 1",
             "flamingosaddle_data_centre_attempts_total{target=\"lookup\",place=\"other\"} 2",
             "flamingosaddle_data_centre_sent_bytes_total{target=\"lookup\",place=\"own\"} 100",
             "flamingosaddle_data_centre_sent_bytes_total{target=\"lookup\",place=\"other\"} 200",
             "flamingosaddle_data_centre_received_bytes_total{target=\"lookup\",place=\"other\"} 2030",
         }) {
        EXPECT_NE(text.find(line), std::string::npos) << line << " is missing in\n" << text;
    }
}
