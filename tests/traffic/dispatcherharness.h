#pragma once

#include <flamingosaddle/traffic/dispatcher.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flamingosaddle
{

struct HarnessSettings {
    DispatcherOptions options;
    double floorShare = 0.0; ///< floor of the lower tiers
    std::chrono::milliseconds firstTokenTarget{2000};
    bool detectsStragglers = false; ///< whether stragglers are detected, which reduces their slots
};

/**
 * Model-based test harness: performs dispatcher operations encoded as numbers, and tracks independently which requests were
 * submitted, where they run and what was sent. Records a description of every violated invariant.
 */
class DispatcherHarness
{
public:
    explicit DispatcherHarness(const HarnessSettings &settings);

    // Commands.

    void step(std::uint32_t choice);

    // Queries.

    const std::vector<std::string> &violations() const
    {
        return this->recordedViolations;
    }

    std::uint64_t starts() const
    {
        return this->startCount;
    }

private:
    struct TrackedRequest {
        RequestProfile profile;
        BackendServerId server; // empty while the request waits
        bool sent = false;
        bool runsAsSuspect = false;
    };

    void submit(std::uint32_t choice);
    void checkRefusal(const RequestProfile &profile, const Refusal &refusal);
    void dispatch();
    void checkAssignment(const Assignment &assignment);
    void checkRejection(const Rejection &rejection);
    void checkAfterDispatch();
    void endRequest(std::uint32_t choice);
    void retryRequest(Ticket ticket, std::uint32_t choice);
    void reconfigure(std::uint32_t choice);
    void expect(bool holds, const std::string &invariant);
    bool mayRunOn(const RequestProfile &profile, const BackendServer &server) const;
    std::uint32_t running(const BackendServerId &server) const;
    bool isSuspectRunning(std::uint64_t fingerprint) const;
    std::size_t waitingBelow(int tier, const ModelName *model) const;
    const BackendServer *findServer(const BackendServerId &server) const;

    HarnessSettings settings;
    Dispatcher dispatcher;
    Decisions decisions;
    std::vector<BackendServer> servers;
    bool dataCentreExcluded = false;
    std::map<Ticket, TrackedRequest> tracked;
    std::map<std::string, double> retryAllowance; // by client account
    std::map<std::uint64_t, std::uint32_t> deaths; // by fingerprint
    std::vector<std::string> recordedViolations;
    std::uint64_t startCount = 0;
    TimePoint now;
};

} // namespace flamingosaddle
