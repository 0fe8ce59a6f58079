#include "faultcell.h"

#include "scriptedengine.h"

#include <chrono>
#include <future>
#include <thread>

namespace flamingosaddle::test
{

using boost::asio::awaitable;
using std::chrono::steady_clock;

namespace
{

constexpr std::chrono::milliseconds stallTimeout{100}; // wall-clock time after which the paused clock is advanced
constexpr std::chrono::milliseconds clockStepDelay{1}; // wall-clock time between two seconds of the paused clock
constexpr std::chrono::seconds requestTimeout{20}; // wall-clock time within which a request must end
constexpr std::chrono::seconds beyondDeadline{301}; // the class's deadline is 300 s

/** Simulates the claim log of one cell for a single idempotency key. */
class ClaimLog
{
public:
    void setDown(bool down)
    {
        this->isDown = down;
    }

    ClaimDecision claim()
    {
        const std::scoped_lock lock(this->mutex);
        if (this->isDown) {
            return ClaimUnavailable();
        }
        if (this->outcome.has_value() && this->outcome->state == ClaimOutcome::State::Completed) {
            return ClaimCompleted{this->outcome->response};
        }
        if (this->outcome.has_value() && this->outcome->state == ClaimOutcome::State::Unknown) {
            return ClaimOutcomeUnknown();
        }
        this->outcome = ClaimOutcome();
        return ClaimGranted{[this](ClaimOutcome newOutcome) {
            const std::scoped_lock lock(this->mutex);
            if (!this->isDown) {
                this->outcome = std::move(newOutcome);
            }
        }};
    }

private:
    std::mutex mutex;
    std::atomic<bool> isDown = false;
    std::optional<ClaimOutcome> outcome; ///< Unknown while the request runs
};

class Cell
{
public:
    Cell(std::vector<Injection> injections, RequestKind kind)
        : pending(std::move(injections))
        , kind(kind)
        , first(this->script.responder())
        , second(this->script.responder())
        , setup({&this->first, &this->second}, {}, this->hooks())
    {
    }

    CellResult run()
    {
        CellResult result;
        result.observation.idempotent = this->kind == RequestKind::Idempotent;
        result.observation.response = this->send(1, result.observation);
        result.observation.runsAtResponse = this->runs().size();
        result.injected = this->injected;
        result.observation.withdrawn = this->withdrawn;
        this->pending.clear();
        this->log.setDown(false);
        if (this->kind == RequestKind::NonIdempotentWithKey && !this->withdrawn && !this->draining && result.observation.ended) {
            this->script.setFault(EngineFault::None);
            const TimePoint before = RuntimeClock::now();
            this->send(2, result.observation);
            result.repeatDuration = RuntimeClock::now() - before;
        }
        result.observation.runs = this->runs();
        result.runsOnSecondEngine = this->second.requests().size();
        result.observation.unreleasedRequests
            = this->setup.asyncDispatcher().runningCount() + this->setup.asyncDispatcher().waitingCount();
        return result;
    }

private:
    CallerHooks hooks()
    {
        CallerHooks hooks;
        hooks.onStep = [this](RequestStep step) {
            this->onStep(step);
        };
        hooks.onOutcome = [this](const RequestOutcome &) {
            ++this->outcomes;
        };
        hooks.claim = [this](const ClaimRequest &) -> awaitable<ClaimDecision> {
            co_return this->log.claim();
        };
        return hooks;
    }

    std::vector<HttpRequest> runs() const
    {
        std::vector<HttpRequest> all = this->first.requests();
        const std::vector<HttpRequest> others = this->second.requests();
        all.insert(all.end(), others.begin(), others.end());
        return all;
    }

    std::string request() const
    {
        const std::string once = "X-Flamingosaddle-Class: once\r\n";
        switch (this->kind) {
        case RequestKind::Idempotent:
            return chatRequest();
        case RequestKind::NonIdempotentWithoutKey:
            return chatRequest(once);
        case RequestKind::NonIdempotentWithKey:
            break;
        }
        return chatRequest(once + "Idempotency-Key: i\r\n");
    }

    /** Sends the request and returns what the caller received. Advances the paused clock when the request waits for it. */
    std::string send(std::size_t expectedOutcomes, CellObservation &record)
    {
        RawClient connection(this->setup.endpoint());
        this->client = &connection;
        this->stalled = false;
        connection.send(this->request());
        std::future<std::string> response = std::async(std::launch::async, [&connection]() {
            return connection.readAll();
        });
        const steady_clock::time_point start = steady_clock::now();
        const auto hasEnded = [this, &response, expectedOutcomes]() {
            return this->outcomes >= expectedOutcomes && response.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
        };
        while (!hasEnded()) {
            const steady_clock::duration passed = steady_clock::now() - start;
            if (passed > requestTimeout) {
                record.ended = false;
                connection.finishSending();
                return {};
            }
            if (this->stalled || passed > stallTimeout) {
                RuntimeClock::advance(std::chrono::seconds(1));
                // Gives the server time to process what has arrived before the clock advances by the next second.
                std::this_thread::sleep_for(clockStepDelay);
            }
            std::this_thread::yield();
        }
        return response.get();
    }

    /** Injects the faults of @p step. Runs on the callers' thread. */
    void onStep(RequestStep step)
    {
        if (step == RequestStep::BodySent && this->injected == 0) {
            // A fault after the complete request was sent must hit an engine that runs it.
            while (this->runs().empty()) {
                std::this_thread::yield();
            }
        }
        for (std::size_t i = 0; i < this->pending.size();) {
            if (this->pending[i].step != step) {
                ++i;
                continue;
            }
            const Fault fault = this->pending[i].fault;
            this->pending.erase(this->pending.begin() + static_cast<std::ptrdiff_t>(i));
            ++this->injected;
            this->inject(fault);
        }
        this->script.onStepReached(step);
    }

    void inject(Fault fault)
    {
        switch (fault) {
        case Fault::EngineDies:
            this->targetEngine().stop();
            return;
        case Fault::ResponseLost:
            this->script.setFault(EngineFault::LoseResponse);
            return;
        case Fault::SilentConnection:
            this->stalled = true;
            this->script.setFault(EngineFault::StopResponding);
            return;
        case Fault::TruncatedStream:
            this->script.setFault(EngineFault::Truncate);
            return;
        case Fault::DeadlinePasses:
            RuntimeClock::advance(beyondDeadline);
            return;
        case Fault::KeyWithdrawn:
            if (!this->withdrawn.exchange(true)) {
                this->setup.withdrawKey();
            }
            return;
        case Fault::ServerLeaving:
            this->markServerLeaving();
            return;
        case Fault::CallerDisconnected:
            this->client.load()->finishSending();
            return;
        case Fault::DrainBegins:
            this->draining = true;
            this->setup.drain();
            return;
        case Fault::LogDown:
            this->log.setDown(true);
            return;
        }
    }

    /** Returns the engine that runs the request, or that will run it unless something else happens. */
    FakeBackend &targetEngine()
    {
        if (!this->first.requests().empty()) {
            return this->first;
        }
        return this->second;
    }

    void markServerLeaving()
    {
        std::vector<BackendServer> servers = backendServersOf(this->setup.snapshots.current()->config());
        for (BackendServer &server : servers) {
            server.leaving = server.endpoint == this->targetEngine().endpoint();
        }
        this->setup.asyncDispatcher().setServers(servers);
    }

    std::vector<Injection> pending;
    RequestKind kind;
    std::atomic<std::size_t> injected = 0;
    std::atomic<std::size_t> outcomes = 0;
    std::atomic<bool> withdrawn = false;
    std::atomic<bool> draining = false;
    std::atomic<bool> stalled = false;
    std::atomic<RawClient *> client = nullptr;
    ClaimLog log;
    EngineScript script;
    FakeBackend first;
    FakeBackend second;
    CallerFixture setup;
};

bool isEngineFault(Fault fault)
{
    return fault == Fault::EngineDies || fault == Fault::ResponseLost || fault == Fault::SilentConnection
        || fault == Fault::TruncatedStream;
}

} // namespace

std::string nameOf(const Injection &injection)
{
    static const std::vector<std::string> faults = {"engine_dies", "response_lost", "silent_connection", "truncated_stream",
        "deadline_passes", "key_withdrawn", "server_leaving", "caller_gone", "drain_begins", "log_down"};
    return faults.at(static_cast<std::size_t>(injection.fault)) + "_at_" + toString(injection.step);
}

std::string nameOf(RequestKind kind)
{
    static const std::vector<std::string> kinds = {"idempotent", "non_idempotent_without_key", "non_idempotent_with_key"};
    return kinds.at(static_cast<std::size_t>(kind));
}

std::optional<std::string> whyNotApplicable(const Injection &injection, RequestKind kind)
{
    if (kind != RequestKind::NonIdempotentWithKey && injection.step == RequestStep::Claim) {
        return "the request has no idempotency key to claim";
    }
    if (kind != RequestKind::NonIdempotentWithKey && injection.fault == Fault::LogDown) {
        return "the log is not on the path of a request without a claim";
    }
    if (injection.step == RequestStep::LastByte && isEngineFault(injection.fault)) {
        return "the engine's complete response was read before";
    }
    return std::nullopt;
}

CellResult runCell(const std::vector<Injection> &injections, RequestKind kind)
{
    const PausedClock paused;
    Cell cell(injections, kind);
    return cell.run();
}

} // namespace flamingosaddle::test
