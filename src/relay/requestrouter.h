#pragma once

#include <flamingosaddle/base/result.h>
#include <flamingosaddle/control/routingsnapshot.h>
#include <flamingosaddle/http/message.h>
#include <flamingosaddle/relay/routedrequest.h>

#include <string>

namespace flamingosaddle
{

/**
 * Authenticates requests and determines their destination. Stateless: the configuration and the time are arguments.
 */
class RequestRouter
{
public:
    RequestRouter(std::string keySecret, RequestClass openClass);

    /**
     * Routes a request. Fails with NotFound, Unauthorized, Forbidden or InvalidRequest, or with Unavailable when the
     * configuration is too old to tell whether the key was withdrawn.
     */
    Result<RoutedRequest> route(const RoutingSnapshot &snapshot, const HttpRequest &request, TimePoint now) const;

    /** Decides on the head of a request alone, like route(). Returns the client account, which is empty for an open route. */
    Result<ClientAccountId> admitHead(const RoutingSnapshot &snapshot, const HttpRequest &head, TimePoint now) const;

private:
    Result<const ClientKey *> authenticate(const RoutingSnapshot &snapshot, const HttpRequest &request, TimePoint now) const;
    Result<void> admitAccount(
        const RoutingSnapshot &snapshot, const HttpRequest &request, TimePoint now, RoutedRequest &routed) const;
    Result<void> routeToModel(const RoutingSnapshot &snapshot, const HttpRequest &request, RoutedRequest &routed) const;
    Result<void> routeToService(
        const RoutingSnapshot &snapshot, const Route &route, const HttpRequest &request, RoutedRequest &routed) const;

    std::string keySecret;
    RequestClass openClass;
};

} // namespace flamingosaddle
