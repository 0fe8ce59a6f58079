#pragma once

#include "../standins/logstore.h"
#include "../standins/machinedesk.h"

#include <flamingosaddle/platform/platform.h>

#include <cstdint>
#include <functional>
#include <vector>

namespace flamingosaddle
{

/**
 * The platform in memory, for one thread: the stand-in's log store and machine desk behind the Platform hooks, with faults
 * that a test switches on and off.
 */
class FakePlatform
{
public:
    /** Hooks that stay valid as long as the object. */
    Platform hooks();

    standins::LogStore log;
    standins::MachineDesk machines;
    std::vector<UsageReport> usageReports;
    std::vector<InstanceEntry> instanceList;

    bool logDown = false; ///< calls fail with Unreachable and do nothing
    std::uint32_t loseAppendAnswers = 0; ///< as many appends take effect and fail with Timeout
    std::uint32_t loseOrderAnswers = 0;
    std::uint32_t loseUsageAnswers = 0;
    std::function<void(LogStream)> beforeAppend; ///< runs when an append arrives

private:
    Platform::Answer<std::uint64_t> append(LogStream stream, std::string body);
    Platform::Answer<LogBatch> read(LogStream stream, std::uint64_t from, std::chrono::milliseconds wait);
    Platform::Answer<LogBounds> bounds(LogStream stream);
    Platform::Answer<std::vector<BackendMachine>> backendMachines(DataCentre dataCentre);
    Platform::Answer<void> order(PlatformOrder order, std::function<Duration()> permission);
    Platform::Answer<void> reportUsage(UsageReport report, std::function<Duration()> permission);
    LogBounds boundsOf(LogStream stream) const;
};

} // namespace flamingosaddle
