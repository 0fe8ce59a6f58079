#include <flamingosaddle/state/configvalidation.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace flamingosaddle
{

namespace
{

auto invalid(const std::string &field, const std::string &problem, const std::string &remedy)
{
    return fail(ErrorKind::InvalidConfiguration, "field '" + field + "' " + problem, remedy);
}

bool isNameCharacter(char character)
{
    return character > ' ' && character != '\x7f' && character != '"' && character != '\\';
}

Result<void> checkName(const std::string &field, const std::string &name)
{
    const bool isPlain = std::all_of(name.begin(), name.end(), [](char character) {
        return isNameCharacter(character) && static_cast<unsigned char>(character) < 0x80;
    });
    if (name.empty() || name.size() > ConfigLimits::maxNameBytes || !isPlain) {
        return invalid(field, "is not a valid name",
            "use 1 to " + std::to_string(ConfigLimits::maxNameBytes)
                + " printable ASCII characters without space, quote or backslash");
    }
    return success();
}

template <typename Names>
Result<void> checkNames(const std::string &field, const Names &names)
{
    if (names.size() > ConfigLimits::maxNames) {
        return invalid(field, "is too long", "list at most " + std::to_string(ConfigLimits::maxNames) + " names");
    }
    std::set<std::string_view> seen;
    for (const auto &name : names) {
        BOOST_OUTCOME_TRYV(checkName(field, name.text()));
        if (!seen.insert(name.text()).second) {
            return invalid(field, "contains '" + name.text() + "' twice", "list it once");
        }
    }
    return success();
}

Result<void> checkDuration(const std::string &field, std::chrono::milliseconds duration)
{
    if (duration <= std::chrono::milliseconds::zero() || duration > ConfigLimits::maxDuration) {
        return invalid(field, "is out of range", "use 1 to " + std::to_string(ConfigLimits::maxDuration.count()) + " ms");
    }
    return success();
}

Result<void> checkClass(const std::string &field, const RequestClass &value)
{
    BOOST_OUTCOME_TRYV(checkName(field + ".name", value.name.text()));
    if (value.tier < 0 || value.tier > ConfigLimits::maxTier) {
        return invalid(field + ".tier", "is out of range", "use 0 to " + std::to_string(ConfigLimits::maxTier));
    }
    BOOST_OUTCOME_TRYV(checkDuration(field + ".firstTokenTargetMs", value.firstTokenTarget));
    BOOST_OUTCOME_TRYV(checkDuration(field + ".interTokenTargetMs", value.interTokenTarget));
    BOOST_OUTCOME_TRYV(checkDuration(field + ".deadlineMs", value.deadline));
    if (value.deadline < value.firstTokenTarget) {
        return invalid(
            field + ".deadlineMs", "is below firstTokenTargetMs", "use a deadline that is not shorter than firstTokenTargetMs");
    }
    if (!(value.floorShare >= 0.0 && value.floorShare <= 1.0)) {
        return invalid(field + ".floorShare", "is out of range", "use 0 to 1");
    }
    return success();
}

Result<void> checkClasses(const std::vector<RequestClass> &classes)
{
    if (classes.empty() || classes.size() > ConfigLimits::maxClasses) {
        return invalid(
            "classes", "has an invalid length", "define 1 to " + std::to_string(ConfigLimits::maxClasses) + " classes");
    }
    std::set<ClassName> seen;
    double floorShares = 0.0;
    for (std::size_t i = 0; i < classes.size(); ++i) {
        const std::string field = "classes[" + std::to_string(i) + "]";
        BOOST_OUTCOME_TRYV(checkClass(field, classes[i]));
        if (!seen.insert(classes[i].name).second) {
            return invalid(field + ".name", "is used twice", "give each class a unique name");
        }
        floorShares += classes[i].floorShare;
    }
    if (floorShares > 1.0) {
        return invalid("classes.floorShare", "adds up to more than 1", "lower the floor shares of the classes");
    }
    return success();
}

Result<void> checkOverrides(const Template &base, const ClientAccount &clientAccount)
{
    for (const ClassOverrides &overrides : clientAccount.classes) {
        const bool isKnown = std::any_of(base.classes.begin(), base.classes.end(), [&overrides](const RequestClass &candidate) {
            return candidate.name == overrides.name;
        });
        if (!isKnown) {
            return invalid(
                "classes.name", "'" + overrides.name.text() + "' is not a class of the template", "name one of its classes");
        }
    }
    return checkClasses(effectiveClasses(base, clientAccount));
}

RequestClass withOverrides(RequestClass requestClass, const ClassOverrides &overrides)
{
    requestClass.tier = overrides.tier.value_or(requestClass.tier);
    requestClass.idempotent = overrides.idempotent.value_or(requestClass.idempotent);
    requestClass.firstTokenTarget = overrides.firstTokenTarget.value_or(requestClass.firstTokenTarget);
    requestClass.interTokenTarget = overrides.interTokenTarget.value_or(requestClass.interTokenTarget);
    requestClass.deadline = overrides.deadline.value_or(requestClass.deadline);
    requestClass.floorShare = overrides.floorShare.value_or(requestClass.floorShare);
    requestClass.cheapAllowed = overrides.cheapAllowed.value_or(requestClass.cheapAllowed);
    return requestClass;
}

/**
 * Validates a change against the state that it is applied to.
 */
class ChangeValidator
{
public:
    explicit ChangeValidator(const ConfigState &state)
        : state(state)
    {
    }

    Result<void> operator()(const PutTemplate &change) const
    {
        BOOST_OUTCOME_TRYV(validate(change.value));
        if (this->state.findTemplate(change.value.name, change.value.version) != nullptr) {
            return invalid("version", "is already published and cannot change", "publish the template under the next version");
        }
        return success();
    }

    Result<void> operator()(const PutClientAccount &change) const
    {
        BOOST_OUTCOME_TRYV(validate(change.value));
        const auto *base = this->state.findTemplate(change.value.templateName, change.value.templateVersion);
        if (base == nullptr) {
            return invalid("templateName", "and templateVersion do not name a published template", "publish the template first");
        }
        return checkOverrides(base->value, change.value);
    }

    Result<void> operator()(const PutRoute &change) const
    {
        BOOST_OUTCOME_TRYV(validate(change.value));
        for (const auto &[id, route] : this->state.routes()) {
            if (id != change.value.id && route.value.pathPrefix == change.value.pathPrefix) {
                return invalid(
                    "pathPrefix", "belongs to route '" + id.text() + "'", "choose another prefix or change that route");
            }
        }
        return success();
    }

    Result<void> operator()(const PutBackendServer &change) const
    {
        return validate(change.value);
    }

    Result<void> operator()(const GiveKey &change) const
    {
        const ClientKey &key = change.value;
        BOOST_OUTCOME_TRYV(validate(key));
        if (this->state.isWithdrawn(key.id)) {
            return invalid("id", "names a withdrawn key", "give a new key under a new id");
        }
        if (this->state.findKey(key.id) != nullptr) {
            return invalid("id", "names a key that was given before", "give a new key under a new id");
        }
        if (this->state.findClientAccount(key.clientAccount) == nullptr) {
            return invalid("clientAccount", "names no client account", "create the client account first");
        }
        if (this->state.wasGiven(key.digest)) {
            return invalid("digest", "belongs to a key that was given before", "generate another key");
        }
        return success();
    }

    Result<void> operator()(const WithdrawKey &change) const
    {
        return checkName("id", change.id.text());
    }

    Result<void> operator()(const RemoveClientAccount &change) const
    {
        return this->checkExists(this->state.findClientAccount(change.id), "client account");
    }

    Result<void> operator()(const RemoveRoute &change) const
    {
        return this->checkExists(this->state.findRoute(change.id), "route");
    }

    Result<void> operator()(const RemoveBackendServer &change) const
    {
        return this->checkExists(this->state.findBackendServer(change.id), "backend server");
    }

private:
    static Result<void> checkExists(const void *object, const char *kind)
    {
        if (object == nullptr) {
            return invalid("id", std::string("names no ") + kind, "list the objects and name one of them");
        }
        return success();
    }

    const ConfigState &state;
};

Result<void> checkRevision(const ConfigState &state, const ConfigChange &change)
{
    // A withdrawal must take effect regardless of other changes to the key.
    if (!change.expectedRevision.has_value() || std::holds_alternative<WithdrawKey>(change.body)) {
        return success();
    }
    const std::uint64_t current = state.revisionOf(change.body);
    if (current != *change.expectedRevision) {
        return fail(ErrorKind::Conflict,
            "the object is at revision " + std::to_string(current) + ", not at " + std::to_string(*change.expectedRevision),
            "read the object again and repeat the change against its revision");
    }
    return success();
}

} // namespace

Result<void> validate(const Template &value)
{
    BOOST_OUTCOME_TRYV(checkName("name", value.name.text()));
    if (value.version == 0) {
        return invalid("version", "is 0", "start versions at 1");
    }
    return checkClasses(value.classes);
}

Result<void> validate(const ClientAccount &value)
{
    BOOST_OUTCOME_TRYV(checkName("id", value.id.text()));
    BOOST_OUTCOME_TRYV(checkName("templateName", value.templateName.text()));
    if (!(value.share > 0.0 && value.share <= ConfigLimits::maxShare)) {
        return invalid("share", "is out of range", "use a weight above 0");
    }
    std::set<ClassName> seen;
    for (const ClassOverrides &overrides : value.classes) {
        if (!seen.insert(overrides.name).second) {
            return invalid("classes.name", "'" + overrides.name.text() + "' is listed twice", "list each class once");
        }
    }
    BOOST_OUTCOME_TRYV(checkNames("models", value.models));
    return checkNames("services", value.services);
}

Result<void> validate(const Route &value)
{
    BOOST_OUTCOME_TRYV(checkName("id", value.id.text()));
    BOOST_OUTCOME_TRYV(checkName("service", value.service.text()));
    const std::string &prefix = value.pathPrefix;
    const bool isPath = !prefix.empty() && prefix.front() == '/' && std::all_of(prefix.begin(), prefix.end(), isNameCharacter);
    if (!isPath || prefix.size() > ConfigLimits::maxPathPrefixBytes) {
        return invalid("pathPrefix", "is not a valid path", "start it with '/' and use at most 1024 bytes without spaces");
    }
    return success();
}

Result<void> validate(const BackendServer &value)
{
    BOOST_OUTCOME_TRYV(checkName("id", value.id.text()));
    BOOST_OUTCOME_TRYV(checkName("dataCentre", value.dataCentre.text()));
    if (value.endpoint.port == 0 || Endpoint::parse(value.endpoint.text()).has_error()) {
        return invalid("endpoint", "is not an IP address and port", "use for example 127.0.0.1:8080");
    }
    if (value.slots == 0 || value.slots > ConfigLimits::maxSlots) {
        return invalid("slots", "is out of range", "use 1 to " + std::to_string(ConfigLimits::maxSlots));
    }
    if (value.kind == BackendKind::Service) {
        if (!value.models.empty()) {
            return invalid("models", "is set for a plain service", "leave it out, or set kind to engine");
        }
        return checkName("service", value.service.text());
    }
    if (value.models.empty() || !value.service.isEmpty()) {
        return invalid("models", "is empty, or service is set, for an engine", "name its models, or set kind to service");
    }
    return checkNames("models", value.models);
}

Result<void> validate(const ClientKey &value)
{
    BOOST_OUTCOME_TRYV(checkName("id", value.id.text()));
    return checkName("clientAccount", value.clientAccount.text());
}

Result<void> checkChange(const ConfigState &state, const ConfigChange &change)
{
    BOOST_OUTCOME_TRYV(checkName("id", change.id.text()));
    BOOST_OUTCOME_TRYV(checkRevision(state, change));
    return std::visit(ChangeValidator(state), change.body);
}

std::vector<RequestClass> effectiveClasses(const Template &base, const ClientAccount &clientAccount)
{
    std::vector<RequestClass> classes = base.classes;
    for (RequestClass &requestClass : classes) {
        for (const ClassOverrides &overrides : clientAccount.classes) {
            if (overrides.name == requestClass.name) {
                requestClass = withOverrides(requestClass, overrides);
            }
        }
    }
    return classes;
}

} // namespace flamingosaddle
