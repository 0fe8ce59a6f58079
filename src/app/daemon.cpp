#include <flamingosaddle/app/daemon.h>

#include <flamingosaddle/app/adminhandler.h>
#include <flamingosaddle/app/callermemory.h>
#include <flamingosaddle/app/coldserverlog.h>
#include <flamingosaddle/app/daemonoptions.h>
#include <flamingosaddle/app/executioncontext.h>
#include <flamingosaddle/app/pathlog.h>
#include <flamingosaddle/app/peertraffic.h>
#include <flamingosaddle/app/promptpartlog.h>
#include <flamingosaddle/app/ratelimitlog.h>
#include <flamingosaddle/app/requestlog.h>
#include <flamingosaddle/app/serverdeathlog.h>
#include <flamingosaddle/app/serverpauselog.h>
#include <flamingosaddle/app/trafficmetrics.h>
#include <flamingosaddle/app/workerthreads.h>
#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/base/log.h>
#include <flamingosaddle/base/metrics.h>
#include <flamingosaddle/control/controller.h>
#include <flamingosaddle/http/server.h>
#include <flamingosaddle/relay/asyncdispatcher.h>
#include <flamingosaddle/relay/callerhandler.h>
#include <flamingosaddle/relay/connectionregistry.h>
#include <flamingosaddle/relay/pathprober.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::chrono::milliseconds drainPollInterval(10);
constexpr std::chrono::seconds handOverLimit(5);
constexpr std::chrono::milliseconds drainAnswerTime(200); // at the end of a drain, for answers to reach their callers
constexpr std::size_t forwardingHeaderBytes = 1024; // that an instance adds to a request which it forwards

} // namespace

class Daemon::Implementation
{
public:
    Implementation(const Settings &settings, Integration integration, SettingsWatch::Load reload)
        : settings(settings)
        , integration(std::move(integration))
        , seed(randomSeed())
        , workers(settings.trafficThreads)
        , gate(Dispatcher(dispatcherOptionsOf(settings, this->seed)), this->controlContext.get_executor(), this->gateHooks())
        , peerTraffic(this->gate)
        , controller(this->controlContext, this->integration.platform, this->integration.directory, this->integration.duties,
              this->controllerOptions(), this->controllerHooks())
        , adminHandler(
              this->controller, this->metrics,
              [this] {
                  this->callerMemory.updateMetrics();
                  return this->trafficStatus();
              },
              [this](const BackendServerId &server) {
                  return this->inFlight(server);
              })
        , settingsWatch(settings, std::move(reload),
              [this](const Settings &after) {
                  this->takeSettings(after);
              })
        , signals(this->controlContext, SIGTERM, SIGINT)
        , reloadSignal(this->controlContext, SIGHUP)
    {
    }

    ~Implementation()
    {
        this->stop();
    }

    Result<void> bind()
    {
        BOOST_OUTCOME_TRY(this->controller.listenForPeers(this->settings.peerListen));
        BOOST_OUTCOME_TRY(handler, this->callerHandlerBuilder().build());
        this->callerHandler = std::move(handler);
        HttpServer::Builder callers;
        this->callerMemory.configure(callers, limitsOf(this->settings), MemoryOwner::Callers);
        callers.listenOn(this->settings.listen).contexts(this->workers.contexts());
        callers.handler(this->callerHandler->handler()).headCheck([this](const HttpRequest &head) {
            return this->callerHandler->checkHead(head);
        });
        BOOST_OUTCOME_TRY(callerListener, callers.start());
        this->callerServer = std::move(callerListener);
        BOOST_OUTCOME_TRY(this->bindForward());
        HttpServer::Builder admin;
        this->callerMemory.configure(admin, HttpServerLimits(), MemoryOwner::Operators);
        admin.listenOn(this->settings.adminListen).contexts({&this->controlContext});
        admin.handler([this](HttpExchange &exchange) {
            return this->adminHandler.handle(exchange);
        });
        BOOST_OUTCOME_TRY(adminListener, admin.start());
        this->adminServer = std::move(adminListener);
        return this->bindReady();
    }

    Addresses addresses() const
    {
        return {this->callerServer->localEndpoint(), this->adminServer->localEndpoint(),
            this->controller.peerExchange().localEndpoint()};
    }

    void run()
    {
        this->logStart();
        this->setRegions(this->settings.dataCentreRegions);
        this->controller.start();
        this->awaitSignal();
        this->awaitReloadSignal();
        boost::asio::co_spawn(this->controlContext, this->settingsWatch.run(), boost::asio::detached);
        this->workers.start();
        this->controlContext.run();
        this->stop();
    }

    void shutDown()
    {
        boost::asio::post(this->controlContext, [this] {
            this->beginDrain();
        });
    }

private:
    Result<void> bindReady()
    {
        if (this->settings.readyListen.port == 0) {
            return success();
        }
        HttpServer::Builder ready;
        this->callerMemory.configure(ready, HttpServerLimits(), MemoryOwner::Readiness);
        ready.listenOn(this->settings.readyListen).contexts({&this->controlContext});
        ready.handler([this](HttpExchange &exchange) {
            return this->adminHandler.handleReadiness(exchange);
        });
        BOOST_OUTCOME_TRY(readyListener, ready.start());
        this->readyServer = std::move(readyListener);
        return success();
    }

    Result<void> bindForward()
    {
        HttpServerLimits limits = limitsOf(this->settings);
        limits.maxHeaderBytes += forwardingHeaderBytes;
        HttpServer::Builder forwarded;
        this->callerMemory.configure(forwarded, limits, MemoryOwner::Forwarded);
        forwarded.listenOn(this->settings.forwardListen).contexts(this->workers.contexts());
        forwarded.handler(this->callerHandler->forwardedHandler());
        BOOST_OUTCOME_TRY(forwardListener, forwarded.start());
        this->forwardServer = std::move(forwardListener);
        this->controller.setForwardAddress(this->forwardServer->localEndpoint());
        return success();
    }

    ControllerOptions controllerOptions() const
    {
        ControllerOptions options = controllerOptionsOf(this->settings, this->seed);
        options.peerLimits = this->callerMemory.peerLimits();
        return options;
    }

    void applyCallerLimits(const PublishedLimits &published)
    {
        CallerLimits limits = callerLimitsOf(published);
        this->callerServer->setCallerLimits(limits);
        limits.maxHeaderBytes += limits.maxHeaderBytes > 0 ? forwardingHeaderBytes : 0;
        limits.idleTimeout = Duration::zero(); // between instances, the settings hold
        this->forwardServer->setCallerLimits(limits);
    }

    void logStart() const
    {
        std::string ignored;
        for (const std::string &name : this->settings.ignoredNames) {
            ignored += (ignored.empty() ? "" : ",") + name;
        }
        const Incarnation &self = this->controller.options().self;
        logEvent(LogLevel::Info, "app", "started",
            {{"instance", self.instance.text()}, {"incarnation", std::to_string(self.number)},
                {"data_centre", this->settings.dataCentre.text()}, {"ignored_settings", ignored.empty() ? "none" : ignored}});
    }

    void takeSettings(const Settings &after)
    {
        this->setRegions(after.dataCentreRegions);
        if (this->integration.reload) {
            this->integration.reload(after);
        }
    }

    void setRegions(const DataCentreRegions &regions)
    {
        this->gate.update([&regions](Dispatcher &dispatcher, TimePoint) {
            dispatcher.setRegions(regions);
        });
    }

    ControllerHooks controllerHooks()
    {
        ControllerHooks hooks;
        hooks.publishSnapshot = [this](std::shared_ptr<const RoutingSnapshot> snapshot) {
            this->board.publish(std::move(snapshot));
        };
        hooks.setServers = [this](const std::vector<BackendServer> &servers) {
            this->gate.setServers(servers);
            this->peerTraffic.setServers(servers);
        };
        hooks.onServersConfirmed = [this](TimePoint confirmedAt) {
            this->peerTraffic.onServersConfirmed(confirmedAt);
        };
        hooks.setEvacuated = [this](const DataCentre &dataCentre, bool evacuated) {
            this->gate.update([&dataCentre, evacuated](Dispatcher &dispatcher, TimePoint now) {
                dispatcher.setEvacuated(dataCentre, evacuated, now);
                if (!evacuated) {
                    dispatcher.onDataCentreReturned(dataCentre, now);
                }
            });
        };
        hooks.onCallerLimits = [this](const PublishedLimits &limits) {
            this->applyCallerLimits(limits);
        };
        hooks.onKeyWithdrawn = [this](const KeyId &id) {
            this->keys.closeConnections(id);
        };
        this->addPeerHooks(hooks);
        return hooks;
    }

    void addPeerHooks(ControllerHooks &hooks)
    {
        hooks.fillTrafficState = [this](HeartbeatMessage &message) {
            this->peerTraffic.describe(message);
        };
        hooks.onPeerLoads = [this](const std::vector<ServerLoad> &loads) {
            this->peerTraffic.takeLoads(loads);
        };
        hooks.onPeerWaitingTiers = [this](const std::vector<WaitingTier> &waiting) {
            this->peerTraffic.takeWaiting(waiting);
        };
        hooks.onPeerServedTokens = [this](const std::vector<ServedTokens> &services) {
            this->peerTraffic.takeServices(services);
        };
        hooks.onPeerPrefills = [this](const std::vector<PromptPrefill> &reads) {
            this->peerTraffic.takePrefills(reads);
        };
        hooks.onPeerQuarantines = [this](const QuarantinesMessage &message) {
            for (const ServerDeath &death : fromMessage(message.deaths)) {
                this->observeServerDeath(death, "peer");
            }
            this->peerTraffic.takeQuarantines(message);
        };
        hooks.deathCounts = [this] {
            return this->peerTraffic.deathCounts();
        };
        hooks.onPeerRateLimits = [this](const std::vector<RateLimitReport> &reports) {
            for (const ServerRateLimit &limit : this->peerTraffic.applyRateLimits(reports)) {
                this->observeRateLimit(limit, "peer");
            }
        };
        hooks.onPeerRejectionLimits = [this](const std::vector<RejectionLimitReport> &reports) {
            for (const TargetRejectionLimit &limit : this->peerTraffic.applyRejectionLimits(reports)) {
                this->rateLimitLog.observe(limit);
            }
        };
        hooks.onSharingInstances = [this](const std::vector<InstanceId> &peers) {
            this->peerTraffic.setInstances(this->controller.options().self.instance, peers);
        };
        hooks.onPeerPaths = [this](const std::vector<PeerPath> &peers) {
            this->peerTraffic.setPeerPaths(this->settings.dataCentre, peers);
        };
        hooks.onServingCount = [this](std::size_t count) {
            this->peerTraffic.takeServingCount(count);
        };
    }

    // What the gate's decisions mean for other instances goes out by the control thread.
    AsyncDispatcherHooks gateHooks()
    {
        AsyncDispatcherHooks hooks;
        hooks.onServerDeath = [this](const ServerDeath &death) {
            this->observeServerDeath(death, "response");
            this->tellQuarantines({toMessage(death), {}, {}, {}, {}});
        };
        hooks.onSuspectRequest = [this](std::uint64_t fingerprint, TimePoint until) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - RuntimeClock::now());
            const auto remaining = std::max(left, std::chrono::milliseconds(0));
            this->tellQuarantines({{}, {{fingerprint, remaining}}, {}, {}, {}});
        };
        hooks.onRateLimitChange = [this](const ServerRateLimit &limit) {
            this->observeRateLimit(limit, "response");
        };
        hooks.onRejectionLimitChange = [this](const ServerRejectionLimit &limit) {
            this->rateLimitLog.observe(limit);
        };
        hooks.onServerPaused = [this](const BackendServerId &server, Duration pause) {
            this->serverPauseLog.observe(server, pause);
        };
        hooks.onPathChecks = [this](const std::vector<PathCheck> &checks) {
            this->pathProber.run(checks);
        };
        hooks.onPathChange = [this](const PathChange &change) {
            this->trafficMetrics.observePathChange(change);
            this->pathLog.observe(change);
        };
        hooks.onColdServerChange = [this](const ColdServerChange &change) {
            this->trafficMetrics.observeColdServerChange(change);
            this->coldServerLog.observe(change);
        };
        hooks.onPromptPartChange = [this](const PromptPartChange &change) {
            this->onPromptPartChange(change);
        };
        return hooks;
    }

    void observeRateLimit(const ServerRateLimit &limit, std::string_view source)
    {
        this->trafficMetrics.observeRateLimitChange(source);
        this->rateLimitLog.observe(limit, source);
    }

    void observeServerDeath(const ServerDeath &death, std::string_view source)
    {
        this->trafficMetrics.observeServerDeath(source);
        this->serverDeathLog.observe(death, source);
    }

    void onPromptPartChange(const PromptPartChange &change)
    {
        this->trafficMetrics.observePromptPartChange(change);
        this->promptPartLog.observe(change);
        if (!change.isLocal) {
            return;
        }
        QuarantinesMessage message;
        if (change.quarantinedUntil.has_value()) {
            message.quarantinedParts.push_back(toMessage(change, RuntimeClock::now()));
        } else {
            message.clearedParts.push_back(change.part);
        }
        this->tellQuarantines(std::move(message));
    }

    void tellQuarantines(QuarantinesMessage message)
    {
        boost::asio::post(this->controlContext, [this, message = std::move(message)] {
            this->controller.sendQuarantines(message);
        });
    }

    CallerHooks callerHooks()
    {
        CallerHooks hooks;
        hooks.claim = this->controller.claimHook();
        hooks.onUsage = [this](const UsageEvent &event) {
            boost::asio::post(this->controlContext, [this, account = event.clientAccount, tokens = tokensOf(event)] {
                this->controller.recordTokens(account, tokens);
            });
        };
        hooks.onStarted = [this](const ClientAccountId &account, Duration ago) {
            boost::asio::post(this->controlContext, [this, account, at = RuntimeClock::now() - ago] {
                this->controller.recordRequestStart(account, RuntimeClock::now() - at);
            });
        };
        hooks.streamVersion = this->controller.streamVersionHook();
        hooks.onStreamStarted
            = [this](const std::string &request, const ServiceName &service, const std::string &softwareVersion) {
                  boost::asio::post(this->controlContext, [this, request, service, softwareVersion] {
                      this->controller.recordStreamStart(request, service, softwareVersion);
                  });
              };
        hooks.onStreamCompleted = [this](const std::string &request) {
            boost::asio::post(this->controlContext, [this, request] {
                this->controller.recordStreamCompletion(request);
            });
        };
        hooks.onServerLeaving = [this](const BackendServerId &server, TimePoint sentAt) {
            boost::asio::post(this->controlContext, [this, server, sentAt] {
                this->controller.recordServerLeaving(server, sentAt);
            });
        };
        hooks.onOutcome = [this](const RequestOutcome &outcome) {
            this->trafficMetrics.observe(outcome);
            this->requestLog.observe(outcome);
        };
        return hooks;
    }

    std::uint32_t inFlight(const BackendServerId &server)
    {
        std::uint32_t count = 0;
        this->gate.update([&server, &count](const Dispatcher &dispatcher, TimePoint) {
            count = dispatcher.inFlight(server);
        });
        return count;
    }

    // Spans go out as lines of OTLP/JSON on the standard output, where a collector's file receiver takes them.
    Tracer tracer() const
    {
        const auto unixTime = std::chrono::system_clock::now().time_since_epoch();
        const std::chrono::nanoseconds unixTimeAtZero = unixTime - RuntimeClock::now().time_since_epoch();
        return Tracer(
            [unixTimeAtZero](const Span &span) {
                const std::string line = otlpJsonLine(span, "flamingosaddled", unixTimeAtZero) + "\n";
                std::fwrite(line.data(), 1, line.size(), stdout);
                std::fflush(stdout);
            },
            this->settings.traceSampling);
    }

    static TokenCounts tokensOf(const UsageEvent &event)
    {
        return {event.promptTokens, event.completionTokens};
    }

    CallerHandler::Builder callerHandlerBuilder()
    {
        CallerHandler::Builder builder;
        builder.snapshots(&this->board)
            .dispatcher(&this->gate)
            .connections(&this->keys)
            .adapter(this->integration.protocolAdapter);
        builder.options(callerOptionsOf(this->settings, this->controller.options().self.instance))
            .contexts(this->workers.contexts())
            .hooks(this->callerHooks());
        if (this->settings.traceOutput == TraceOutput::Stdout) {
            builder.tracer(this->tracer());
        }
        return builder;
    }

    TrafficStatus trafficStatus() const
    {
        TrafficStatus status;
        status.callerConnections = this->callerServer->connectionCount();
        status.activeExchanges = this->callerServer->activeExchangeCount();
        status.waiting = this->gate.waitingCount();
        status.running = this->gate.runningCount();
        status.rateLimitedServers = this->gate.rateLimitedCount();
        status.coldServers = this->gate.coldServers();
        status.quarantinedPromptParts = this->gate.quarantinedPromptPartCount();
        status.draining = this->draining;
        return status;
    }

    void awaitSignal()
    {
        this->signals.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error) {
                return;
            }
            // Supervisors repeat SIGTERM; only a person who interrupts the process twice wants it to end at once.
            if (this->draining && signal == SIGINT) {
                logEvent(LogLevel::Info, "app", "interrupted again, the drain is broken off");
                this->controlContext.stop();
                return;
            }
            if (this->draining) {
                logEvent(LogLevel::Info, "app", "draining already, the signal changes nothing");
            }
            this->beginDrain();
            this->awaitSignal();
        });
    }

    void awaitReloadSignal()
    {
        this->reloadSignal.async_wait([this](const boost::system::error_code &error, int) {
            if (!error) {
                this->settingsWatch.reload();
                this->awaitReloadSignal();
            }
        });
    }

    void beginDrain()
    {
        if (this->draining) {
            return;
        }
        this->draining = true;
        this->controller.beginDrain();
        const Duration serving = std::max<Duration>(this->settings.drainTimeout - drainAnswerTime, Duration::zero());
        const TimePoint end = RuntimeClock::now() + serving;
        this->gate.update([end](Dispatcher &dispatcher, TimePoint) {
            dispatcher.drain(end);
        });
        this->callerHandler->limitDeadlines(end);
        logEvent(LogLevel::Info, "app", "draining");
        boost::asio::co_spawn(this->controlContext, this->drain(), boost::asio::detached);
    }

    boost::asio::awaitable<void> drain()
    {
        const TimePoint deadline = RuntimeClock::now() + this->settings.drainTimeout;
        this->callerServer->announceDrain();
        this->forwardServer->announceDrain();
        co_await delay(this->settings.drainNotice);
        this->callerServer->drain();
        this->forwardServer->drain();
        while (!(this->callerServer->isDrained() && this->forwardServer->isDrained()) && RuntimeClock::now() < deadline) {
            co_await delay(drainPollInterval);
        }
        co_await this->controller.flushAndRelease(handOverLimit);
        logEvent(LogLevel::Info, "app", "drained");
        this->controlContext.stop();
    }

    void stop()
    {
        this->settingsWatch.stop();
        this->controller.stop();
        this->workers.stop();
        // A request that waits for the control thread is owned by a handler there, and its socket by the context of a traffic
        // thread.
        this->controlContext.destroyHandlers();
        this->workers.destroyHandlers();
    }

    Settings settings;
    Integration integration;
    std::uint64_t seed;
    MetricsRegistry metrics;
    SharedRoutingSnapshot board;
    TrafficMetrics trafficMetrics{this->metrics, this->board, this->settings.dataCentre};
    RequestLog requestLog;
    RateLimitLog rateLimitLog;
    ServerDeathLog serverDeathLog;
    ServerPauseLog serverPauseLog;
    PromptPartLog promptPartLog;
    PathLog pathLog;
    ColdServerLog coldServerLog;
    ExecutionContext controlContext{1};
    CallerMemory callerMemory{this->settings, this->metrics, this->controlContext};
    WorkerThreads workers;
    ConnectionRegistry keys;
    AsyncDispatcher gate;
    PathProber pathProber{
        this->controlContext, this->board, this->settings.connectTimeout, [this](const PathCheck &check, bool isReached) {
            this->gate.update([&check, isReached](Dispatcher &dispatcher, TimePoint now) {
                dispatcher.onPathCheck(check, isReached, now);
            });
        }};
    PeerTraffic peerTraffic;
    Controller controller;
    AdminHandler adminHandler;
    SettingsWatch settingsWatch;
    boost::asio::signal_set signals;
    boost::asio::signal_set reloadSignal;
    std::unique_ptr<CallerHandler> callerHandler;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> forwardServer;
    std::unique_ptr<HttpServer> adminServer;
    std::unique_ptr<HttpServer> readyServer;
    bool draining = false;
};

Daemon::Daemon(std::unique_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

Daemon::~Daemon() = default;

Result<std::unique_ptr<Daemon>> Daemon::create(const Settings &settings, Integration integration, SettingsWatch::Load reload)
{
    auto implementation = std::make_unique<Implementation>(settings, std::move(integration), std::move(reload));
    BOOST_OUTCOME_TRY(implementation->bind());
    return std::unique_ptr<Daemon>(new Daemon(std::move(implementation)));
}

Daemon::Addresses Daemon::addresses() const
{
    return this->implementation->addresses();
}

void Daemon::run()
{
    this->implementation->run();
}

void Daemon::shutDown()
{
    this->implementation->shutDown();
}

} // namespace flamingosaddle
