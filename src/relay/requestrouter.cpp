#include "requestrouter.h"

#include "completionrequest.h"

#include <flamingosaddle/base/hash.h>

#include <algorithm>
#include <utility>

namespace flamingosaddle
{

namespace
{

constexpr std::string_view bearerScheme = "Bearer ";
constexpr const char *classHeader = "X-Flamingosaddle-Class";
constexpr std::string_view modelListPath = "/v1/models";
constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view completionPath = "/v1/completions";

auto staleConfiguration()
{
    return fail(ErrorKind::Unavailable, "this instance cannot tell at present whether its configuration is up to date",
        "try again later");
}

auto noRoute()
{
    return fail(ErrorKind::NotFound, "no route matches this path", "use /v1/chat/completions or a configured route");
}

bool isSafe(std::string_view method)
{
    return method == "GET" || method == "HEAD";
}

template <typename T>
bool contains(const std::vector<T> &list, const T &value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

/** Whether the field carries a bearer token; the scheme is case-insensitive. */
bool hasBearer(std::string_view header)
{
    return header.size() > bearerScheme.size() && equalHeaderNames(header.substr(0, bearerScheme.size()), bearerScheme);
}

/**
 * Whether a backend server may normalise @p path to a different one, because of dot segments, empty segments or escaped
 * separators. Such a path could match an open route here and reach a path that needs a key there.
 */
bool isAmbiguous(std::string_view path)
{
    std::string unescaped;
    unescaped.reserve(path.size());
    for (std::size_t i = 0; i < path.size(); ++i) {
        const std::string_view escape = path.substr(i, 3);
        if (equalHeaderNames(escape, "%2e")) {
            unescaped.push_back('.');
            i += 2;
        } else if (equalHeaderNames(escape, "%2f") || equalHeaderNames(escape, "%5c") || path[i] == '\\') {
            return true;
        } else {
            unescaped.push_back(path[i]);
        }
    }
    unescaped.push_back('/');
    return unescaped.find("//") < unescaped.size() - 2 || unescaped.find("/./") != std::string::npos
        || unescaped.find("/../") != std::string::npos;
}

std::uint64_t fingerprintOf(const RoutedRequest &routed, const HttpRequest &request)
{
    std::uint64_t hash = hash64(routed.profile.clientAccount.text());
    for (const std::string *part : {&request.method, &request.target, &request.body}) {
        hash = hash64(*part, hash);
    }
    return hash;
}

/** Returns the homes of a request on @p route, or of one for a model without a route. */
Homes homesOfRequest(const RoutingSnapshot &snapshot, const Route *route, const RoutedRequest &routed)
{
    const Versioned<ClientAccount> *account = snapshot.config().findClientAccount(routed.profile.clientAccount);
    return homesOf(route == nullptr ? std::vector<RegionName>() : route->homes,
        account == nullptr ? std::vector<RegionName>() : account->value.homes);
}

Result<void> checkMethod(const HttpRequest &request, std::string_view method)
{
    if (request.method == method) {
        return success();
    }
    return fail(ErrorKind::InvalidRequest, request.method + " is not supported on " + std::string(request.path()),
        "use " + std::string(method));
}

Result<RequestClass> chooseClass(const std::vector<RequestClass> *classes, std::string_view wanted)
{
    if (classes == nullptr || classes->empty()) {
        return fail(
            ErrorKind::Forbidden, "the client account has no request class", "ask an operator to correct the account's template");
    }
    if (wanted.empty()) {
        return classes->front();
    }
    std::string names;
    for (const RequestClass &entry : *classes) {
        if (entry.name.text() == wanted) {
            return entry;
        }
        names += (names.empty() ? "" : ", ") + entry.name.text();
    }
    return fail(ErrorKind::InvalidRequest, "the client account has no class '" + std::string(wanted) + "'",
        std::string("set ") + classHeader + " to one of: " + names);
}

} // namespace

RequestRouter::RequestRouter(std::string keySecret, RequestClass openClass)
    : keySecret(std::move(keySecret))
    , openClass(std::move(openClass))
{
}

Result<RoutedRequest> RequestRouter::route(const RoutingSnapshot &snapshot, const HttpRequest &request, TimePoint now) const
{
    RoutedRequest routed;
    routed.profile.arrival = now;
    const std::string_view path = request.path();
    if (isAmbiguous(path)) {
        return fail(ErrorKind::InvalidRequest, "the path has dot segments, empty segments or escaped separators",
            "send a normalised path");
    }
    const bool modelList = path == modelListPath;
    const bool model = path == chatPath || path == completionPath;
    const Route *route = modelList || model ? nullptr : snapshot.findRoute(request.headers.find("Host"), path);
    if (!modelList && !model && route == nullptr) {
        if (now > snapshot.freshUntil()) {
            return staleConfiguration();
        }
        return noRoute();
    }
    if (route != nullptr && route->open) {
        routed.profile.requestClass = this->openClass;
    } else {
        BOOST_OUTCOME_TRYV(this->admitAccount(snapshot, request, now, routed));
    }
    if (modelList) {
        routed.target = RoutedRequest::Target::ModelList;
        BOOST_OUTCOME_TRYV(checkMethod(request, "GET"));
    } else if (model) {
        BOOST_OUTCOME_TRYV(this->routeToModel(snapshot, request, routed));
    } else {
        BOOST_OUTCOME_TRYV(this->routeToService(snapshot, *route, request, routed));
    }
    routed.profile.homes = homesOfRequest(snapshot, route, routed);
    routed.profile.fingerprint = fingerprintOf(routed, request);
    return routed;
}

Result<ClientAccountId> RequestRouter::admitHead(const RoutingSnapshot &snapshot, const HttpRequest &head, TimePoint now) const
{
    const std::string_view path = head.path();
    const bool isModelPath = path == modelListPath || path == chatPath || path == completionPath;
    const Route *route = isModelPath ? nullptr : snapshot.findRoute(head.headers.find("Host"), path);
    if (!isModelPath && route == nullptr) {
        if (now > snapshot.freshUntil()) {
            return staleConfiguration();
        }
        return noRoute();
    }
    if (route != nullptr && route->open) {
        return ClientAccountId();
    }
    BOOST_OUTCOME_TRY(key, this->authenticate(snapshot, head, now));
    return key->clientAccount;
}

Result<const ClientKey *> RequestRouter::authenticate(
    const RoutingSnapshot &snapshot, const HttpRequest &request, TimePoint now) const
{
    const std::string_view header = request.headers.find("Authorization");
    if (request.headers.count("Authorization") > 1) {
        return fail(ErrorKind::InvalidRequest, "the request has more than one key", "send a single Authorization header field");
    }
    if (!hasBearer(header)) {
        return fail(ErrorKind::Unauthorized, "the request has no key", "send it as Authorization: Bearer KEY");
    }
    if (now > snapshot.freshUntil()) {
        return staleConfiguration();
    }
    const ClientKey *key = snapshot.findKey(KeyDigest::of(header.substr(bearerScheme.size()), this->keySecret));
    if (key == nullptr) {
        return fail(ErrorKind::Unauthorized, "the key is unknown or was withdrawn", "ask an operator for a new one");
    }
    return key;
}

Result<void> RequestRouter::admitAccount(
    const RoutingSnapshot &snapshot, const HttpRequest &request, TimePoint now, RoutedRequest &routed) const
{
    BOOST_OUTCOME_TRY(key, this->authenticate(snapshot, request, now));
    const Versioned<ClientAccount> *account = snapshot.config().findClientAccount(key->clientAccount);
    if (account == nullptr) {
        return fail(ErrorKind::Forbidden, "the client account of the key does not exist", "ask an operator for a new key");
    }
    BOOST_OUTCOME_TRY(chosen, chooseClass(snapshot.classesOf(key->clientAccount), request.headers.find(classHeader)));
    routed.key = key->id;
    routed.profile.clientAccount = key->clientAccount;
    routed.profile.clientAccountShare = account->value.share;
    routed.profile.requestClass = std::move(chosen);
    return success();
}

Result<void> RequestRouter::routeToModel(const RoutingSnapshot &snapshot, const HttpRequest &request, RoutedRequest &routed) const
{
    BOOST_OUTCOME_TRYV(checkMethod(request, "POST"));
    BOOST_OUTCOME_TRY(call, parseCompletionRequest(request.body));
    const ClientAccount &account = snapshot.config().findClientAccount(routed.profile.clientAccount)->value;
    if (!contains(account.models, call.model)) {
        if (!contains(snapshot.models(), call.model)) {
            return fail(ErrorKind::NotFound, "there is no model '" + call.model.text() + "'", "choose one of /v1/models");
        }
        return fail(ErrorKind::Forbidden, "the client account may not use model '" + call.model.text() + "'",
            "choose one of /v1/models, or ask an operator to permit it");
    }
    routed.target = RoutedRequest::Target::Model;
    routed.stream = call.stream;
    routed.resumable = routed.profile.requestClass.idempotent;
    routed.profile.model = call.model;
    routed.profile.prefixHash = call.prefixHash;
    routed.profile.promptParts = call.promptParts;
    routed.profile.promptTokens = call.promptTokens;
    routed.profile.idempotent = routed.profile.requestClass.idempotent;
    return success();
}

Result<void> RequestRouter::routeToService(
    const RoutingSnapshot &snapshot, const Route &route, const HttpRequest &request, RoutedRequest &routed) const
{
    if (!route.open) {
        const ClientAccount &account = snapshot.config().findClientAccount(routed.profile.clientAccount)->value;
        if (!contains(account.services, route.service)) {
            return fail(ErrorKind::Forbidden, "the client account may not use service '" + route.service.text() + "'",
                "ask an operator to permit it");
        }
    }
    routed.target = RoutedRequest::Target::Service;
    routed.route = route.id;
    routed.profile.service = route.service;
    routed.profile.idempotent = isSafe(request.method) || (route.idempotent && routed.profile.requestClass.idempotent);
    return success();
}

} // namespace flamingosaddle
