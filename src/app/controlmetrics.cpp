#include <flamingosaddle/app/controlmetrics.h>

#include <chrono>
#include <iterator>

namespace flamingosaddle
{

namespace
{

void updateConfigMetrics(MetricsRegistry &registry, const Controller &controller)
{
    const ConfigReplica &tail = controller.configReplica();
    registry.gauge("flamingosaddle_config_offset", "Next offset of the config stream.")
        .set(static_cast<double>(tail.state()->nextOffset()));
    registry.gauge("flamingosaddle_config_gap", "1 when records were trimmed that no snapshot covers.")
        .set(tail.hasGap() ? 1 : 0);
    registry.gauge("flamingosaddle_config_undecodable", "Records of the config stream that could not be read.")
        .set(static_cast<double>(tail.undecodableCount()));
    const Duration left = controller.freshUntil() - RuntimeClock::now();
    registry.gauge("flamingosaddle_freshness_seconds", "Time until keyed requests are refused without word from log or peers.")
        .set(std::chrono::duration<double>(left).count());
}

std::size_t unreportedWindows(const UsageReporter &reporter)
{
    const UsageReporter::FixedWindows fixed = reporter.fixedWindows();
    const auto first = fixed.lower_bound(reporter.reportedBefore(fixed));
    return static_cast<std::size_t>(std::distance(first, fixed.end()));
}

void updateLeaseMetrics(MetricsRegistry &registry, const Controller &controller)
{
    registry.gauge("flamingosaddle_lease_held", "1 when this instance holds the lease.", {{"role", "duties"}})
        .set(controller.dutyLog().isLeading() ? 1 : 0);
    registry.gauge("flamingosaddle_fencing_number", "Fencing number that this instance holds; 0 without the lease.")
        .set(static_cast<double>(controller.dutyLog().fencingToken().fencingNumber));
}

void updateEvacuationMetrics(MetricsRegistry &registry, const Controller &controller)
{
    for (const auto &[dataCentre, state] : controller.evacuations()) {
        const MetricLabels labels{{"data_centre", dataCentre.text()}};
        registry
            .gauge("flamingosaddle_data_centre_evacuated", "1 while no new request goes to the data centre's backend servers.",
                labels)
            .set(state.isEvacuated ? 1 : 0);
        const Duration since = RuntimeClock::now() - state.since;
        registry
            .gauge("flamingosaddle_data_centre_evacuated_seconds",
                "Time since the data centre was evacuated; 0 if it was taken back.", labels)
            .set(state.isEvacuated ? std::chrono::duration<double>(since).count() : 0.0);
    }
}

} // namespace

void updateControlMetrics(MetricsRegistry &registry, const Controller &controller, const TrafficStatus &traffic)
{
    updateConfigMetrics(registry, controller);
    updateLeaseMetrics(registry, controller);
    updateEvacuationMetrics(registry, controller);
    registry.gauge("flamingosaddle_usage_unappended", "Usage records that the log has not taken yet.")
        .set(static_cast<double>(controller.usageMeter().pendingRecordCount()));
    registry.gauge("flamingosaddle_usage_unreported", "Windows with fixed figures that are not known to be reported.")
        .set(static_cast<double>(unreportedWindows(controller.usageReporter())));
    registry.gauge("flamingosaddle_claims", "Idempotency keys that are remembered.")
        .set(static_cast<double>(controller.claimCoordinator().table().size()));
    registry.gauge("flamingosaddle_serving_instances", "Instances that serve, this one included.")
        .set(static_cast<double>(controller.peerExchange().membership().serving().size() + 1));
    registry.gauge("flamingosaddle_relay", "1 when this instance reads the store for others of its data centre.")
        .set(controller.peerExchange().isRelay() ? 1 : 0);
    registry.gauge("flamingosaddle_peer_bytes", "Bytes sent to peers on the present connections.")
        .set(static_cast<double>(controller.peerExchange().sentBytes()));
    registry.gauge("flamingosaddle_waiting_requests", "Requests in the queue.").set(static_cast<double>(traffic.waiting));
    registry.gauge("flamingosaddle_running_requests", "Requests at backend servers.").set(static_cast<double>(traffic.running));
    registry.gauge("flamingosaddle_rate_limited_servers", "Backend servers that are known to have a rate limit.")
        .set(static_cast<double>(traffic.rateLimitedServers));
    registry.gauge("flamingosaddle_cold_servers", "Backend servers that are treated as cold.")
        .set(static_cast<double>(traffic.coldServers.size()));
    registry.gauge("flamingosaddle_quarantined_prompt_parts", "Parts of prompts whose requests are refused.")
        .set(static_cast<double>(traffic.quarantinedPromptParts));
    registry.gauge("flamingosaddle_caller_connections", "Connections of callers.")
        .set(static_cast<double>(traffic.callerConnections));
}

} // namespace flamingosaddle
