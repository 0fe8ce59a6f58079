#include "soak.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <set>
#include <sstream>

namespace flamingosaddle::process
{

namespace
{

constexpr std::chrono::milliseconds pauseBetweenHarms(150); ///< half of the longest, on the average
constexpr Duration callerPatience = std::chrono::seconds(3); ///< after which a caller leaves
constexpr std::chrono::milliseconds reconnectPause(20);
constexpr std::chrono::seconds drainPatience(15); ///< after which a draining daemon is killed
// In milliseconds; shorter than some answers take, so that drains end while requests run.
constexpr const char *shortDrain = "500";
constexpr std::size_t shownLogBytes = 3000;
constexpr unsigned maxSeries = 3; ///< harms, or daemons of one harm, without a pause between them
constexpr const char *limitedService = "bookings-b";
constexpr double limitedRate = 2.0; ///< requests per second
constexpr std::chrono::milliseconds limitLearningTime(3000);
constexpr std::chrono::milliseconds limitCheckTime(4500);
constexpr const char *crashingPart = "[[restart]]";
constexpr const char *finalCrashingPart = "[[restart]] in the end";
constexpr Duration crashingPatience = std::chrono::milliseconds(500);
constexpr std::chrono::seconds crashingLearningTime(20); ///< until all daemons refuse the part
constexpr std::array<const char *, 4> places{"dc-a", "dc-a", "dc-b", "dc-c"};
constexpr const char *pausedService = "bookings-c";
constexpr unsigned pauseSeconds = 30;
constexpr std::chrono::milliseconds pauseLearningTime(2000);
constexpr std::chrono::milliseconds pauseCheckTime(3000);
constexpr const char *leavingService = "bookings-d";
// An instance that cannot read the log serves for the freshness limit, and requests take a moment to arrive.
constexpr std::chrono::milliseconds leavingTime(5000);
constexpr std::array<const char *, 5> backendIds{"engine-a", "engine-b", "bookings-b", "bookings-c", "bookings-d"};
constexpr std::array linkFaults{LinkFault::None, LinkFault::None, LinkFault::Delayed, LinkFault::Silent, LinkFault::OneWay,
    LinkFault::Reset, LinkFault::Endless};
constexpr std::array<const char *, linkFaults.size()> faultNames{
    "works", "works", "delays", "is silent", "carries one way", "resets", "sends endless answers"};
// Far above the buffers of all connections of a run, and below what endless answers send in it.
constexpr std::size_t memoryLimitKilobytes = 100'000;
constexpr std::array loadKinds{LoadKind::StreamedChat, LoadKind::Deposit, LoadKind::PlainChat, LoadKind::Lookup};

std::vector<std::string> daemonFlags()
{
    // Short times, so that a run of seconds sees leases lapse, windows end and silent servers given up.
    return {"--usage-window", "1000", "--usage-flush-interval", "100", "--lease-duration", "800", "--first-byte-timeout", "1500",
        "--progress-timeout", "1500", "--freshness-limit", "3000"};
}

std::chrono::milliseconds sinceClockStart()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(RuntimeClock::now().time_since_epoch());
}

/** Returns the lines of a log that contain a request id of one of the violations. */
std::string linesAbout(const std::string &log, const Violations &violations)
{
    constexpr std::size_t requestIdLength = 32;
    std::string found;
    for (const std::string &violation : violations) {
        std::istringstream words(violation);
        for (std::string word; words >> word;) {
            std::istringstream lines(word.size() == requestIdLength ? log : std::string());
            for (std::string line; std::getline(lines, line);) {
                found += line.find(word) == std::string::npos ? std::string() : line + '\n';
            }
        }
    }
    return found;
}

/** Returns the lines of a log that are about anything but a single request. */
std::string linesWithoutRequests(const std::string &log)
{
    std::string found;
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);) {
        found += line.find(R"("event":"request")") == std::string::npos ? line + '\n' : std::string();
    }
    return found;
}

} // namespace

Soak::Soak(SoakOptions options)
    : options(options)
    , random(options.seed)
    , began(RuntimeClock::now())
    , daemons(options.daemons)
    , targets(options.daemons)
{
    this->start();
}

Soak::~Soak()
{
    this->stopCallers();
    this->heal();
}

void Soak::start()
{
    const std::vector<std::string> pace{"--token-interval-us", "1000"};
    this->platformLink = std::make_unique<LoopbackProxy>(this->cluster.platform().address);
    for (const char *id : backendIds) {
        const bool isEngine = std::string_view(id).starts_with("engine");
        BackendProcess &backend = isEngine ? this->cluster.addEngine(id, "dc-a", pace) : this->cluster.addService(id, "dc-b");
        const LoopbackProxy &link = this->backendLinks.emplace_back(backend.standin.address);
        backend.configuration["endpoint"] = link.address().text();
        if (isEngine && this->hasEngineVersions()) {
            backend.configuration["softwareVersion"] = id;
        }
    }
    for (std::size_t place = 0; place < this->options.daemons; ++place) {
        this->startDaemon(place);
    }
    this->cluster.publishStandardConfiguration();
    this->key = this->cluster.giveKey("bakery");
    this->withdrawn = this->cluster.giveKey("bakery");
    this->cluster.waitUntilServing(this->key);
    for (std::size_t place = 0; place < this->options.daemons; ++place) {
        this->offer(place, true);
    }
    for (unsigned caller = 0; caller < this->options.callers; ++caller) {
        this->callers.emplace_back([this, caller] {
            this->callOn(caller);
        });
    }
}

void Soak::startDaemon(std::size_t place)
{
    std::vector<std::string> flags = daemonFlags();
    std::string seeds;
    for (const DaemonProcess *peer : this->daemons) {
        if (peer != nullptr && !peer->process.hasEnded()) {
            seeds += (seeds.empty() ? "" : ",") + peer->peer.text();
        }
    }
    if (!seeds.empty()) {
        flags.insert(flags.end(), {"--seed-peers", seeds});
    }
    const std::string id = "i" + std::to_string(++this->starts);
    if (this->starts % 2 == 0) {
        flags.insert(flags.end(), {"--drain-timeout", shortDrain});
    }
    this->daemons[place] = &this->cluster.addDaemonAt(this->platformLink->address(), places[place % places.size()], id, flags);
}

void Soak::callOn(unsigned caller)
{
    std::unique_ptr<TestConnection> connection;
    std::string instanceId;
    unsigned connections = 0;
    for (unsigned index = caller; !this->stopping; ++index) {
        const LoadKind kind = loadKinds[index % loadKinds.size()];
        const std::string name = std::to_string(caller) + "-" + std::to_string(index);
        // A caller that got no whole answer to a deposit sends it again, on another connection.
        for (unsigned sending = 0; sending < 2 && !this->stopping; ++sending) {
            if (!connection || !connection->isReusable()) {
                const std::optional<Target> target = this->anyTarget(caller + connections++);
                connection = target.has_value() ? std::make_unique<TestConnection>(target->caller) : nullptr;
                instanceId = target.has_value() ? target->instanceId : std::string();
            }
            if (!connection || !connection->isConnected()) {
                connection.reset();
                std::this_thread::sleep_for(reconnectPause);
                continue;
            }
            LoadOutcome outcome = sendLoadOn(*connection, instanceId, this->key.key, kind, name, callerPatience);
            const bool isDone = outcome.status == 200 || kind != LoadKind::Deposit;
            const bool isAnswered = outcome.status != 0;
            {
                const std::lock_guard lock(this->mutex);
                this->outcomes.push_back(std::move(outcome));
            }
            if (!isAnswered || !isDone) {
                connection.reset();
            }
            if (isDone) {
                break;
            }
        }
    }
}

std::optional<Soak::Target> Soak::anyTarget(std::uint64_t number)
{
    const std::lock_guard lock(this->mutex);
    return this->targets[number % this->targets.size()];
}

void Soak::offer(std::size_t place, bool isOffered)
{
    const DaemonProcess &daemon = *this->daemons[place];
    const std::lock_guard lock(this->mutex);
    this->targets[place] = isOffered ? std::optional(Target{daemon.instanceId, daemon.caller}) : std::nullopt;
}

void Soak::stopCallers()
{
    this->stopping = true;
    for (std::thread &caller : this->callers) {
        caller.join();
    }
    this->callers.clear();
}

Violations Soak::run(Duration duration)
{
    const TimePoint end = RuntimeClock::now() + duration;
    while (RuntimeClock::now() < end) {
        const std::uint64_t series = this->below(4) == 0 ? maxSeries : 1;
        for (std::uint64_t i = 0; i < series; ++i) {
            this->harm();
        }
        std::this_thread::sleep_for(pauseBetweenHarms * (1 + this->below(3)) / 2);
    }
    this->heal();
    this->endDraining();
    Violations wrong = this->checkProcesses();
    const Violations unserved = this->checkServing();
    const Violations exceeded = this->checkLimitKept();
    const Violations paused = this->checkPauseKept();
    const Violations crashing = this->options.checksCrashingPart ? this->checkCrashingPart() : Violations();
    this->stopCallers();
    for (const Violations &more : {unserved, exceeded, paused, crashing, this->checkLeft(), this->checkVersions(),
             this->checkWithdrawal(), this->checkOutcomes(), this->cluster.check()}) {
        wrong.insert(wrong.end(), more.begin(), more.end());
    }
    return wrong;
}

void Soak::harm()
{
    switch (this->below(10)) {
    case 9:
        this->cutOffDaemons();
        break;
    case 0:
    case 1:
        this->harmLink();
        break;
    case 2:
    case 3:
    case 4:
        this->harmDaemon();
        break;
    case 5:
        this->harmPlatform();
        break;
    case 6:
        this->harmBackend();
        break;
    case 7:
        this->sendCrashingRequests();
        break;
    default:
        this->changeConfiguration();
        break;
    }
}

void Soak::harmLink()
{
    const std::size_t kind = this->below(linkFaults.size());
    const std::size_t link = this->below(backendIds.size() + 1);
    if (link < backendIds.size()) {
        this->note(std::string("the link to ") + backendIds[link] + " " + faultNames[kind]);
        this->backendLinks[link].setFault(linkFaults[kind]);
    } else {
        this->note(std::string("the link to the platform ") + faultNames[kind]);
        this->platformLink->setFault(linkFaults[kind]);
    }
}

void Soak::cutOffDaemons()
{
    std::set<pid_t> processes;
    std::string names;
    // All of them at times, so that no peer can help.
    const std::size_t count = this->below(this->options.daemons + 1);
    const std::size_t first = this->below(this->options.daemons);
    for (std::size_t i = 0; i < count; ++i) {
        const DaemonProcess &daemon = *this->daemons[(first + i) % this->options.daemons];
        processes.insert(daemon.process.id());
        names += ' ' + daemon.instanceId;
    }
    this->note("cut off from all backend servers:" + (names.empty() ? " none" : names));
    for (LoopbackProxy &link : this->backendLinks) {
        link.cutOff(processes);
    }
}

void Soak::harmDaemon()
{
    const std::size_t place = this->below(this->options.daemons);
    DaemonProcess &daemon = *this->daemons[place];
    const auto frozenAt = std::find(this->frozen.begin(), this->frozen.end(), place);
    if (frozenAt != this->frozen.end()) {
        this->note(daemon.instanceId + " wakes");
        daemon.process.wake();
        this->frozen.erase(frozenAt);
        return;
    }
    const std::uint64_t series = 1 + this->below(maxSeries);
    switch (this->below(5)) {
    case 0:
        this->note(daemon.instanceId + " freezes");
        daemon.process.freeze();
        this->frozen.push_back(place);
        return;
    case 1:
        for (std::uint64_t signals = 0; signals < series; ++signals) {
            this->note(daemon.instanceId + " is told to reload");
            daemon.process.signal(SIGHUP);
        }
        for (DaemonProcess *draining : this->draining) {
            if (!draining->process.hasEnded()) {
                this->note(draining->instanceId + ", which drains, is told to reload");
                draining->process.signal(SIGHUP);
            }
        }
        return;
    default:
        // A few daemons in turn, from this place on.
        for (std::uint64_t next = 0; next < series; ++next) {
            this->replaceDaemon((place + next) % this->options.daemons);
        }
    }
}

void Soak::replaceDaemon(std::size_t place)
{
    DaemonProcess &daemon = *this->daemons[place];
    if (std::find(this->frozen.begin(), this->frozen.end(), place) != this->frozen.end()) {
        return;
    }
    this->offer(place, false);
    if (this->below(2) == 0) {
        this->note(daemon.instanceId + " drains");
        // Callers keep their connections to it until it is gone. The signal comes more than once at times.
        for (std::uint64_t signals = 1 + this->below(maxSeries); signals > 0; --signals) {
            daemon.process.signal(SIGTERM);
        }
        this->draining.push_back(&daemon);
    } else {
        this->note(daemon.instanceId + " is killed");
        this->killed.insert(daemon.instanceId);
        daemon.process.kill();
    }
    this->startDaemon(place);
    this->offer(place, true);
}

void Soak::endDraining()
{
    for (DaemonProcess *daemon : this->draining) {
        const std::optional<int> status = daemon->process.waitForEnd(drainPatience);
        if (!status.has_value()) {
            this->note(daemon->instanceId + " does not end");
            this->killed.insert(daemon->instanceId);
            daemon->process.kill();
        } else if (*status != 0) {
            this->ends.push_back(daemon->instanceId + " ended with " + std::to_string(*status) + " after its drain");
        }
    }
    this->draining.clear();
}

Violations Soak::checkProcesses()
{
    Violations wrong = this->ends;
    for (const DaemonProcess *daemon : this->daemons) {
        std::ifstream status("/proc/" + std::to_string(daemon->process.id()) + "/status");
        std::string line;
        while (std::getline(status, line) && !line.starts_with("VmHWM:")) {
        }
        const std::size_t most = line.empty() ? 0 : std::stoul(line.substr(line.find_first_of("0123456789")));
        if (!status || most > memoryLimitKilobytes) {
            wrong.push_back(daemon->instanceId + " has ended, or used too much memory: " + std::to_string(most) + " kB");
        }
    }
    return wrong;
}

void Soak::harmPlatform()
{
    switch (this->below(4)) {
    case 0:
        this->note("the log is down");
        this->cluster.platform().setFaults({{"log", {{"down", true}}}});
        break;
    case 1:
        this->note("the platform works");
        this->cluster.platform().setFaults({{"log", {{"down", false}, {"delayMs", 0}}}, {"usage", {{"down", false}}}});
        break;
    case 2:
        this->note("answers of the platform are lost");
        this->cluster.platform().setFaults({{"log", {{"loseAnswers", 3}, {"delayMs", 50}}}, {"usage", {{"loseAnswers", 1}}}});
        break;
    default:
        this->note("usage reports are not taken");
        this->cluster.platform().setFaults({{"usage", {{"down", true}}}});
        break;
    }
}

void Soak::harmBackend()
{
    const char *id = backendIds[this->below(backendIds.size())];
    const std::vector<Json> faults{{{"loseAnswer", 1}}, {{"closeBeforeAnswer", 1}}, {{"delayMs", 200}}, {{"status", 503}},
        {{"status", 503}, {"retryAfter", 1}}, {{"truncateAfter", 5}}, {{"rateLimit", 1}}, {{"rateLimit", 5}},
        {{"rateLimit", nullptr}}, {{"truncateAfter", nullptr}, {"delayMs", 0}, {"status", 0}, {"retryAfter", 0}}};
    const Json &fault = faults[this->below(faults.size())];
    this->note(std::string(id) + " " + fault.dump());
    this->cluster.backend(id).standin.setFaults(fault);
}

void Soak::changeConfiguration()
{
    if (!this->isWithdrawn && this->below(3) == 0) {
        this->note("a key is withdrawn");
        this->isWithdrawn = this->cluster.cli({"--timeout", "2000", "key", "withdraw", this->withdrawn.id}).exitCode == 0;
        return;
    }
    if (!this->leftAt.has_value() && this->below(3) == 0) {
        this->note(std::string(leavingService) + " leaves");
        if (this->cluster.cli({"--timeout", "2000", "backend", "drain", leavingService}).exitCode == 0) {
            this->leftAt = sinceClockStart();
        }
        return;
    }
    const std::string id = "village-" + std::to_string(++this->accounts);
    this->note("client account " + id);
    const Json account = {{"id", id}, {"templateName", "standard"}, {"templateVersion", 1}, {"models", {"baraka-8b"}}};
    // Whether it is accepted depends on the platform.
    static_cast<void>(this->cluster.cli({"--timeout", "1000", "account", "create", this->cluster.writeFile(account)}));
}

void Soak::sendCrashingRequests()
{
    const std::uint64_t series = 1 + this->below(maxSeries);
    for (std::uint64_t i = 0; i < series; ++i) {
        const std::optional<Target> target = this->anyTarget(this->below(this->options.daemons));
        if (target.has_value()) {
            const std::string text = "crashing " + std::to_string(++this->crashingRequests);
            this->note(target->instanceId + " gets a request that makes engines restart");
            static_cast<void>(
                call(target->caller, withKey(chatRequest(crashingPart, text, 20, true), this->key.key), crashingPatience));
        }
    }
}

void Soak::heal()
{
    this->note("heals");
    for (const std::size_t place : this->frozen) {
        this->daemons[place]->process.wake();
    }
    this->frozen.clear();
    this->platformLink->setFault(LinkFault::None);
    for (LoopbackProxy &link : this->backendLinks) {
        link.setFault(LinkFault::None);
        link.cutOff({});
    }
    this->cluster.platform().setFaults(
        {{"log", {{"down", false}, {"delayMs", 0}, {"loseAnswers", 0}}}, {"usage", {{"down", false}, {"loseAnswers", 0}}}});
    for (const char *id : backendIds) {
        this->cluster.backend(id).standin.setFaults({{"truncateAfter", nullptr}, {"delayMs", 0}, {"status", 0}, {"loseAnswer", 0},
            {"closeBeforeAnswer", 0}, {"rateLimit", nullptr}, {"retryAfter", 0}});
    }
}

Violations Soak::checkLimitKept()
{
    this->note(std::string(limitedService) + " states a rate limit");
    this->cluster.backend(limitedService).standin.setFaults({{"rateLimit", limitedRate}});
    const std::chrono::milliseconds binding = sinceClockStart() + limitLearningTime;
    waitUntil([&] {
        return sinceClockStart() > binding + limitCheckTime;
    });
    return checkRateLimit(this->cluster.backend(limitedService).audit(), limitedRate, binding);
}

Violations Soak::checkPauseKept()
{
    this->note(std::string(pausedService) + " asks for a pause");
    this->cluster.backend(pausedService).standin.setFaults({{"status", 503}, {"retryAfter", pauseSeconds}});
    const std::chrono::milliseconds binding = sinceClockStart() + pauseLearningTime;
    waitUntil([&] {
        return sinceClockStart() > binding + pauseCheckTime;
    });
    // Each daemon learns of the pause by a request of its own.
    return checkArrivals(this->cluster.backend(pausedService).audit(), binding, this->options.daemons);
}

bool Soak::hasEngineVersions() const
{
    return this->options.seed % 2 == 1;
}

Violations Soak::checkVersions()
{
    const auto audit = [this](const char *engine) {
        return this->cluster.backend(engine).audit();
    };
    return this->hasEngineVersions() ? checkStreamVersions(audit("engine-a"), audit("engine-b")) : Violations();
}

Violations Soak::checkLeft()
{
    const BackendProcess &backend = this->cluster.backend(leavingService);
    return this->leftAt.has_value() ? checkArrivals(backend.audit(), *this->leftAt + leavingTime, 0) : Violations();
}

Violations Soak::checkCrashingPart()
{
    this->note("requests with a crashing part come");
    std::set<std::string> refusing;
    const bool isRefused = waitUntil(
        [this, &refusing] {
            for (const DaemonProcess *daemon : this->daemons) {
                const std::string text = "crashing " + std::to_string(++this->crashingRequests);
                const HttpRequest request = withKey(chatRequest(finalCrashingPart, text, 20, true), this->key.key);
                const auto answer = call(daemon->caller, request);
                if (answer.has_value() && answer.value().body.find("a part of this prompt") != std::string::npos) {
                    refusing.insert(daemon->instanceId);
                }
            }
            return refusing.size() == this->daemons.size();
        },
        crashingLearningTime);
    Violations wrong;
    if (!isRefused) {
        wrong.push_back(std::to_string(this->daemons.size() - refusing.size())
            + " daemons still send requests with a crashing part to engines");
    }
    for (const DaemonProcess *daemon : this->daemons) {
        const HttpRequest harmless = withKey(chatRequest("be brief", "harmless", 20, true), this->key.key);
        const bool isServed = waitUntil([&] {
            const auto answer = call(daemon->caller, harmless);
            return answer.has_value() && answer.value().status == 200;
        });
        if (!isServed) {
            wrong.push_back(daemon->instanceId + " does not serve harmless requests beside crashing ones");
        }
    }
    return wrong;
}

Violations Soak::checkServing()
{
    Violations wrong;
    for (const DaemonProcess *daemon : this->daemons) {
        std::string last;
        const bool isServing = waitUntil([&] {
            const auto answer = call(daemon->caller, withKey(getRequest("/catalogue/healed"), this->key.key));
            last = daemon->isReady() ? "ready, " : "not ready, ";
            last
                += answer.has_value() ? std::to_string(answer.value().status) + " " + answer.value().body : answer.error().text();
            return daemon->isReady() && answer.has_value() && answer.value().status == 200;
        });
        if (!isServing) {
            const auto status = call(daemon->admin, getRequest("/v1/status"));
            wrong.push_back(daemon->instanceId + " does not serve after all faults ended: " + last
                + (status.has_value() ? "; status " + status.value().body : std::string()));
        }
    }
    return wrong;
}

Violations Soak::checkWithdrawal()
{
    if (!this->isWithdrawn) {
        return {};
    }
    Violations wrong;
    for (const DaemonProcess *daemon : this->daemons) {
        const bool isRefused = waitUntil(
            [&] {
                const auto answer = call(daemon->caller, withKey(getRequest("/catalogue/late"), this->withdrawn.key));
                return answer.has_value() && answer.value().status == 401;
            },
            std::chrono::seconds(5));
        if (!isRefused) {
            wrong.push_back(daemon->instanceId + " takes a withdrawn key");
        }
    }
    return wrong;
}

Violations Soak::checkOutcomes()
{
    const std::lock_guard lock(this->mutex);
    Violations wrong = checkNotRun(this->cluster.backendAudits(), notRunRequestIds(this->outcomes));
    const Violations lost = checkLost(this->cluster.backendAudits(), closedWithoutAnswer(this->outcomes, this->killed));
    wrong.insert(wrong.end(), lost.begin(), lost.end());
    for (const LoadOutcome &outcome : this->outcomes) {
        wrong.insert(wrong.end(), outcome.violations.begin(), outcome.violations.end());
    }
    const auto served = std::count_if(this->outcomes.begin(), this->outcomes.end(), [](const LoadOutcome &outcome) {
        return outcome.status == 200;
    });
    if (served == 0) {
        wrong.emplace_back("no request was served");
    }
    return wrong;
}

std::string Soak::report(const Violations &violations)
{
    std::ostringstream text;
    text << "seed " << this->options.seed << ", " << this->options.daemons << " daemons" << '\n';
    for (const std::string &line : this->log) {
        text << line << '\n';
    }
    for (const DaemonProcess &daemon : this->cluster.daemons()) {
        const std::string output = daemon.process.output();
        const std::string beliefs = linesWithoutRequests(output);
        const std::size_t begin = beliefs.size() > shownLogBytes ? beliefs.size() - shownLogBytes : 0;
        text << "--- " << daemon.instanceId << '\n' << linesAbout(output, violations) << beliefs.substr(begin) << '\n';
    }
    return text.str();
}

void Soak::note(const std::string &what)
{
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(RuntimeClock::now() - this->began);
    this->log.push_back(std::to_string(since.count()) + " ms " + what);
}

std::uint64_t Soak::below(std::uint64_t end)
{
    return this->random() % end;
}

} // namespace flamingosaddle::process
