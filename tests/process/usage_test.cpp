#include "standardcluster.h"

#include <map>

using namespace flamingosaddle;
using namespace flamingosaddle::process;

namespace
{

constexpr unsigned requestsPerDaemon = 5;
constexpr unsigned tokensPerRequest = 20;

/** Daemons with short windows and leases, so that a test sees several. */
class Usage : public StandardCluster
{
protected:
    std::vector<std::string> daemonFlags() const override
    {
        return {"--usage-window", "1000", "--usage-flush-interval", "100", "--lease-duration", "1000"};
    }

    void serveRequests()
    {
        for (DaemonProcess &daemon : this->cluster.daemons()) {
            for (unsigned round = 0; round < requestsPerDaemon && !daemon.process.hasEnded(); ++round) {
                const auto answer
                    = call(daemon.caller, withKey(chatRequest("usage", tokensPerRequest, round % 2 == 0), this->key.key));
                ASSERT_TRUE(answer.has_value()) << answer.error().text();
                ASSERT_EQ(answer.value().status, 200) << answer.value().body;
            }
        }
    }

    /** Requests that backend servers began, as they themselves saw it. */
    std::uint64_t begunRequests()
    {
        std::uint64_t begun = 0;
        for (const Json &audit : this->cluster.backendAudits()) {
            for (const Json &run : audit.at("runs")) {
                begun += run.at("end") != "notRun" ? 1 : 0;
            }
        }
        return begun;
    }

    /** Each window counts once, whatever the number of reports of it. */
    std::uint64_t reportedRequests()
    {
        std::map<std::uint64_t, std::uint64_t> windows;
        const Json audit = this->cluster.platformAudit();
        for (const Json &report : audit.at("usageReports")) {
            windows[report.at("window")] = report.at("counts").value("bakery", 0U);
        }
        std::uint64_t sum = 0;
        for (const auto &[window, requests] : windows) {
            sum += requests;
        }
        return sum;
    }

    bool isAllReported()
    {
        constexpr Duration usageTimeout = std::chrono::seconds(30);
        return waitUntil(
            [&]() {
                return this->reportedRequests() == this->begunRequests();
            },
            usageTimeout);
    }

    std::string reporter()
    {
        const Json reports = this->cluster.platformAudit().at("usageReports");
        return reports.empty() ? std::string() : reports.back().at("holder").get<std::string>();
    }
};

} // namespace

TEST_F(Usage, EveryRequestIsReportedOnce)
{
    this->serveRequests();
    EXPECT_TRUE(this->isAllReported()) << this->reportedRequests() << " of " << this->begunRequests();
}

TEST_F(Usage, AnotherInstanceReportsWhenTheReporterIsKilled)
{
    this->serveRequests();
    ASSERT_TRUE(this->isAllReported()) << this->reportedRequests() << " of " << this->begunRequests();
    const std::string first = this->reporter();
    for (DaemonProcess &daemon : this->cluster.daemons()) {
        if (first.find(daemon.instanceId) != std::string::npos) {
            daemon.process.kill();
        }
    }
    this->serveRequests();
    EXPECT_TRUE(this->isAllReported()) << this->reportedRequests() << " of " << this->begunRequests();
    EXPECT_NE(this->reporter(), first);
}
