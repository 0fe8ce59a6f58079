#include "dispatcherharness.h"

#include <algorithm>

namespace flamingosaddle
{

namespace
{

constexpr int tierCount = 3;
constexpr double minRetries = 3.0;

std::vector<BackendServer> initialServers()
{
    std::vector<BackendServer> servers;
    for (int i = 0; i < 6; ++i) {
        BackendServer server;
        server.id = BackendServerId("s" + std::to_string(i));
        server.dataCentre = DataCentre(i < 3 ? "a" : "b");
        server.models = {ModelName(i % 2 == 0 ? "even" : "odd")};
        server.slots = 1 + i % 3;
        server.cheap = i >= 4;
        servers.push_back(server);
    }
    return servers;
}

} // namespace

DispatcherHarness::DispatcherHarness(const HarnessSettings &settings)
    : settings(settings)
    , dispatcher(settings.options)
    , servers(initialServers())
{
    this->dispatcher.setServers(this->servers, this->now);
}

void DispatcherHarness::step(std::uint32_t choice)
{
    const std::uint32_t detail = choice / 16;
    const std::uint32_t kind = choice % 16;
    if (kind < 8) {
        this->submit(detail);
    } else if (kind < 14) {
        this->endRequest(detail);
    } else if (kind == 14) {
        this->reconfigure(detail);
    } else {
        this->now += std::chrono::milliseconds(detail % 5000);
    }
    this->dispatch();
}

void DispatcherHarness::submit(std::uint32_t choice)
{
    RequestProfile profile;
    profile.clientAccount = ClientAccountId("c" + std::to_string(choice % 4));
    profile.clientAccountShare = 1.0 + choice % 2;
    profile.requestClass.tier = static_cast<int>(choice / 4 % tierCount);
    profile.requestClass.name = ClassName("t" + std::to_string(profile.requestClass.tier));
    profile.requestClass.floorShare = profile.requestClass.tier == 0 ? 0.0 : this->settings.floorShare;
    profile.requestClass.cheapAllowed = profile.requestClass.tier > 0;
    profile.requestClass.firstTokenTarget = this->settings.firstTokenTarget;
    profile.model = ModelName(choice / 12 % 2 == 0 ? "even" : "odd");
    profile.idempotent = choice / 24 % 2 == 0;
    profile.fingerprint = choice / 48 % 8;
    profile.promptTokens = choice / 48 % 500;
    profile.arrival = this->now;
    const auto result = this->dispatcher.submit(profile, this->now);
    if (const auto *refusal = std::get_if<Refusal>(&result)) {
        this->checkRefusal(profile, *refusal);
    } else {
        const bool isNew = this->tracked.emplace(std::get<Ticket>(result), TrackedRequest{profile, {}, false}).second;
        this->expect(isNew, "a ticket identifies one request");
    }
}

void DispatcherHarness::checkRefusal(const RequestProfile &profile, const Refusal &refusal)
{
    this->expect(refusal.runState == RunState::NotRun, "a request refused on submission did not run");
    this->expect(refusal.retryAfter >= std::chrono::seconds(1), "a refusal suggests a retry time of at least 1 s");
    if (refusal.reason == RefusalReason::Overloaded) {
        const int tier = profile.requestClass.tier;
        // If no forecast can miss the target, a request is only refused when the queue is full, and lower tiers must be evicted
        // first.
        const bool byFullQueue = this->settings.firstTokenTarget >= profile.requestClass.deadline;
        this->expect(this->waitingBelow(tier, byFullQueue ? nullptr : &profile.model) == 0,
            "no request is refused while a lower tier waits");
    }
}

void DispatcherHarness::dispatch()
{
    this->dispatcher.dispatch(this->now, this->decisions);
    for (const Rejection &rejection : this->decisions.rejections) {
        this->checkRejection(rejection);
    }
    for (const Assignment &assignment : this->decisions.assignments) {
        this->checkAssignment(assignment);
    }
    this->checkAfterDispatch();
}

void DispatcherHarness::checkRejection(const Rejection &rejection)
{
    const auto found = this->tracked.find(rejection.ticket);
    this->expect(found != this->tracked.end() && found->second.server.isEmpty(), "only waiting requests are rejected");
    if (found == this->tracked.end()) {
        return;
    }
    const TrackedRequest request = found->second;
    this->tracked.erase(found);
    this->expect(
        request.sent || rejection.refusal.runState == RunState::NotRun, "a request that was never sent is reported as not run");
    this->expect(!request.sent || rejection.refusal.runState == RunState::Unknown,
        "a request that was sent is reported with an unknown run state");
    if (rejection.refusal.reason == RefusalReason::Evicted) {
        const int tier = request.profile.requestClass.tier;
        this->expect(this->waitingBelow(tier, &request.profile.model) == 0, "no request is evicted while a lower tier waits");
    }
}

void DispatcherHarness::checkAssignment(const Assignment &assignment)
{
    const auto found = this->tracked.find(assignment.ticket);
    this->expect(
        found != this->tracked.end() && found->second.server.isEmpty(), "only waiting requests are assigned, each to one server");
    const BackendServer *server = this->findServer(assignment.server);
    this->expect(server != nullptr, "only configured servers are used");
    if (found == this->tracked.end() || server == nullptr) {
        return;
    }
    TrackedRequest &request = found->second;
    const RequestProfile &profile = request.profile;
    this->expect(
        this->mayRunOn(profile, *server), "only permitted servers are used that are neither leaving nor being reclaimed");
    this->expect(!request.sent || profile.idempotent, "a non-idempotent request is sent once");
    if (profile.fingerprint != 0) {
        const std::uint32_t deathCount = this->deaths[profile.fingerprint];
        this->expect(deathCount < this->settings.options.quarantineDeaths, "a quarantined request is not started");
        this->expect(assignment.suspect == (deathCount > 0), "an assignment tells whether the request is a suspect");
        this->expect(!assignment.suspect || !this->isSuspectRunning(profile.fingerprint), "a suspect runs alone");
    }
    request.runsAsSuspect = assignment.suspect;
    request.server = assignment.server;
    this->expect(this->running(server->id) <= server->slots, "slots are never exceeded");
    ++this->startCount;
}

void DispatcherHarness::checkAfterDispatch()
{
    std::size_t waiting = 0;
    for (const auto &[ticket, request] : this->tracked) {
        if (!request.server.isEmpty()) {
            continue;
        }
        ++waiting;
        const RequestProfile &profile = request.profile;
        const bool slotFree = std::any_of(this->servers.begin(), this->servers.end(), [&](const BackendServer &server) {
            return !server.cheap && this->mayRunOn(profile, server) && this->running(server.id) < server.slots;
        });
        // Lower tiers may leave slots free for higher ones.
        const bool mayStayWaiting
            = this->settings.detectsStragglers || (this->settings.options.reservePercent > 0 && profile.requestClass.tier > 0);
        const bool waitsForSuspect = this->isSuspectRunning(profile.fingerprint);
        this->expect(!slotFree || mayStayWaiting || waitsForSuspect, "no request waits while a permitted slot is free");
        this->expect(profile.arrival + profile.requestClass.deadline > this->now, "no request waits beyond its deadline");
        for (const Assignment &assignment : this->decisions.assignments) {
            const RequestProfile &started = this->tracked.at(assignment.ticket).profile;
            const bool startedFirst = this->settings.floorShare == 0.0 && started.model == profile.model
                && started.requestClass.tier > profile.requestClass.tier
                && this->mayRunOn(profile, *this->findServer(assignment.server));
            this->expect(!startedFirst || waitsForSuspect, "a lower tier starts before a higher one only through a floor");
        }
    }
    this->expect(waiting == this->dispatcher.waitingCount(), "the number of waiting requests is correct");
    this->expect(this->tracked.size() - waiting == this->dispatcher.runningCount(), "the number of running requests is correct");
    for (const BackendServer &server : this->servers) {
        this->expect(this->running(server.id) == this->dispatcher.inFlight(server.id),
            "the number of requests in flight on a server is correct");
    }
}

bool DispatcherHarness::isSuspectRunning(std::uint64_t fingerprint) const
{
    return fingerprint != 0 && std::any_of(this->tracked.begin(), this->tracked.end(), [fingerprint](const auto &item) {
        const TrackedRequest &request = item.second;
        return request.runsAsSuspect && !request.server.isEmpty() && request.profile.fingerprint == fingerprint;
    });
}

void DispatcherHarness::endRequest(std::uint32_t choice)
{
    if (this->tracked.empty()) {
        return;
    }
    auto item = this->tracked.begin();
    std::advance(item, choice % this->tracked.size());
    const Ticket ticket = item->first;
    TrackedRequest &request = item->second;
    if (request.server.isEmpty()) {
        this->dispatcher.cancel(ticket, this->now);
        this->tracked.erase(item);
    } else if (choice / 64 % 2 == 0) {
        if (this->settings.detectsStragglers) {
            this->dispatcher.onFirstToken(ticket, this->now);
        }
        this->dispatcher.onTokens(ticket, choice / 128 % 300, this->now);
        this->dispatcher.finish(ticket, AttemptOutcome::Completed, this->now);
        if (this->deaths[request.profile.fingerprint] < this->settings.options.quarantineDeaths) {
            this->deaths[request.profile.fingerprint] = 0; // a completed request is no longer a suspect
        }
        this->retryAllowance.try_emplace(request.profile.clientAccount.text(), minRetries).first->second
            += this->settings.options.retryPercent / 100.0;
        this->tracked.erase(item);
    } else {
        this->retryRequest(ticket, choice / 128);
    }
}

void DispatcherHarness::retryRequest(Ticket ticket, std::uint32_t choice)
{
    constexpr AttemptOutcome ends[] = {AttemptOutcome::NotSent, AttemptOutcome::ServerError, AttemptOutcome::ServerFailed};
    TrackedRequest &request = this->tracked.at(ticket);
    const AttemptOutcome end = ends[choice % 3];
    const bool reclaimed
        = this->dataCentreExcluded && this->findServer(request.server) != nullptr && this->findServer(request.server)->cheap;
    request.sent = request.sent || end != AttemptOutcome::NotSent;
    request.server = BackendServerId();
    request.runsAsSuspect = false;
    if (end == AttemptOutcome::ServerFailed && !reclaimed) {
        ++this->deaths[request.profile.fingerprint];
        this->now += std::chrono::seconds(3); // exceeds the interval in which reports of one death are deduplicated
    }
    const std::optional<Refusal> refusal = this->dispatcher.retry(ticket, end, end != AttemptOutcome::NotSent, this->now);
    if (refusal.has_value()) {
        const bool isCorrect = (refusal->runState == RunState::NotRun) == !request.sent;
        this->expect(isCorrect, "a refused retry reports correctly whether the request was sent");
        this->tracked.erase(ticket);
        return;
    }
    double &allowance = this->retryAllowance.try_emplace(request.profile.clientAccount.text(), minRetries).first->second;
    allowance -= 1.0;
    this->expect(allowance > -1e-6, "retries stay within the budget");
    this->expect(!request.sent || request.profile.idempotent, "a non-idempotent request that was sent is not retried");
}

void DispatcherHarness::reconfigure(std::uint32_t choice)
{
    if (choice % 4 == 0) {
        this->dataCentreExcluded = !this->dataCentreExcluded;
        const DataCentre dataCentre("b");
        this->dataCentreExcluded ? this->dispatcher.excludeDataCentre(dataCentre, this->now)
                                 : this->dispatcher.includeDataCentre(dataCentre, this->now);
        return;
    }
    BackendServer &server = this->servers[choice / 4 % this->servers.size()];
    server.leaving = !server.leaving;
    this->dispatcher.setServers(this->servers, this->now);
}

void DispatcherHarness::expect(bool holds, const std::string &invariant)
{
    if (!holds) {
        this->recordedViolations.push_back(invariant);
    }
}

bool DispatcherHarness::mayRunOn(const RequestProfile &profile, const BackendServer &server) const
{
    const bool reclaimed = this->dataCentreExcluded && server.cheap;
    return !server.leaving && !reclaimed && (!server.cheap || profile.requestClass.cheapAllowed)
        && server.models.front() == profile.model;
}

std::uint32_t DispatcherHarness::running(const BackendServerId &server) const
{
    return static_cast<std::uint32_t>(std::count_if(this->tracked.begin(), this->tracked.end(), [&](const auto &item) {
        return item.second.server == server;
    }));
}

std::size_t DispatcherHarness::waitingBelow(int tier, const ModelName *model) const
{
    return static_cast<std::size_t>(std::count_if(this->tracked.begin(), this->tracked.end(), [&](const auto &item) {
        const RequestProfile &profile = item.second.profile;
        const bool sameModel = model == nullptr || profile.model == *model;
        // A request parked behind a running suspect has no place in the queue that another could take.
        const bool isQueued = item.second.server.isEmpty() && !this->isSuspectRunning(profile.fingerprint);
        return isQueued && sameModel && profile.requestClass.tier > tier;
    }));
}

const BackendServer *DispatcherHarness::findServer(const BackendServerId &id) const
{
    const auto found = std::find_if(this->servers.begin(), this->servers.end(), [&](const BackendServer &server) {
        return server.id == id;
    });
    return found == this->servers.end() ? nullptr : &*found;
}

} // namespace flamingosaddle
