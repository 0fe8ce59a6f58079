#pragma once

#include <flamingosaddle/base/endpoint.h>
#include <flamingosaddle/base/hash.h>
#include <flamingosaddle/base/id.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flamingosaddle
{

/**
 * A class of requests: what its callers wait for, and what may be done with a request of it.
 */
struct RequestClass {
    ClassName name;
    int tier = 0; ///< 0 is the highest; a higher tier is never shed or preempted for a lower one
    bool idempotent = true; ///< whether a request may run more than once
    std::chrono::milliseconds firstTokenTarget{2000}; ///< from arrival to the first byte of the answer
    std::chrono::milliseconds interTokenTarget{100}; ///< between two tokens of a streamed answer
    std::chrono::milliseconds deadline{300000}; ///< from arrival to the last byte of the answer
    double floorShare = 0.0; ///< fraction of the dispatched work reserved for the class, 0 to 1
    bool cheapAllowed = true; ///< whether requests may run on backend servers that can be reclaimed

    friend bool operator==(const RequestClass &, const RequestClass &) = default;
};

/**
 * The request classes that client accounts are created from. A published version never changes.
 */
struct Template {
    TemplateName name;
    std::uint32_t version = 1;
    std::vector<RequestClass> classes;

    friend bool operator==(const Template &, const Template &) = default;
};

/**
 * What a client account sets otherwise than its template for one class. An empty field keeps the template's value.
 */
struct ClassParameters {
    ClassName name;
    std::optional<int> tier{};
    std::optional<std::chrono::milliseconds> firstTokenTarget{};
    std::optional<std::chrono::milliseconds> interTokenTarget{};
    std::optional<std::chrono::milliseconds> deadline{};
    std::optional<double> floorShare{};
    std::optional<bool> cheapAllowed{};
    std::optional<bool> idempotent{};

    friend bool operator==(const ClassParameters &, const ClassParameters &) = default;
};

struct ClientAccount {
    ClientAccountId id;
    TemplateName templateName;
    std::uint32_t templateVersion = 1;
    double share = 1.0; ///< weight in the fair division of capacity, above 0
    std::vector<ClassParameters> classes;
    std::vector<ModelName> models; ///< models that its requests may name
    std::vector<ServiceName> services; ///< plain services that its requests may reach
    std::optional<int> tier{}; ///< of all its requests; otherwise that of their class

    friend bool operator==(const ClientAccount &, const ClientAccount &) = default;
};

/**
 * The part of a route's requests that one service gets.
 */
struct ServiceWeight {
    ServiceName service;
    std::uint32_t weight = 1; ///< against the sum of the route's weights

    friend bool operator==(const ServiceWeight &, const ServiceWeight &) = default;
};

/**
 * A path prefix that leads to a service.
 */
struct Route {
    RouteId id;
    std::string pathPrefix; ///< begins with '/'; the longest matching prefix decides
    ServiceName service;
    bool open = false; ///< whether requests need no key
    bool idempotent = false; ///< whether calls other than GET and HEAD may run more than once
    std::string host{}; ///< that requests name; empty for any
    std::vector<ServiceWeight> split{}; ///< divides the requests over services in place of `service`, unless it is empty
    std::optional<RequestClass> requestClass{}; ///< of its requests; otherwise they choose among those of their account
    std::uint32_t maxAttempts = 0; ///< backend servers that a request may be sent to; 0 for the daemon's limit
    bool streaming = false; ///< whether answers are streams of events
    bool resumable = false; ///< whether a stream that broke off may go on at another backend server

    friend bool operator==(const Route &, const Route &) = default;
};

enum class BackendKind {
    Engine, ///< serves models
    Service, ///< a plain service
};

struct BackendServer {
    BackendServerId id;
    Endpoint endpoint;
    DataCentre dataCentre;
    BackendKind kind = BackendKind::Engine;
    std::vector<ModelName> models; ///< of an engine
    ServiceName service; ///< of a plain service
    std::uint32_t slots = 8; ///< requests that it runs side by side
    bool cheap = false; ///< may be reclaimed with its whole data centre at seconds of notice
    bool leaving = false; ///< receives no new work
    bool checksFencing = false; ///< refuses an order with an old fencing number

    friend bool operator==(const BackendServer &, const BackendServer &) = default;
};

/**
 * A key that was given to a client account. The key itself is known to its holder only.
 */
struct ClientKey {
    KeyId id;
    ClientAccountId clientAccount;
    KeyDigest digest;

    friend bool operator==(const ClientKey &, const ClientKey &) = default;
};

} // namespace flamingosaddle
