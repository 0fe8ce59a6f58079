#include <flamingosaddle/state/configstate.h>

#include <flamingosaddle/state/configvalidation.h>

#include <algorithm>
#include <iterator>

namespace flamingosaddle
{

namespace
{

template <typename Table>
const typename Table::mapped_type *find(const Table &table, const typename Table::key_type &key)
{
    const auto found = table.find(key);
    return found == table.end() ? nullptr : &found->second;
}

template <typename Object>
std::uint64_t revisionOrZero(const Object *object)
{
    return object == nullptr ? 0 : object->revision;
}

ChangeOutcome outcomeOf(const Error &error)
{
    return error.kind() == ErrorKind::Conflict ? ChangeOutcome::Conflict : ChangeOutcome::Invalid;
}

} // namespace

const char *toString(ChangeOutcome outcome)
{
    switch (outcome) {
    case ChangeOutcome::Accepted:
        return "accepted";
    case ChangeOutcome::Conflict:
        return "conflict";
    case ChangeOutcome::Invalid:
        return "invalid";
    case ChangeOutcome::Duplicate:
        return "duplicate";
    }
    return "invalid";
}

ConfigState ConfigState::fromObjects(const ConfigObjects &objects, std::uint64_t nextOffset)
{
    ConfigState state;
    state.next = nextOffset;
    for (const ClientAccount &account : objects.clientAccounts) {
        state.clientAccountTable[account.id] = {account, nextOffset};
    }
    for (const Route &route : objects.routes) {
        state.routeTable[route.id] = {route, nextOffset};
    }
    for (const BackendServer &server : objects.backendServers) {
        state.backendServerTable[server.id] = {server, nextOffset};
    }
    for (const ClientKey &key : objects.keys) {
        state.keyTable[key.id] = {key, nextOffset};
    }
    return state;
}

// Commands.

ChangeResult ConfigState::apply(std::uint64_t offset, const ConfigChange &change)
{
    ChangeResult result{change.id, offset, ChangeOutcome::Duplicate, ""};
    if (offset < this->next) {
        return result;
    }
    this->next = offset + 1;
    if (this->recentOffsets.contains(change.id)) {
        return result;
    }
    const Result<void> checked = checkChange(*this, change);
    if (checked.has_error()) {
        result.outcome = outcomeOf(checked.error());
        result.detail = checked.error().text();
    } else {
        result.outcome = ChangeOutcome::Accepted;
        const auto performBody = [this](const auto &body) {
            this->perform(body);
        };
        std::visit(performBody, change.body);
    }
    this->recordResult(result);
    return result;
}

void ConfigState::skip(std::uint64_t offset)
{
    this->next = std::max(this->next, offset + 1);
}

void ConfigState::recordResult(const ChangeResult &result)
{
    this->recentResults.push_back(result);
    this->recentOffsets[result.id] = result.offset;
    if (this->recentResults.size() > maxHistoryEntries) {
        this->recentOffsets.erase(this->recentResults.front().id);
        this->recentResults.pop_front();
    }
}

void ConfigState::withdraw(const KeyId &id)
{
    this->keyTable.erase(id);
    this->withdrawnKeyTable.insert(id);
}

void ConfigState::perform(const PutTemplate &change)
{
    this->templateTable[{change.value.name, change.value.version}] = {change.value, this->next};
}

void ConfigState::perform(const PutClientAccount &change)
{
    this->clientAccountTable[change.value.id] = {change.value, this->next};
}

void ConfigState::perform(const RemoveClientAccount &change)
{
    std::vector<KeyId> keysOfAccount;
    for (const auto &[id, key] : this->keyTable) {
        if (key.value.clientAccount == change.id) {
            keysOfAccount.push_back(id);
        }
    }
    for (const KeyId &id : keysOfAccount) {
        this->withdraw(id);
    }
    this->clientAccountTable.erase(change.id);
}

void ConfigState::perform(const PutRoute &change)
{
    this->routeTable[change.value.id] = {change.value, this->next};
}

void ConfigState::perform(const RemoveRoute &change)
{
    this->routeTable.erase(change.id);
}

void ConfigState::perform(const PutBackendServer &change)
{
    this->backendServerTable[change.value.id] = {change.value, this->next};
}

void ConfigState::perform(const RemoveBackendServer &change)
{
    this->backendServerTable.erase(change.id);
}

void ConfigState::perform(const GiveKey &change)
{
    this->keyTable[change.value.id] = {change.value, this->next};
    this->givenDigestPrefixes.insert(change.value.digest.prefix());
}

void ConfigState::perform(const WithdrawKey &change)
{
    this->withdraw(change.id);
}

// Queries.

std::uint64_t ConfigState::nextOffset() const
{
    return this->next;
}

const Versioned<Template> *ConfigState::findTemplate(const TemplateName &name, std::uint32_t version) const
{
    return find(this->templateTable, {name, version});
}

const Versioned<ClientAccount> *ConfigState::findClientAccount(const ClientAccountId &id) const
{
    return find(this->clientAccountTable, id);
}

const Versioned<Route> *ConfigState::findRoute(const RouteId &id) const
{
    return find(this->routeTable, id);
}

const Versioned<BackendServer> *ConfigState::findBackendServer(const BackendServerId &id) const
{
    return find(this->backendServerTable, id);
}

const Versioned<ClientKey> *ConfigState::findKey(const KeyId &id) const
{
    return find(this->keyTable, id);
}

bool ConfigState::isWithdrawn(const KeyId &id) const
{
    return this->withdrawnKeyTable.contains(id);
}

bool ConfigState::wasGiven(const KeyDigest &digest) const
{
    return this->givenDigestPrefixes.contains(digest.prefix());
}

const std::map<TemplateKey, Versioned<Template>> &ConfigState::templates() const
{
    return this->templateTable;
}

const std::map<ClientAccountId, Versioned<ClientAccount>> &ConfigState::clientAccounts() const
{
    return this->clientAccountTable;
}

const std::map<RouteId, Versioned<Route>> &ConfigState::routes() const
{
    return this->routeTable;
}

const std::map<BackendServerId, Versioned<BackendServer>> &ConfigState::backendServers() const
{
    return this->backendServerTable;
}

const std::map<KeyId, Versioned<ClientKey>> &ConfigState::keys() const
{
    return this->keyTable;
}

const std::set<KeyId> &ConfigState::withdrawnKeys() const
{
    return this->withdrawnKeyTable;
}

std::vector<RequestClass> ConfigState::classesOf(const ClientAccountId &id) const
{
    const auto *clientAccount = this->findClientAccount(id);
    if (clientAccount == nullptr) {
        return {};
    }
    const auto *base = this->findTemplate(clientAccount->value.templateName, clientAccount->value.templateVersion);
    return base == nullptr ? std::vector<RequestClass>() : effectiveClasses(base->value, clientAccount->value);
}

namespace
{

/**
 * Returns the revision of the object that a change names.
 */
struct RevisionLookup {
    const ConfigState &state;

    std::uint64_t operator()(const PutTemplate &change) const
    {
        return revisionOrZero(this->state.findTemplate(change.value.name, change.value.version));
    }

    std::uint64_t operator()(const PutClientAccount &change) const
    {
        return revisionOrZero(this->state.findClientAccount(change.value.id));
    }

    std::uint64_t operator()(const RemoveClientAccount &change) const
    {
        return revisionOrZero(this->state.findClientAccount(change.id));
    }

    std::uint64_t operator()(const PutRoute &change) const
    {
        return revisionOrZero(this->state.findRoute(change.value.id));
    }

    std::uint64_t operator()(const RemoveRoute &change) const
    {
        return revisionOrZero(this->state.findRoute(change.id));
    }

    std::uint64_t operator()(const PutBackendServer &change) const
    {
        return revisionOrZero(this->state.findBackendServer(change.value.id));
    }

    std::uint64_t operator()(const RemoveBackendServer &change) const
    {
        return revisionOrZero(this->state.findBackendServer(change.id));
    }

    std::uint64_t operator()(const GiveKey &change) const
    {
        return revisionOrZero(this->state.findKey(change.value.id));
    }

    std::uint64_t operator()(const WithdrawKey &change) const
    {
        return revisionOrZero(this->state.findKey(change.id));
    }
};

} // namespace

std::uint64_t ConfigState::revisionOf(const ConfigChangeBody &change) const
{
    return std::visit(RevisionLookup{*this}, change);
}

std::optional<ChangeResult> ConfigState::findResult(const ChangeId &id) const
{
    const auto recent = this->recentOffsets.find(id);
    if (recent == this->recentOffsets.end()) {
        return std::nullopt;
    }
    const auto found = std::lower_bound(this->recentResults.begin(), this->recentResults.end(), recent->second,
        [](const ChangeResult &result, std::uint64_t offset) {
            return result.offset < offset;
        });
    // The results of a damaged snapshot may be in any order.
    if (found == this->recentResults.end() || found->id != id) {
        return std::nullopt;
    }
    return *found;
}

const std::deque<ChangeResult> &ConfigState::history() const
{
    return this->recentResults;
}

} // namespace flamingosaddle
