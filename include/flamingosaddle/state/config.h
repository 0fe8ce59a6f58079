#pragma once

#include <flamingosaddle/base/clock.h>
#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/base/hash.h>
#include <flamingosaddle/base/id.h>
#include <flamingosaddle/state/homes.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flamingosaddle
{

/**
 * A class of requests with the same latency targets and scheduling rules.
 */
struct RequestClass {
    ClassName name;
    int tier = 0; ///< 0 is the highest; a higher tier is never shed or preempted for a lower one
    bool idempotent = true; ///< whether a request may run more than once
    std::chrono::milliseconds firstTokenTarget{2000}; ///< from arrival to the first byte of the response
    std::chrono::milliseconds interTokenTarget{100}; ///< between two tokens of a streamed response
    std::chrono::milliseconds deadline{300000}; ///< from arrival to the last byte of the response
    double floorShare = 0.0; ///< guaranteed minimum fraction of the dispatched work, 0 to 1
    bool cheapAllowed = true; ///< whether requests may run on backend servers that can be reclaimed

    friend bool operator==(const RequestClass &, const RequestClass &) = default;
};

/**
 * A named, versioned set of request classes that client accounts are based on. A published version never changes.
 */
struct Template {
    TemplateName name;
    std::uint32_t version = 1;
    std::vector<RequestClass> classes;

    friend bool operator==(const Template &, const Template &) = default;
};

/**
 * A client account's overrides of one class of its template. A field without a value keeps that of the template.
 */
struct ClassOverrides {
    ClassName name;
    std::optional<int> tier{};
    std::optional<std::chrono::milliseconds> firstTokenTarget{};
    std::optional<std::chrono::milliseconds> interTokenTarget{};
    std::optional<std::chrono::milliseconds> deadline{};
    std::optional<double> floorShare{};
    std::optional<bool> cheapAllowed{};
    std::optional<bool> idempotent{};

    friend bool operator==(const ClassOverrides &, const ClassOverrides &) = default;
};

struct ClientAccount {
    ClientAccountId id;
    TemplateName templateName;
    std::uint32_t templateVersion = 1;
    double share = 1.0; ///< weight in the fair sharing of capacity, above 0
    std::vector<ClassOverrides> classes;
    std::vector<ModelName> models; ///< models that its requests may name
    std::vector<ServiceName> services; ///< plain services that its requests may reach
    std::optional<int> tier{}; ///< tier of all its requests, in place of that of their class
    std::vector<RegionName> homes{}; ///< regions in which its requests may be served; empty for all

    friend bool operator==(const ClientAccount &, const ClientAccount &) = default;
};

/**
 * The share of a route's requests that is sent to one service.
 */
struct ServiceWeight {
    ServiceName service;
    std::uint32_t weight = 1; ///< relative to the sum of the route's weights

    friend bool operator==(const ServiceWeight &, const ServiceWeight &) = default;
};

/**
 * Maps a path prefix to a service.
 */
struct Route {
    RouteId id;
    std::string pathPrefix; ///< begins with '/'; the longest matching prefix wins
    ServiceName service;
    bool open = false; ///< whether requests need no key
    bool idempotent = false; ///< whether requests with a method other than GET and HEAD may run more than once
    std::string host{}; ///< host that requests must name; empty for any
    std::vector<ServiceWeight> split{}; ///< unless empty, distributes the requests over services in place of `service`
    std::optional<RequestClass> requestClass{}; ///< class of all requests; if absent, callers choose one of their account's
    std::uint32_t maxAttempts = 0; ///< maximum number of backend servers tried for a request; 0 for the daemon's limit
    bool streaming = false; ///< whether responses are event streams
    bool resumable = false; ///< whether an interrupted stream may be continued on another backend server
    std::vector<RegionName> homes{}; ///< regions in which its requests may be served; empty for all

    friend bool operator==(const Route &, const Route &) = default;
};

enum class BackendKind {
    Engine, ///< model engine
    Service, ///< plain service
};

struct BackendServer {
    BackendServerId id;
    Endpoint endpoint;
    DataCentre dataCentre;
    BackendKind kind = BackendKind::Engine;
    std::vector<ModelName> models; ///< models that an engine serves
    ServiceName service; ///< the service that a plain server provides
    std::uint32_t slots = 8; ///< number of requests that it runs concurrently
    bool cheap = false; ///< may be reclaimed at a few seconds' notice, together with all others of its data centre
    bool leaving = false; ///< receives no new requests
    bool missing = false; ///< its registration has disappeared, so it may be gone; the last choice for a request
    std::string softwareVersion; ///< a stream continues only on servers of the version that began it; empty if not stated
    bool checksFencing = false; ///< whether it refuses orders with an outdated fencing number
    double coldRequestsPerSecond = 0.0; ///< requests that it bears from all instances while it is cold; 0 if it is never cold
    TimePoint coldUntil{}; ///< end of its cold time as its entry states it; in the past if it is warm
    std::uint64_t startedAt = 0; ///< Unix milliseconds; distinguishes two starts with the same id, 0 if it is not known

    friend bool operator==(const BackendServer &, const BackendServer &) = default;
};

/**
 * A key that was given to a client account. Only its digest is stored; the key itself is known to its holder alone.
 */
struct ClientKey {
    KeyId id;
    ClientAccountId clientAccount;
    KeyDigest digest;

    friend bool operator==(const ClientKey &, const ClientKey &) = default;
};

} // namespace flamingosaddle
