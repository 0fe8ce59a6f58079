#include "requestrouter.h"

#include "callerfixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace flamingosaddle;
using namespace flamingosaddle::test;

namespace
{

struct RouterFixture {
    RoutingSnapshot snapshot{exampleConfig(), {}, TimePoint::max()};
    RequestRouter router{secret, RequestClass()};

    Result<RoutedRequest> route(const std::string &method, const std::string &target, const std::string &key = {}) const
    {
        HttpRequest request;
        request.method = method;
        request.target = target;
        if (!key.empty()) {
            request.headers.add("Authorization", "Bearer " + key);
        }
        return this->router.route(this->snapshot, request, TimePoint());
    }
};

} // namespace

TEST(RequestRouter, MethodAndRouteDetermineIdempotency)
{
    const RouterFixture fixture;
    EXPECT_TRUE(fixture.route("GET", "/s/1", validKey).value().profile.idempotent);
    EXPECT_FALSE(fixture.route("POST", "/s/1", validKey).value().profile.idempotent);
    EXPECT_FALSE(fixture.route("POST", "/open").value().profile.idempotent);
    EXPECT_EQ(fixture.route("GET", "/s/1", validKey).value().profile.clientAccount, ClientAccountId("a"));
}

TEST(RequestRouter, AnOpenRouteCannotReachOtherPaths)
{
    const RouterFixture fixture;
    for (const char *target :
        {"/open/../s/deposit", "/open/%2e%2E/s", "/open/./x", "/open//s", "/open%2f..%2fs", "/open\\..\\s"}) {
        const Result<RoutedRequest> routed = fixture.route("POST", target);
        ASSERT_FALSE(routed.has_value()) << target;
        EXPECT_EQ(routed.error().kind(), ErrorKind::InvalidRequest) << target;
    }
    EXPECT_TRUE(fixture.route("POST", "/open/a..b/.c/").has_value());
    EXPECT_EQ(fixture.route("POST", "/opener").error().kind(), ErrorKind::NotFound);
}

RC_GTEST_PROP(RequestRouter, OnlyOpenRoutesAreServedWithoutTheKey, (const std::string &key))
{
    static const RouterFixture fixture;
    const auto parts = *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
        "/", "s", "open", "..", ".", "%2e", "%2F", "\\", "?", "v1/models", "v1/completions", "#", "deposit"));
    std::string target = "/";
    for (const std::string &part : parts) {
        target += part;
    }
    RC_PRE(key != validKey);
    const Result<RoutedRequest> routed = fixture.route(*rc::gen::element<std::string>("GET", "POST", "HEAD"), target, key);
    if (routed.has_value()) {
        RC_ASSERT(target.starts_with("/open"));
        RC_ASSERT(routed.value().profile.clientAccount.isEmpty());
        RC_ASSERT(target.substr(0, target.find('?')).find("..") == std::string::npos || target.find("/../") == std::string::npos);
    }
}

// Guards against final refusals of keys and paths that may be in changes which the instance has not read.
TEST(RequestRouter, AStaleConfigurationDoesNotTellThatAKeyOrARouteIsUnknown)
{
    RouterFixture fixture;
    fixture.snapshot = RoutingSnapshot(exampleConfig(), {}, TimePoint() - std::chrono::seconds(1));
    EXPECT_EQ(fixture.route("GET", "/s/1", "unknown").error().kind(), ErrorKind::Unavailable);
    EXPECT_EQ(fixture.route("GET", "/unknown", validKey).error().kind(), ErrorKind::Unavailable);
    EXPECT_TRUE(fixture.route("GET", "/open").has_value());
}

TEST(RequestRouter, RejectsARequestWithTwoKeys)
{
    const RouterFixture fixture;
    HttpRequest request;
    request.target = "/s/1";
    request.headers.add("Authorization", std::string("Bearer ") + validKey);
    EXPECT_TRUE(fixture.router.route(fixture.snapshot, request, TimePoint()).has_value());
    request.headers.add("Authorization", "Bearer another");
    EXPECT_EQ(fixture.router.route(fixture.snapshot, request, TimePoint()).error().kind(), ErrorKind::InvalidRequest);
}
