#include <flamingosaddle/traffic/dispatcher.h>

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace flamingosaddle
{

namespace
{

using Target = std::pair<ModelName, ServiceName>;

struct Request {
    RequestProfile profile;
    BackendServerId server; // where it runs; empty while it waits
    BackendServerId lastServer; // where the last attempt failed
    std::uint32_t attempts = 0;
    bool everSent = false;
};

struct ServerState {
    BackendServer server;
    ServerReport load;
    std::uint32_t inFlight = 0;
    bool present = true;
};

struct DeathRecord {
    std::uint32_t deaths = 0;
    TimePoint suspectUntil;
    std::uint32_t running = 0;
};

constexpr double retryFloor = 3.0; // retries that a client account has at the start

} // namespace

const char *toString(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::Evicted:
        return "evicted";
    case RefusalReason::DeadlineMissed:
        return "deadline_missed";
    case RefusalReason::NoServer:
        return "no_server";
    case RefusalReason::Quarantined:
        return "quarantined";
    case RefusalReason::RetriesExhausted:
        return "retries_exhausted";
    case RefusalReason::Draining:
        return "draining";
    case RefusalReason::Cancelled:
        return "cancelled";
    }
    return "overloaded";
}

class Dispatcher::Implementation
{
public:
    explicit Implementation(DispatcherOptions options)
        : options(options)
    {
    }

    DispatcherOptions options;
    std::map<Ticket, Request> requests;
    std::vector<Ticket> waiting; // in order of arrival
    std::map<BackendServerId, ServerState> servers;
    std::map<ClientAccountId, double> served; // tokens by share
    std::map<ClientAccountId, double> retryCredit;
    std::unordered_map<std::uint64_t, DeathRecord> deaths;
    std::set<DataCentre> excluded;
    std::vector<Rejection> pending; // rejections that the next dispatch() hands out
    std::map<std::pair<ClientAccountId, std::pair<Target, int>>, std::uint64_t> serviceLog;
    std::uint64_t nextTicket = 1;

    static Target targetOf(const RequestProfile &profile)
    {
        return {profile.model, profile.service};
    }

    bool serves(const ServerState &state, const RequestProfile &profile) const
    {
        const BackendServer &server = state.server;
        const bool reclaimed = server.cheap && this->excluded.count(server.dataCentre) != 0;
        if (!state.present || server.leaving || reclaimed || (server.cheap && !profile.requestClass.cheapAllowed)) {
            return false;
        }
        if (profile.model.isEmpty()) {
            return server.kind == BackendKind::Service && server.service == profile.service;
        }
        return std::find(server.models.begin(), server.models.end(), profile.model) != server.models.end();
    }

    bool anyServer(const RequestProfile &profile) const
    {
        return std::any_of(this->servers.begin(), this->servers.end(), [&](const auto &entry) {
            return this->serves(entry.second, profile);
        });
    }

    Refusal refusalOf(const Request &request, RefusalReason reason) const
    {
        return Refusal{reason, request.everSent ? RunState::Unknown : RunState::NotRun, std::chrono::seconds(1)};
    }

    bool isQuarantined(std::uint64_t fingerprint, TimePoint now) const
    {
        const auto found = this->deaths.find(fingerprint);
        if (fingerprint == 0 || found == this->deaths.end()) {
            return false;
        }
        const DeathRecord &record = found->second;
        return record.deaths >= this->options.quarantineDeaths
            || (record.deaths > 0 && (record.running > 0 || record.suspectUntil > now));
    }

    // Better requests come first: higher tier, then the client account that was served least, then arrival.
    std::tuple<int, double, TimePoint> rank(Ticket ticket) const
    {
        const RequestProfile &profile = this->requests.at(ticket).profile;
        const auto found = this->served.find(profile.clientAccount);
        return {profile.requestClass.tier, found == this->served.end() ? 0.0 : found->second, profile.arrival};
    }

    void removeWaiting(Ticket ticket)
    {
        std::erase(this->waiting, ticket);
    }

    void reject(Ticket ticket, RefusalReason reason)
    {
        this->pending.push_back({ticket, this->refusalOf(this->requests.at(ticket), reason)});
        this->removeWaiting(ticket);
        this->requests.erase(ticket);
    }

    // Whether a place in the queue was found, by evicting a lower tier when there is no other.
    bool makeRoom(int tier)
    {
        if (this->waiting.size() < this->options.maxWaiting) {
            return true;
        }
        const auto tierOf = [this](Ticket ticket) {
            return this->requests.at(ticket).profile.requestClass.tier;
        };
        const auto lowest = std::max_element(this->waiting.begin(), this->waiting.end(), [&](Ticket left, Ticket right) {
            return tierOf(left) <= tierOf(right);
        });
        if (lowest == this->waiting.end() || tierOf(*lowest) <= tier) {
            return false;
        }
        this->reject(*lowest, RefusalReason::Evicted);
        return true;
    }

    ServerState *select(const Request &request)
    {
        ServerState *best = nullptr;
        std::tuple<bool, double> bestRank;
        for (auto &entry : this->servers) {
            ServerState &state = entry.second;
            if (!this->serves(state, request.profile) || state.inFlight >= state.server.slots) {
                continue;
            }
            const double load = static_cast<double>(state.inFlight + state.load.peersInFlight) / state.server.slots;
            const std::tuple<bool, double> rank{state.server.id == request.lastServer, load};
            if (best == nullptr || rank < bestRank) {
                best = &state;
                bestRank = rank;
            }
        }
        return best;
    }

    void assign(Ticket ticket, ServerState &state, Decisions &decisions)
    {
        Request &request = this->requests.at(ticket);
        const auto death = this->deaths.find(request.profile.fingerprint);
        const bool suspect = death != this->deaths.end() && death->second.deaths > 0;
        if (suspect) {
            ++death->second.running;
        }
        request.server = state.server.id;
        ++request.attempts;
        ++state.inFlight;
        decisions.assignments.push_back({ticket, state.server.id, suspect});
    }

    void endAttempt(Request &request, AttemptEnd end)
    {
        const auto state = this->servers.find(request.server);
        if (state != this->servers.end() && state->second.inFlight > 0) {
            --state->second.inFlight;
            if (state->second.inFlight == 0 && !state->second.present) {
                this->servers.erase(state);
            }
        }
        const auto death = this->deaths.find(request.profile.fingerprint);
        if (death != this->deaths.end() && death->second.running > 0) {
            --death->second.running;
        }
        if (end == AttemptEnd::ServerFailed && request.profile.fingerprint != 0) {
            ++this->deaths[request.profile.fingerprint].deaths;
        }
        request.lastServer = request.server;
        request.server = BackendServerId();
    }
};

Dispatcher::Dispatcher(DispatcherOptions options)
    : implementation(std::make_unique<Implementation>(options))
{
}

Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher &&) noexcept = default;
Dispatcher &Dispatcher::operator=(Dispatcher &&) noexcept = default;

void Dispatcher::setServers(const std::vector<BackendServer> &servers, TimePoint /*now*/)
{
    auto &states = this->implementation->servers;
    for (auto &entry : states) {
        entry.second.present = false;
    }
    for (const BackendServer &server : servers) {
        ServerState &state = states[server.id];
        state.server = server;
        state.present = true;
    }
    std::erase_if(states, [](const auto &entry) {
        return !entry.second.present && entry.second.inFlight == 0;
    });
}

void Dispatcher::report(const ServerReport &report)
{
    const auto found = this->implementation->servers.find(report.server);
    if (found != this->implementation->servers.end() && found->second.load.measuredAt <= report.measuredAt) {
        found->second.load = report;
    }
}

std::variant<Ticket, Refusal> Dispatcher::submit(const RequestProfile &profile, TimePoint now)
{
    Implementation &state = *this->implementation;
    if (state.isQuarantined(profile.fingerprint, now)) {
        return Refusal{RefusalReason::Quarantined};
    }
    if (!state.anyServer(profile)) {
        return Refusal{RefusalReason::NoServer};
    }
    if (!state.makeRoom(profile.requestClass.tier)) {
        return Refusal{RefusalReason::Overloaded};
    }
    const Ticket ticket{state.nextTicket++};
    state.requests.emplace(ticket, Request{profile, {}, {}, 0, false});
    state.waiting.push_back(ticket);
    return ticket;
}

void Dispatcher::dispatch(TimePoint now, Decisions &decisions)
{
    Implementation &state = *this->implementation;
    decisions.assignments.clear();
    std::vector<Ticket> ordered = state.waiting;
    std::sort(ordered.begin(), ordered.end(), [&](Ticket left, Ticket right) {
        return state.rank(left) < state.rank(right);
    });
    for (const Ticket ticket : ordered) {
        const Request &request = state.requests.at(ticket);
        const RequestProfile &profile = request.profile;
        if (profile.arrival + profile.requestClass.deadline <= now) {
            state.reject(ticket, RefusalReason::DeadlineMissed);
        } else if (state.isQuarantined(profile.fingerprint, now)) {
            state.reject(ticket, RefusalReason::Quarantined);
        } else if (!state.anyServer(profile)) {
            state.reject(ticket, RefusalReason::NoServer);
        } else if (ServerState *server = state.select(request); server != nullptr) {
            state.removeWaiting(ticket);
            state.assign(ticket, *server, decisions);
        }
    }
    decisions.rejections = std::move(state.pending);
    state.pending.clear();
}

void Dispatcher::firstToken(Ticket /*ticket*/, TimePoint /*now*/)
{
}

void Dispatcher::tokens(Ticket ticket, std::uint32_t count, TimePoint /*now*/)
{
    Implementation &state = *this->implementation;
    const auto found = state.requests.find(ticket);
    if (found == state.requests.end()) {
        return;
    }
    const RequestProfile &profile = found->second.profile;
    state.served[profile.clientAccount] += count / std::max(profile.clientAccountShare, 1e-6);
    state.serviceLog[{profile.clientAccount, {state.targetOf(profile), profile.requestClass.tier}}] += count;
}

void Dispatcher::finish(Ticket ticket, AttemptEnd end, TimePoint /*now*/)
{
    Implementation &state = *this->implementation;
    const auto found = state.requests.find(ticket);
    if (found == state.requests.end()) {
        return;
    }
    if (end == AttemptEnd::Completed) {
        state.retryCredit[found->second.profile.clientAccount] += state.options.retryPercent / 100.0;
    }
    state.endAttempt(found->second, end);
    state.removeWaiting(ticket);
    state.requests.erase(found);
}

std::optional<Refusal> Dispatcher::retry(Ticket ticket, AttemptEnd end, bool anyByteSent, TimePoint now)
{
    Implementation &state = *this->implementation;
    const auto found = state.requests.find(ticket);
    if (found == state.requests.end()) {
        return Refusal{RefusalReason::Cancelled, RunState::Unknown};
    }
    Request &request = found->second;
    request.everSent = request.everSent || anyByteSent;
    state.endAttempt(request, end);
    const RequestProfile &profile = request.profile;
    auto credit = state.retryCredit.try_emplace(profile.clientAccount, retryFloor).first;
    std::optional<RefusalReason> reason;
    if (state.isQuarantined(profile.fingerprint, now)) {
        reason = RefusalReason::Quarantined;
    } else if (profile.arrival + profile.requestClass.deadline <= now) {
        reason = RefusalReason::DeadlineMissed;
    } else if ((request.everSent && !profile.idempotent) || request.attempts >= state.options.maxAttempts
        || credit->second < 1.0) {
        reason = RefusalReason::RetriesExhausted;
    }
    if (reason.has_value()) {
        const Refusal refusal = state.refusalOf(request, *reason);
        state.requests.erase(found);
        return refusal;
    }
    credit->second -= 1.0;
    state.waiting.push_back(ticket);
    return std::nullopt;
}

void Dispatcher::cancel(Ticket ticket, TimePoint /*now*/)
{
    Implementation &state = *this->implementation;
    const auto place = std::find(state.waiting.begin(), state.waiting.end(), ticket);
    if (place != state.waiting.end()) {
        state.waiting.erase(place);
        state.requests.erase(ticket);
    }
}

void Dispatcher::noteDeath(std::uint64_t fingerprint, const BackendServerId & /*server*/, TimePoint /*now*/)
{
    ++this->implementation->deaths[fingerprint].deaths;
}

void Dispatcher::noteSuspect(std::uint64_t fingerprint, TimePoint until)
{
    DeathRecord &record = this->implementation->deaths[fingerprint];
    record.deaths = std::max(record.deaths, 1U);
    record.suspectUntil = std::max(record.suspectUntil, until);
}

void Dispatcher::notePeerService(const ServiceReport &service)
{
    this->implementation->served[service.clientAccount] += static_cast<double>(service.tokens);
}

void Dispatcher::takeService(std::vector<ServiceReport> &services)
{
    services.clear();
    for (const auto &[key, tokens] : this->implementation->serviceLog) {
        services.push_back({key.first, key.second.first.first, key.second.first.second, key.second.second, tokens});
    }
    this->implementation->serviceLog.clear();
}

void Dispatcher::excludeDataCentre(const DataCentre &dataCentre, TimePoint /*now*/)
{
    this->implementation->excluded.insert(dataCentre);
}

void Dispatcher::includeDataCentre(const DataCentre &dataCentre, TimePoint /*now*/)
{
    this->implementation->excluded.erase(dataCentre);
}

std::size_t Dispatcher::waitingCount() const
{
    return this->implementation->waiting.size();
}

std::size_t Dispatcher::runningCount() const
{
    return this->implementation->requests.size() - this->implementation->waiting.size();
}

std::uint32_t Dispatcher::inFlight(const BackendServerId &server) const
{
    const auto found = this->implementation->servers.find(server);
    return found == this->implementation->servers.end() ? 0 : found->second.inFlight;
}

std::optional<TimePoint> Dispatcher::nextWakeup() const
{
    std::optional<TimePoint> earliest;
    for (const Ticket ticket : this->implementation->waiting) {
        const RequestProfile &profile = this->implementation->requests.at(ticket).profile;
        const TimePoint deadline = profile.arrival + profile.requestClass.deadline;
        earliest = earliest.has_value() ? std::min(*earliest, deadline) : deadline;
    }
    return earliest;
}

} // namespace flamingosaddle
