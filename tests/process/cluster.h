#pragma once

#include "checkers.h"
#include "standin.h"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace flamingosaddle::process
{

constexpr Duration conditionTimeout = std::chrono::seconds(15);

/** Looks at @p condition again and again until it holds; answers whether it did before the timeout. */
bool waitUntil(const std::function<bool()> &condition, Duration timeout = conditionTimeout);

struct BackendProcess {
    BackendProcess(Json configuration, const std::vector<std::string> &flags, const std::string &auditFile);

    std::string id() const;
    /** Every run so far, also after the process has ended. */
    Json audit() const;

    Standin standin;
    std::string auditFile;
    Json configuration; ///< as `flamingosaddle backend add` takes it
};

struct DaemonProcess {
    DaemonProcess(const Endpoint &platform, const std::string &dataCentre, const std::string &instanceId,
        const std::vector<std::string> &flags);

    bool isReady() const;

    ChildProcess process;
    std::string instanceId;
    Endpoint caller;
    Endpoint admin;
    Endpoint peer;
};

struct CliResult {
    int exitCode = -1;
    std::string output;

    Json json() const;
    friend bool operator==(const CliResult &, const CliResult &) = default;
};

struct GivenKey {
    std::string id;
    std::string key;

    friend bool operator==(const GivenKey &, const GivenKey &) = default;
};

/**
 * The platform's stand-in, backend servers and daemons as separate processes on loopback, all on ports of their own.
 */
class Cluster
{
public:
    Cluster();
    ~Cluster();
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    // Commands.
    BackendProcess &addEngine(const std::string &id, const std::string &dataCentre, const std::vector<std::string> &flags = {});
    BackendProcess &addService(const std::string &id, const std::string &dataCentre, const std::vector<std::string> &flags = {});
    void killBackend(const std::string &id);
    /** Starts a daemon and waits until it has told its addresses. */
    DaemonProcess &addDaemon(
        const std::string &dataCentre, const std::string &instanceId, const std::vector<std::string> &flags = {});
    /** The same, with another way to the platform. */
    DaemonProcess &addDaemonAt(const Endpoint &platform, const std::string &dataCentre, const std::string &instanceId,
        const std::vector<std::string> &flags);
    /** Starts the CLI with the running daemons' admin addresses and does not wait for it. */
    std::unique_ptr<ChildProcess> startCli(const std::vector<std::string> &arguments) const;
    CliResult cli(const std::vector<std::string> &arguments) const;
    /** Runs a CLI command that takes a file with @p content; expects it to succeed. */
    void publish(const std::vector<std::string> &command, const Json &content);
    /** Publishes a template, the client account `bakery`, routes and the backend servers that were added. */
    void publishStandardConfiguration();
    GivenKey giveKey(const std::string &clientAccount);
    /** Waits until every running daemon is ready and accepts the key. */
    void waitUntilServing(const GivenKey &key);

    // Queries.
    /** The command that addDaemon() runs. */
    ChildCommand daemonCommand(
        const std::string &dataCentre, const std::string &instanceId, const std::vector<std::string> &flags) const;
    const Standin &platform() const;
    std::deque<DaemonProcess> &daemons();
    const BackendProcess &backend(const std::string &id) const;
    Json platformAudit() const;
    std::vector<Json> backendAudits() const;
    /** Checks every invariant that the audits show. */
    Violations check() const;
    std::string writeFile(const Json &content);

private:
    std::string directory;
    unsigned fileCount = 0;
    Standin platformStandin;
    std::deque<BackendProcess> backends;
    std::deque<DaemonProcess> daemonProcesses;
    std::vector<std::string> keys;
};

/** A chat request for the model of the standard configuration. */
HttpRequest chatRequest(const std::string &text, unsigned tokens, bool stream);
/** The same with a system message, which other requests may share. */
HttpRequest chatRequest(const std::string &system, const std::string &text, unsigned tokens, bool stream);

constexpr const char *chatPath = "/v1/chat/completions";

} // namespace flamingosaddle::process
