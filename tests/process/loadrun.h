#pragma once

#include "cluster.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace flamingosaddle::process
{

enum class LoadKind {
    StreamedChat,
    PlainChat,
    Lookup, ///< idempotent call of a plain service
    Deposit, ///< not idempotent, with an idempotency key
};

/**
 * What a caller saw of one request.
 */
struct LoadOutcome {
    std::string instanceId; ///< the daemon that it was sent to
    LoadKind kind = LoadKind::StreamedChat;
    std::string name; ///< of the request, part of its target or body
    bool isBegun = false; ///< whether the head of an answer came
    int status = 0; ///< 0 when there was no whole answer
    std::optional<ErrorKind> failure; ///< of the connection
    std::string requestId;
    std::string runState; ///< of a refusal
    std::string detail; ///< for the reader of a failed test
    Violations violations; ///< of the answer's content

    friend bool operator==(const LoadOutcome &, const LoadOutcome &) = default;
};

/**
 * Callers on threads of their own, a few for each daemon, that send requests of every kind until they are told to stop.
 * A caller whose deposit got no whole answer sends it once more, with the same idempotency key, to the next daemon.
 */
class LoadRun
{
public:
    LoadRun(const std::deque<DaemonProcess> &daemons, std::string key, unsigned callersPerDaemon);
    ~LoadRun();
    LoadRun(const LoadRun &) = delete;
    LoadRun &operator=(const LoadRun &) = delete;

    // Commands.
    /** Waits until each of the daemons has given @p count more whole answers to requests of every kind. */
    bool waitForAnswers(const std::vector<std::string> &instanceIds, unsigned count);
    /** Lets every caller finish its request; answers all outcomes. */
    std::vector<LoadOutcome> finish();

private:
    struct Target {
        std::string instanceId;
        Endpoint caller;
    };

    void runCaller(std::size_t target, unsigned caller);
    void record(LoadOutcome outcome);
    /** Whole answers of the kind that has the fewest. */
    unsigned answered(const std::string &instanceId);

    std::vector<Target> targets;
    std::string key;
    std::atomic<bool> stopping = false;
    std::mutex mutex;
    std::vector<LoadOutcome> outcomes;
    std::vector<std::thread> threads;
};

/** Sends one request of the kind to a daemon and checks its answer. */
LoadOutcome sendLoad(const std::string &instanceId, const Endpoint &caller, const std::string &key, LoadKind kind,
    const std::string &name, Duration timeout = std::chrono::seconds(30));

/** The same on a connection that is kept open. */
LoadOutcome sendLoadOn(TestConnection &connection, const std::string &instanceId, const std::string &key, LoadKind kind,
    const std::string &name, Duration timeout);

/** The outcomes that are neither a whole right answer nor a refusal which says that nothing ran. */
Violations unservedRequests(const std::vector<LoadOutcome> &outcomes);

/** The names of the requests whose connection was closed before an answer began, but for those sent to @p excused daemons. */
std::vector<std::string> closedWithoutAnswer(const std::vector<LoadOutcome> &outcomes, const std::set<std::string> &excused);

/** The request ids of the refusals that said that nothing ran. */
std::vector<std::string> notRunRequestIds(const std::vector<LoadOutcome> &outcomes);

} // namespace flamingosaddle::process
