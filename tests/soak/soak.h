#pragma once

#include "loadrun.h"
#include "loopbackproxy.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace flamingosaddle::process
{

struct SoakOptions {
    std::uint64_t seed = 1;
    std::size_t daemons = 4; ///< over three data centres
    unsigned callers = 6; ///< each with one connection at a time
    bool checksCrashingPart = false; ///< whether the run ends with checkCrashingPart()
};

/**
 * Daemons before engines and plain services, as separate processes with a proxy before the platform and each backend
 * server, under load, while a seed harms them from outside: links, signals, restarts, faults and rate limits of backend servers,
 * faults of the platform, keys and configurations that change, several at a time and in series. Callers keep their connections
 * until they are closed, also to daemons that drain. What callers, backend servers and the platform saw is checked in the end.
 */
class Soak
{
public:
    explicit Soak(SoakOptions options);
    ~Soak();
    Soak(const Soak &) = delete;
    Soak &operator=(const Soak &) = delete;

    /** Harms for @p duration, then heals; answers what was wrong. */
    Violations run(Duration duration);
    /** What was done and when, and of the daemons' logs the ends and the lines about the violations' requests. */
    std::string report(const Violations &violations);

private:
    struct Target {
        std::string instanceId;
        Endpoint caller;
    };

    void start();
    void callOn(unsigned caller);
    std::optional<Target> anyTarget(std::uint64_t number);
    /** Starts a daemon at a place where there is none, or none any more. */
    void startDaemon(std::size_t place);
    /** Callers find the daemon of the place from now on, or nobody. */
    void offer(std::size_t place, bool isOffered);
    void stopCallers();

    void harm();
    void harmLink();
    /** Takes the paths to all backend servers from some daemons, or restores them. */
    void cutOffDaemons();
    void harmDaemon();
    void replaceDaemon(std::size_t place);
    void endDraining();
    void harmPlatform();
    void harmBackend();
    void changeConfiguration();
    /** Sends a few requests with a common message that makes engines restart. */
    void sendCrashingRequests();
    void heal();
    /** Checks that no daemon ended by itself, and that none used more memory than its machine may have. */
    Violations checkProcesses();
    Violations checkServing();
    /** States a rate limit once all faults have ended and checks that the daemons keep it. */
    Violations checkLimitKept();
    /** Lets a server turn requests away with Retry-After once all faults have ended and checks that it gets none until then. */
    Violations checkPauseKept();
    /** Returns whether the engines have different software versions in this run. */
    bool hasEngineVersions() const;
    Violations checkVersions();
    /** Checks that a server that left got no request afterwards. */
    Violations checkLeft();
    /** Checks that all daemons soon refuse requests with a message that makes engines restart, and serve other requests. */
    Violations checkCrashingPart();
    Violations checkWithdrawal();
    Violations checkOutcomes();
    void note(const std::string &what);
    std::uint64_t below(std::uint64_t end);

    SoakOptions options;
    std::mt19937_64 random;
    TimePoint began;
    std::vector<std::string> log;
    Cluster cluster;
    std::unique_ptr<LoopbackProxy> platformLink;
    std::deque<LoopbackProxy> backendLinks;
    std::vector<DaemonProcess *> daemons; // by place; the present ones
    std::vector<std::size_t> frozen; // places
    std::vector<DaemonProcess *> draining; // replaced, but callers may still be connected
    std::set<std::string> killed; // instance ids
    Violations ends; // of daemons that did not end as they should
    std::size_t starts = 0;
    GivenKey key;
    GivenKey withdrawn;
    bool isWithdrawn = false;
    std::optional<std::chrono::milliseconds> leftAt; // when a server was acknowledged to leave
    unsigned accounts = 0;
    unsigned crashingRequests = 0;

    std::mutex mutex;
    std::vector<std::optional<Target>> targets; // by place
    std::vector<LoadOutcome> outcomes;
    std::atomic<bool> stopping = false;
    std::vector<std::thread> callers;
};

} // namespace flamingosaddle::process
