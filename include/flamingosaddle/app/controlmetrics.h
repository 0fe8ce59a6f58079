#pragma once

#include <flamingosaddle/app/adminhandler.h>
#include <flamingosaddle/base/metrics.h>
#include <flamingosaddle/control/controller.h>

namespace flamingosaddle
{

/**
 * Sets the gauges of the control state and of the queue to their present values. Called on the control thread, before the
 * metrics are written.
 */
void updateControlMetrics(MetricsRegistry &registry, const Controller &controller, const TrafficStatus &traffic);

} // namespace flamingosaddle
