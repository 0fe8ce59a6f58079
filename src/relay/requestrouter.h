#pragma once

#include <flamingosaddle/base/result.h>
#include <flamingosaddle/control/routingsnapshot.h>
#include <flamingosaddle/http/message.h>
#include <flamingosaddle/relay/routedrequest.h>

#include <string>

namespace flamingosaddle
{

/**
 * Decides for whom a request runs and where it goes. Pure: the configuration and the time are arguments.
 */
class RequestRouter
{
public:
    RequestRouter(std::string keySecret, RequestClass openClass);

    /**
     * Fails with NotFound, Unauthorized, Forbidden, InvalidRequest, or with Unavailable when the configuration may miss a
     * withdrawal of the key.
     */
    Result<RoutedRequest> route(const RoutingSnapshot &snapshot, const HttpRequest &request, TimePoint now) const;

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
