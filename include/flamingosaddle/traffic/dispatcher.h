#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/id.h>
#include <flamingosaddle/state/config.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace flamingosaddle
{

/**
 * What the decisions know of one request.
 */
struct RequestProfile {
    ClientAccountId clientAccount; ///< empty on a route open to all
    double clientAccountShare = 1.0;
    RequestClass requestClass;
    ModelName model; ///< empty for a plain service
    ServiceName service; ///< empty for a model
    std::uint64_t prefixHash = 0; ///< of the beginning of the prompt; 0 when there is none
    std::uint64_t fingerprint = 0; ///< of the whole request, for quarantine
    std::uint32_t promptTokens = 0; ///< estimate
    bool idempotent = true; ///< of this request: its class, its route and its method together
    TimePoint arrival;

    friend bool operator==(const RequestProfile &, const RequestProfile &) = default;
};

/**
 * Whether a refused request can have run.
 */
enum class RunState {
    NotRun, ///< no byte of it reached a backend server
    Unknown,
};

enum class RefusalReason {
    Overloaded, ///< the forecast or the queue leaves no chance to meet the target
    Evicted, ///< gave its place in the queue to a higher tier
    DeadlineMissed,
    NoServer, ///< no backend server can take it at present
    Quarantined, ///< this request was running when backend servers died
    RetriesExhausted,
    Draining,
    Cancelled,
};

const char *toString(RefusalReason reason);

/**
 * The final answer to a request that is not carried out.
 */
struct Refusal {
    RefusalReason reason = RefusalReason::Overloaded;
    RunState runState = RunState::NotRun;
    std::chrono::seconds retryAfter{1}; ///< when to come back

    friend bool operator==(const Refusal &, const Refusal &) = default;
};

/**
 * Names a request inside the dispatcher, from submit() until finish() or its refusal.
 */
enum class Ticket : std::uint64_t {
};

struct Assignment {
    Ticket ticket{};
    BackendServerId server;
    bool suspect = false; ///< a backend server died of it before: tell the peers through noteSuspect() before it is sent

    friend bool operator==(const Assignment &, const Assignment &) = default;
};

struct Rejection {
    Ticket ticket{};
    Refusal refusal;

    friend bool operator==(const Rejection &, const Rejection &) = default;
};

/**
 * Requests that may start now, and waiting ones that are given up.
 */
struct Decisions {
    std::vector<Assignment> assignments;
    std::vector<Rejection> rejections;

    friend bool operator==(const Decisions &, const Decisions &) = default;
};

/**
 * How an attempt on a backend server ended.
 */
enum class AttemptEnd {
    Completed, ///< the whole answer was read
    NotSent, ///< failed before a byte was written
    ServerError, ///< the server answered with an error status and lives on
    ServerFailed, ///< the server broke off or fell silent, so it may have died of the request
    CallerGone,
};

/**
 * Load of a backend server as the engine, with a lag, and peers report it.
 */
struct ServerReport {
    BackendServerId server;
    std::uint32_t peersInFlight = 0; ///< requests that other instances run there
    std::uint64_t waitingTokens = 0; ///< as the engine reports it
    TimePoint measuredAt;

    friend bool operator==(const ServerReport &, const ServerReport &) = default;
};

/**
 * Tokens that instances served to a client account, the unit in which they tell each other of used shares.
 */
struct ServiceReport {
    ClientAccountId clientAccount;
    ModelName model; ///< empty for a plain service
    ServiceName service; ///< empty for a model
    int tier = 0;
    std::uint64_t tokens = 0;

    friend bool operator==(const ServiceReport &, const ServiceReport &) = default;
};

struct DispatcherOptions {
    std::size_t maxWaiting = 4096; ///< requests in the queue, all tiers together
    std::uint32_t retryPercent = 10; ///< retries as a percentage of a client account's successes
    std::uint32_t maxAttempts = 3; ///< for one request
    std::uint32_t quarantineDeaths = 2; ///< backend servers that one request may cost
    std::uint64_t seed = 1; ///< of random choices between servers

    friend bool operator==(const DispatcherOptions &, const DispatcherOptions &) = default;
};

/**
 * Decides which request runs where and when: admission, order of service, selection, retries and quarantine. Holds no
 * socket and no thread and takes the time as an argument; its owner serialises the calls.
 */
class Dispatcher
{
public:
    explicit Dispatcher(DispatcherOptions options);
    ~Dispatcher();
    Dispatcher(Dispatcher &&) noexcept;
    Dispatcher &operator=(Dispatcher &&) noexcept;

    // Commands.

    /** Replaces the set of backend servers. Requests that run on one that is gone or leaving stay until they finish. */
    void setServers(const std::vector<BackendServer> &servers, TimePoint now);

    /** Takes in a report of a server's load. */
    void report(const ServerReport &report);

    /** Admits a request to the queue or refuses it at once. */
    std::variant<Ticket, Refusal> submit(const RequestProfile &profile, TimePoint now);

    /** Fills @p decisions, after clearing it, with what may start now and what is given up. */
    void dispatch(TimePoint now, Decisions &decisions);

    /** The first byte of the answer came. */
    void firstToken(Ticket ticket, TimePoint now);

    /** @p count more tokens of the answer came; charged to the client account. */
    void tokens(Ticket ticket, std::uint32_t count, TimePoint now);

    /** The attempt and with it the request ended. The ticket is then unknown. */
    void finish(Ticket ticket, AttemptEnd end, TimePoint now);

    /**
     * The attempt failed and nothing was passed on to the caller: puts the request back into the queue when it may run
     * again, answers the refusal when it may not. @p anyByteSent tells whether the backend server may have seen it.
     */
    std::optional<Refusal> retry(Ticket ticket, AttemptEnd end, bool anyByteSent, TimePoint now);

    /** A waiting request is no longer wanted. */
    void cancel(Ticket ticket, TimePoint now);

    /** A peer saw @p fingerprint running when a backend server died. */
    void noteDeath(std::uint64_t fingerprint, const BackendServerId &server, TimePoint now);

    /** A peer runs, until @p until at the latest, a request of which a backend server died before. */
    void noteSuspect(std::uint64_t fingerprint, TimePoint until);

    /** A peer served tokens to a client account since its last report. */
    void notePeerService(const ServiceReport &service);

    /** Fills @p services, after clearing it, with what was served here since the last call, for the peers. */
    void takeService(std::vector<ServiceReport> &services);

    /** The cheap backend servers of a data centre are being reclaimed: no new work goes to them. */
    void excludeDataCentre(const DataCentre &dataCentre, TimePoint now);

    /** The cheap backend servers of a data centre may be used again. */
    void includeDataCentre(const DataCentre &dataCentre, TimePoint now);

    // Queries.

    std::size_t waitingCount() const;
    std::size_t runningCount() const;
    std::uint32_t inFlight(const BackendServerId &server) const;

    /** When dispatch() has to be called again though nothing has happened: the next deadline of a waiting request. */
    std::optional<TimePoint> nextWakeup() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace flamingosaddle
