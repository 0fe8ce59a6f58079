#pragma once

#include <flamingosaddle/base/metrics.h>
#include <flamingosaddle/control/routingsnapshot.h>
#include <flamingosaddle/relay/callerhooks.h>
#include <flamingosaddle/traffic/coldservers.h>
#include <flamingosaddle/traffic/serverpaths.h>

#include <string_view>

namespace flamingosaddle
{

/**
 * Counts what became of callers' requests: attainment of targets, goodput, wasted work and refusals, by class, and service
 * by client account. Any thread may call observe().
 */
class TrafficMetrics
{
public:
    /**
     * Both objects outlive this one.
     * @param ownDataCentre data centre of this instance
     */
    TrafficMetrics(MetricsRegistry &registry, const SharedRoutingSnapshot &board, DataCentre ownDataCentre);

    void observe(const RequestOutcome &outcome);
    /** Counts a change of a backend server's known rate limit. @param source what the limit was learned from */
    void observeRateLimitChange(std::string_view source);
    /** Counts a report that a server died while it ran a request. @param source where the report comes from */
    void observeServerDeath(std::string_view source);
    void observePathChange(const PathChange &change);
    void observeColdServerChange(const ColdServerChange &change);
    void observePromptPartChange(const PromptPartChange &change);

private:
    const RequestClass *classOf(const RoutingSnapshot &snapshot, const RequestOutcome &outcome) const;
    void observeAnswer(const RequestOutcome &outcome, const MetricLabels &labels);
    /** Counts the attempts and bytes in the own data centre and in others. */
    void observeTraffic(const RequestOutcome &outcome);
    void observeRefusal(const RequestOutcome &outcome);

    MetricsRegistry &registry;
    const SharedRoutingSnapshot &board;
    DataCentre ownDataCentre;
};

} // namespace flamingosaddle
