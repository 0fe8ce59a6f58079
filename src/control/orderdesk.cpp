#include <flamingosaddle/control/orderdesk.h>

#include <flamingosaddle/base/delay.h>
#include <flamingosaddle/base/hash.h>
#include <flamingosaddle/base/log.h>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::size_t maxRefusals = OrderLedger::maxClosedOrders;

// An order's id: that of the decision, and the number of refusals before.
std::string attemptId(const std::string &decision, std::uint32_t refusals)
{
    return decision + "~" + std::to_string(refusals);
}

std::string decisionOf(const std::string &orderId)
{
    return orderId.substr(0, orderId.rfind('~'));
}

bool isShown(const PlatformOrder &order, const std::vector<BackendMachine> &machines)
{
    return std::any_of(machines.begin(), machines.end(), [&order](const BackendMachine &machine) {
        return machine.orderId == order.id;
    });
}

bool mayHaveTakenEffect(const Error &error)
{
    const ErrorKind kind = error.kind();
    return kind != ErrorKind::Unreachable && kind != ErrorKind::Refused && kind != ErrorKind::Cancelled;
}

} // namespace

Role orderRole(const DataCentre &dataCentre)
{
    return Role("orders/" + dataCentre.text());
}

std::vector<PlatformOrder> replaceReclaimed(
    const DataCentre &dataCentre, const std::vector<BackendMachine> &machines, TimePoint /*now*/)
{
    std::vector<PlatformOrder> orders;
    for (const BackendMachine &machine : machines) {
        if (!machine.reclaimNotice) {
            continue;
        }
        PlatformOrder order;
        // A machine's id may come back with another order, and is then replaced again.
        order.id = "replace/" + dataCentre.text() + "/" + machine.id + "/" + std::to_string(hash64(machine.orderId));
        order.kind = OrderKind::StartServer;
        order.model = machine.model;
        order.cheap = machine.cheap;
        orders.push_back(std::move(order));
    }
    return orders;
}

OrderDesk::OrderDesk(const Platform &platform, const LeaseKeeper &leases, Options options)
    : platform(platform)
    , leases(leases)
    , options(std::move(options))
    , replica(platform, LogStream::Orders, LogStream::OrdersSnapshot,
          LogReplicaHooks{
              [this] {
                  return this->orderLedger.nextOffset();
              },
              [this](std::string_view text) {
                  return this->restore(text);
              },
              [this](const LogRecord &record) {
                  this->takeRecord(record);
              },
              {},
          },
          this->options.seed)
    , appender(platform, LogStream::Orders, LogAppenderOptions{}, this->options.seed)
{
}

// Commands.

boost::asio::awaitable<void> OrderDesk::runTail()
{
    return this->replica.run();
}

boost::asio::awaitable<void> OrderDesk::runAppender()
{
    return this->appender.run();
}

boost::asio::awaitable<void> OrderDesk::run(DataCentre dataCentre)
{
    this->regions.try_emplace(dataCentre, LoadSchedule(this->options.loadRate, RuntimeClock::now()));
    while (!this->stopped) {
        co_await this->work(dataCentre);
        co_await delay(this->options.tickInterval);
    }
}

void OrderDesk::stop()
{
    this->stopped = true;
    this->replica.stop();
    this->appender.stop();
}

void OrderDesk::finish()
{
    this->finishing = true;
}

boost::asio::awaitable<void> OrderDesk::work(DataCentre dataCentre)
{
    Region &region = this->regions.at(dataCentre);
    const std::uint64_t epoch = this->leases.epoch(orderRole(dataCentre));
    this->enterEpoch(dataCentre, epoch);
    if (!this->replica.isLogAnswering() || !this->leases.isHeld(orderRole(dataCentre), RuntimeClock::now())) {
        co_return;
    }
    if (this->orderLedger.epochOf(dataCentre) != epoch) {
        co_await this->appendTakeover(dataCentre);
        co_return;
    }
    if (!region.awaiting.empty()) {
        co_await this->appendAwaiting(dataCentre);
        co_return;
    }
    co_await this->sendRecorded(dataCentre);
    const TimePoint now = RuntimeClock::now();
    if (now < region.nextLook) {
        co_return;
    }
    region.nextLook = now + this->options.lookInterval;
    Result<std::vector<BackendMachine>> machines = co_await this->platform.backendMachines(dataCentre);
    if (machines.has_error() || this->permission(dataCentre, epoch) <= Duration::zero()) {
        co_return;
    }
    co_await this->settle(dataCentre, machines.value());
    if (!this->finishing && this->orderLedger.openIntents(dataCentre).empty()) {
        this->plan(dataCentre, machines.value());
        co_await this->appendAwaiting(dataCentre);
    }
}

boost::asio::awaitable<void> OrderDesk::sendRecorded(DataCentre dataCentre)
{
    const Region &region = this->regions.at(dataCentre);
    for (const PlatformOrder &order : this->orderLedger.openIntents(dataCentre)) {
        if (!region.sent.contains(order.id) && this->orderLedger.maySend(order.id, region.epoch)) {
            co_await this->send(order);
        }
    }
}

boost::asio::awaitable<void> OrderDesk::settle(DataCentre dataCentre, std::vector<BackendMachine> machines)
{
    const Region &region = this->regions.at(dataCentre);
    for (PlatformOrder order : this->orderLedger.openIntents(dataCentre)) {
        if (region.concluding.contains(order.id)) {
            continue;
        }
        if (isShown(order, machines)) {
            this->conclude(order, OrderOutcome::Done);
            continue;
        }
        // The id is the same, so the interface carries the order out once, whichever copy arrives first.
        order.fencing = region.epoch;
        order.holder = this->options.self.text();
        co_await this->send(std::move(order));
    }
}

boost::asio::awaitable<void> OrderDesk::send(PlatformOrder order)
{
    Region &region = this->regions.at(order.dataCentre);
    const std::uint64_t epoch = order.fencing;
    std::optional<TimePoint> lostBefore;
    if (const auto lost = region.unanswered.find(order.id); lost != region.unanswered.end()) {
        lostBefore = lost->second;
    }
    region.sent.insert(order.id);
    region.unanswered[order.id] = RuntimeClock::now();
    std::function<Duration()> permission = [this, dataCentre = order.dataCentre, epoch] {
        return this->permission(dataCentre, epoch);
    };
    const Result<void> answer = co_await this->platform.order(order, std::move(permission));
    if (answer.has_value()) {
        this->conclude(order, OrderOutcome::Done);
    } else {
        this->takeFailure(order, answer.error(), lostBefore);
    }
}

void OrderDesk::takeFailure(const PlatformOrder &order, const Error &error, std::optional<TimePoint> lostBefore)
{
    Region &region = this->regions.at(order.dataCentre);
    const TimePoint now = RuntimeClock::now();
    if (mayHaveTakenEffect(error)) {
        region.unanswered[order.id] = now;
        return;
    }
    if (lostBefore) {
        region.unanswered[order.id] = *lostBefore;
    } else {
        region.unanswered.erase(order.id);
    }
    // A refusal says nothing about an earlier copy that may still arrive, nor about the copy that a successor sends.
    const bool earlierCopyIsGone = !lostBefore || now >= *lostBefore + this->options.orderLife;
    const bool stillHolder = this->permission(order.dataCentre, order.fencing) > Duration::zero();
    if (error.kind() == ErrorKind::Refused && earlierCopyIsGone && stillHolder) {
        logStateChange(LogLevel::Warning, "control", "order refused", {{"order", order.id}, {"error", error.text()}});
        this->conclude(order, OrderOutcome::NotDone);
    }
}

boost::asio::awaitable<void> OrderDesk::appendTakeover(DataCentre dataCentre)
{
    Region &region = this->regions.at(dataCentre);
    if (RuntimeClock::now() < region.nextAppend) {
        co_return;
    }
    region.nextAppend = RuntimeClock::now() + this->options.lookInterval;
    OrderRecord record;
    record.id = this->nextId();
    record.kind = OrderRecordKind::Takeover;
    record.order.dataCentre = dataCentre;
    record.order.fencing = region.epoch;
    // The answer decides nothing: a record counts once it is read back.
    const Result<std::uint64_t> ignored = co_await this->platform.append(LogStream::Orders, encodeOrderRecord(record));
    static_cast<void>(ignored);
}

boost::asio::awaitable<void> OrderDesk::appendAwaiting(DataCentre dataCentre)
{
    Region &region = this->regions.at(dataCentre);
    if (RuntimeClock::now() < region.nextAppend) {
        co_return;
    }
    region.nextAppend = RuntimeClock::now() + this->options.lookInterval;
    // Records may be read back while an append is under way.
    const std::map<std::string, OrderRecord> records = region.awaiting;
    for (const auto &[id, record] : records) {
        const Result<std::uint64_t> appended = co_await this->platform.append(LogStream::Orders, encodeOrderRecord(record));
        if (appended.has_error()) {
            co_return;
        }
    }
}

void OrderDesk::enterEpoch(const DataCentre &dataCentre, std::uint64_t epoch)
{
    Region &region = this->regions.at(dataCentre);
    if (region.epoch == epoch) {
        return;
    }
    std::map<std::string, TimePoint> unanswered = std::move(region.unanswered);
    region = Region(LoadSchedule(this->options.loadRate, RuntimeClock::now()));
    region.unanswered = std::move(unanswered);
    region.epoch = epoch;
}

void OrderDesk::plan(const DataCentre &dataCentre, const std::vector<BackendMachine> &machines)
{
    const TimePoint now = RuntimeClock::now();
    Region &region = this->regions.at(dataCentre);
    // Loads that are no longer wanted lose their place.
    const std::map<std::string, TimePoint> loadStarts = std::exchange(region.loadStarts, {});
    for (PlatformOrder &order : this->options.wantedOrders(dataCentre, machines, now)) {
        const std::optional<std::string> id = this->newOrderId(order.id, machines, now);
        if (!id || now < this->startOf(order, region, loadStarts, now)) {
            continue;
        }
        if (region.awaiting.size() >= this->options.maxOrdersPerLook) {
            continue;
        }
        order.id = *id;
        order.dataCentre = dataCentre;
        order.fencing = region.epoch;
        order.holder = this->options.self.text();
        region.awaiting.emplace(*id, OrderRecord{this->nextId(), OrderRecordKind::Intent, std::move(order), {}});
    }
    region.nextAppend = now;
}

TimePoint OrderDesk::startOf(
    const PlatformOrder &order, Region &region, const std::map<std::string, TimePoint> &known, TimePoint now)
{
    if (order.kind != OrderKind::LoadModel) {
        return now;
    }
    const std::string key = order.server + " " + order.model;
    const auto found = known.find(key);
    if (found != known.end()) {
        region.loadStarts[key] = found->second;
    } else if (!region.loadStarts.contains(key)) {
        const std::uint64_t bytes = this->options.modelBytes ? this->options.modelBytes(order.model) : assumedModelBytes;
        region.loadStarts[key] = region.schedule.reserve(bytes, now);
    }
    return region.loadStarts.at(key);
}

void OrderDesk::conclude(const PlatformOrder &order, OrderOutcome outcome)
{
    Region &region = this->regions.at(order.dataCentre);
    region.unanswered.erase(order.id);
    region.concluding.insert(order.id);
    OrderRecord record;
    record.id = this->nextId();
    record.kind = OrderRecordKind::Outcome;
    record.order.id = order.id;
    record.outcome = outcome;
    this->appender.push(encodeOrderRecord(record));
}

Result<void> OrderDesk::restore(std::string_view text)
{
    BOOST_OUTCOME_TRY(ledger, decodeOrderSnapshot(text));
    if (ledger.nextOffset() > this->orderLedger.nextOffset()) {
        this->orderLedger = std::move(ledger);
    }
    return done();
}

void OrderDesk::takeRecord(const LogRecord &record)
{
    const Result<OrderRecord> decoded = decodeOrderRecord(record.body);
    if (decoded.has_error()) {
        this->orderLedger.skip(record.offset);
        return;
    }
    const OrderRecord &taken = decoded.value();
    const OrderResult result = this->orderLedger.apply(record.offset, taken);
    if (taken.kind == OrderRecordKind::Intent) {
        for (auto &[dataCentre, region] : this->regions) {
            region.awaiting.erase(taken.order.id);
        }
    }
    if (taken.kind == OrderRecordKind::Outcome && result == OrderResult::Recorded) {
        this->takeOutcome(taken);
    }
}

void OrderDesk::takeOutcome(const OrderRecord &record)
{
    for (auto &[dataCentre, region] : this->regions) {
        region.concluding.erase(record.order.id);
        region.sent.erase(record.order.id);
        region.unanswered.erase(record.order.id);
    }
    if (record.outcome == OrderOutcome::Done) {
        return;
    }
    if (this->refusals.size() >= maxRefusals) {
        this->refusals.clear();
    }
    Refusals &refused = this->refusals[decisionOf(record.order.id)];
    ++refused.count;
    refused.retryAt = RuntimeClock::now() + this->options.refusalDelay;
}

RecordId OrderDesk::nextId()
{
    return {this->options.self, ++this->sequence};
}

// Queries.

const OrderLedger &OrderDesk::ledger() const
{
    return this->orderLedger;
}

std::size_t OrderDesk::unappendedCount() const
{
    std::size_t count = this->appender.bufferedCount();
    for (const auto &[dataCentre, region] : this->regions) {
        count += region.awaiting.size();
    }
    return count;
}

bool OrderDesk::hasUnanswered(const DataCentre &dataCentre) const
{
    const auto region = this->regions.find(dataCentre);
    return region != this->regions.end() && !region->second.unanswered.empty();
}

bool OrderDesk::isIdle() const
{
    return this->unappendedCount() == 0 && std::all_of(this->regions.begin(), this->regions.end(), [](const auto &entry) {
        return entry.second.unanswered.empty();
    });
}

// Empty when nothing is to be ordered for the decision at present.
std::optional<std::string> OrderDesk::newOrderId(
    const std::string &decision, const std::vector<BackendMachine> &machines, TimePoint now) const
{
    if (decision.empty()) {
        return attemptId(this->options.self.text() + "/" + std::to_string(this->sequence + 1), 0);
    }
    const auto refused = this->refusals.find(decision);
    const bool wasRefused = refused != this->refusals.end();
    // The copy of an order that another holder sent may have taken effect although this one's was refused.
    const bool shown = std::any_of(machines.begin(), machines.end(), [&decision](const BackendMachine &machine) {
        return decisionOf(machine.orderId) == decision;
    });
    const std::string id = attemptId(decision, wasRefused ? refused->second.count : 0);
    if (shown || this->orderLedger.isKnown(id) || (wasRefused && now < refused->second.retryAt)) {
        return std::nullopt;
    }
    return id;
}

Duration OrderDesk::permission(const DataCentre &dataCentre, std::uint64_t epoch) const
{
    const Role role = orderRole(dataCentre);
    const bool superseded = this->leases.epoch(role) != epoch || this->orderLedger.epochOf(dataCentre) != epoch;
    if (superseded || !this->replica.isLogAnswering()) {
        return Duration::zero();
    }
    return this->leases.remaining(role, RuntimeClock::now());
}

} // namespace flamingosaddle
