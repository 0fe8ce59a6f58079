#include "callerfixture.h"

#include <platform/callerwire.h>
#include <platform/records.h>

#include <gtest/gtest.h>

using namespace flamingosaddle;
using namespace flamingosaddle::platform;
using namespace flamingosaddle::test;
using namespace std::chrono_literals;

namespace
{

const std::string config = R"({
    "version": 1,
    "routes": [
        {"name": "chat", "host": "h.example", "path_prefix": "/chat/", "type": "streaming", "timeout_ms": 15000,
         "latency_goal_ms": 600, "priority": 0, "service": "engines", "max_attempts": 2, "resumable": true},
        {"name": "digest", "host": "h.example", "path_prefix": "/chat/digest/", "type": "streaming", "timeout_ms": 6000,
         "latency_goal_ms": 1000, "priority": 1, "service": "engines", "max_attempts": 1},
        {"name": "deposit", "host": "h.example", "path_prefix": "/deposit/", "type": "non_idempotent", "timeout_ms": 2000,
         "latency_goal_ms": 300, "priority": 2, "service": "app", "max_attempts": 1},
        {"name": "lookup", "host": "h.example", "path_prefix": "/lookup/", "type": "idempotent", "timeout_ms": 2000,
         "latency_goal_ms": 300, "priority": 2, "service": "app", "max_attempts": 2},
        {"name": "open", "host": "h.example", "path_prefix": "/open/", "type": "idempotent", "timeout_ms": 2000,
         "latency_goal_ms": 300, "priority": 2, "service": "app", "max_attempts": 2, "public": true, "allowed_regions": ["east"]},
        {"name": "home", "host": "h.example", "path_prefix": "/home/", "type": "idempotent", "timeout_ms": 2000,
         "latency_goal_ms": 300, "priority": 2, "service": "app", "max_attempts": 2, "allowed_regions": ["west", "east"]}
    ],
    "services": [],
    "tenants": [{"name": "first", "api_keys": ["key-1"], "priority": 0}, {"name": "second", "api_keys": ["key-2"], "priority": 1},
        {"name": "third", "api_keys": ["key-3"], "allowed_regions": ["west", "north"]}]
})";

HttpRequest requestFor(const std::string &target, const std::string &key = "key-1")
{
    HttpRequest request;
    request.method = "POST";
    request.target = target;
    request.headers = {{"Host", "h.example:8080"}, {"Flamingosaddle-Request-Id", "id-1"}, {"Authorization", "Bearer " + key},
        {"Flamingosaddle-Deadline-Ms", "4000"}, {"Flamingosaddle-Token-Count", "1460,80"},
        {"Flamingosaddle-Prefix-Hash", "aa:800,bb:410,cc:250"}, {"X-Other", "kept"}, {"Connection", "close, X-Hop"},
        {"X-Hop", "dropped"}, {"Flamingosaddle-Tenant", "forged"}, {"Kv-From", "forged"}, {"Flamingosaddle-Pin-Ms", "forged"}};
    request.body = "body";
    return request;
}

struct CallerWireTest : testing::Test {
    ProtocolAdapter adapter = protocolAdapter("secret");

    std::shared_ptr<const RoutingSnapshot> snapshot(TimePoint freshUntil = TimePoint::max())
    {
        const PublishedConfig published = decodeConfig(config, 0, "secret").value();
        return std::make_shared<const RoutingSnapshot>(
            std::make_shared<const ConfigState>(ConfigState::fromObjects(published.objects, 1)), std::set<KeyId>(), freshUntil);
    }

    Result<RoutedRequest> route(const HttpRequest &request, TimePoint freshUntil = TimePoint::max())
    {
        return this->adapter.route(*this->snapshot(freshUntil), request, TimePoint(1s));
    }

    HttpRequest forwarded(const HttpRequest &request, std::optional<std::uint64_t> resumeAfter = std::nullopt)
    {
        const RoutedRequest routed = this->route(request).value();
        const TraceContext trace;
        const BackendServerId server("i-1");
        return this->adapter.buildBackendRequest({request, "id-1", trace, routed.profile, server, 1500ms, resumeAfter});
    }

    ResponseCheck verdictFor(int status, HttpHeaders headers)
    {
        return this->adapter.checkResponse(requestFor("/chat/x"), {status, std::move(headers)});
    }
};

} // namespace

TEST_F(CallerWireTest, SelectsTheRouteOfTheHostWithTheLongestPrefix)
{
    EXPECT_EQ(this->route(requestFor("/chat/1")).value().route, RouteId("chat"));
    EXPECT_EQ(this->route(requestFor("/chat/digest/1")).value().route, RouteId("digest"));
    EXPECT_EQ(this->route(requestFor("/nowhere/1")).error().kind(), ErrorKind::NotFound);
    HttpRequest otherHost = requestFor("/chat/1");
    otherHost.headers.set("Host", "other.example");
    EXPECT_EQ(this->route(otherHost).error().kind(), ErrorKind::NotFound);
}

TEST_F(CallerWireTest, IdentifiesTheClientAccountByItsKeyAndRejectsUnknownKeys)
{
    const RoutedRequest routed = this->route(requestFor("/chat/1", "key-2")).value();
    EXPECT_EQ(routed.profile.clientAccount, ClientAccountId("second"));
    EXPECT_EQ(this->route(requestFor("/chat/1", "stolen")).error().kind(), ErrorKind::Unauthorized);
    HttpRequest withTwoKeys = requestFor("/chat/1");
    withTwoKeys.headers.add("Authorization", "Bearer key-2");
    EXPECT_EQ(this->route(withTwoKeys).error().kind(), ErrorKind::InvalidRequest);
    EXPECT_TRUE(this->route(requestFor("/open/1", "stolen")).has_value());
}

TEST_F(CallerWireTest, HomesOfRouteAndAccountBindTogether)
{
    const RegionName east("east");
    const RegionName north("north");
    const RegionName west("west");
    const auto homes = [this](const std::string &target, const std::string &key) {
        return this->route(requestFor(target, key)).value().profile.homes;
    };
    EXPECT_EQ(homes("/chat/1", "key-1"), std::nullopt);
    EXPECT_EQ(homes("/home/1", "key-1"), (std::vector<RegionName>{east, west}));
    EXPECT_EQ(homes("/chat/1", "key-3"), (std::vector<RegionName>{north, west}));
    EXPECT_EQ(homes("/home/1", "key-3"), std::vector<RegionName>{west});
    EXPECT_EQ(homes("/open/1", "key-3"), std::vector<RegionName>{east}) << "an open route takes no account of the key";
}

TEST_F(CallerWireTest, RejectsRequestsThatNeedTheConfigurationWhenItIsStale)
{
    const TimePoint past(500ms);
    EXPECT_EQ(this->route(requestFor("/chat/1"), past).error().kind(), ErrorKind::Unavailable);
    EXPECT_EQ(this->route(requestFor("/chat/1", "stolen"), past).error().kind(), ErrorKind::Unavailable);
    EXPECT_EQ(this->route(requestFor("/nowhere/1"), past).error().kind(), ErrorKind::Unavailable);
    EXPECT_TRUE(this->route(requestFor("/open/1"), past).has_value());
}

TEST_F(CallerWireTest, OrdersByAccountPriorityBeforeRoutePriority)
{
    const int firstChat = this->route(requestFor("/chat/1")).value().profile.requestClass.tier;
    const int firstDigest = this->route(requestFor("/chat/digest/1")).value().profile.requestClass.tier;
    const int secondChat = this->route(requestFor("/chat/1", "key-2")).value().profile.requestClass.tier;
    const int secondDigest = this->route(requestFor("/chat/digest/1", "key-2")).value().profile.requestClass.tier;
    EXPECT_LT(firstChat, firstDigest);
    EXPECT_LT(firstDigest, secondChat);
    EXPECT_LT(secondChat, secondDigest);
}

TEST_F(CallerWireTest, UsesTheShorterOfRouteTimeoutAndClientDeadline)
{
    EXPECT_EQ(this->route(requestFor("/chat/1")).value().profile.requestClass.deadline, 4s);
    EXPECT_EQ(this->route(requestFor("/deposit/1")).value().profile.requestClass.deadline, 2s);
}

TEST_F(CallerWireTest, TreatsAllPartsOfThePromptButTheLastAsShared)
{
    const RequestProfile profile = this->route(requestFor("/chat/1")).value().profile;
    EXPECT_EQ(profile.promptTokens, 1460U);
    EXPECT_EQ(profile.outputTokens, 80U);
    EXPECT_EQ(profile.sharedTokens, 1210U);
    EXPECT_EQ(profile.promptParts.size(), 2U);
    HttpRequest other = requestFor("/chat/2");
    other.headers.set("Flamingosaddle-Prefix-Hash", "aa:800,bb:410,dd:900");
    EXPECT_EQ(this->route(other).value().profile.prefixHash, profile.prefixHash);
    EXPECT_EQ(this->route(other).value().profile.promptParts, profile.promptParts);
    other.headers.set("Flamingosaddle-Prefix-Hash", "aa:800,ee:410,dd:900");
    EXPECT_NE(this->route(other).value().profile.prefixHash, profile.prefixHash);
}

TEST_F(CallerWireTest, ForwardsARequestWithoutTheKeyAndWithTheRoutersOwnHeaders)
{
    const HttpRequest received = requestFor("/chat/1", "key-2");
    const HttpRequest sent = this->forwarded(received);
    EXPECT_EQ(sent.target, "/chat/1");
    EXPECT_EQ(sent.payload(), "body");
    EXPECT_FALSE(sent.headers.has("Authorization"));
    EXPECT_FALSE(sent.headers.has("Connection"));
    EXPECT_FALSE(sent.headers.has("X-Hop"));
    EXPECT_FALSE(sent.headers.has("Kv-From"));
    EXPECT_FALSE(sent.headers.has("Flamingosaddle-Pin-Ms"));
    EXPECT_EQ(sent.headers.find("X-Other"), "kept");
    EXPECT_EQ(sent.headers.find("Flamingosaddle-Tenant"), "second");
    EXPECT_EQ(sent.headers.find("Flamingosaddle-Expect-Instance"), "i-1");
    EXPECT_EQ(sent.headers.find("Flamingosaddle-Deadline-Ms"), "1500");
    EXPECT_EQ(sent.headers.find("Flamingosaddle-Request-Urgency"), "3");
    EXPECT_EQ(this->forwarded(requestFor("/chat/1"), 12).headers.find("Last-Event-Id"), "12");
}

TEST_F(CallerWireTest, AcceptsOnlyTheServersOwnResponseToTheRequest)
{
    const HttpHeader own{"Flamingosaddle-Request-Id", "id-1"};
    const HttpHeader other{"Flamingosaddle-Request-Id", "id-0"};
    const HttpHeader signature{"Flamingosaddle-Response-Signature", "s"};
    const HttpHeader notExecuted{"Flamingosaddle-Not-Executed", "1"};
    EXPECT_EQ(this->verdictFor(200, {own, signature}), ResponseCheck::Valid);
    EXPECT_EQ(this->verdictFor(500, {own}), ResponseCheck::Valid);
    EXPECT_EQ(this->verdictFor(200, {own}), ResponseCheck::Invalid) << "unsigned";
    EXPECT_EQ(this->verdictFor(200, {signature}), ResponseCheck::Invalid) << "without a request id";
    EXPECT_EQ(this->verdictFor(200, {own, signature, {"Content-Encoding", "gzip"}}), ResponseCheck::Invalid);
    EXPECT_EQ(this->verdictFor(200, {other, signature}), ResponseCheck::KeyReused);
    EXPECT_EQ(this->verdictFor(503, {own, notExecuted}), ResponseCheck::NotExecuted);
    EXPECT_EQ(this->verdictFor(503, {other, notExecuted}), ResponseCheck::KeyReused);
    EXPECT_EQ(this->verdictFor(503, {own}), ResponseCheck::Valid) << "it may have been executed";
    EXPECT_EQ(this->verdictFor(421, {own}), ResponseCheck::Misdirected);
    EXPECT_EQ(this->verdictFor(421, {other}), ResponseCheck::KeyReused);
    EXPECT_EQ(this->verdictFor(421, {}), ResponseCheck::UnidentifiedRejection);
    EXPECT_EQ(this->verdictFor(503, {notExecuted}), ResponseCheck::UnidentifiedRejection);
}

TEST_F(CallerWireTest, AResumptionNamesTheRequestThatBeganItsStream)
{
    HttpRequest request = requestFor("/chat/x");
    EXPECT_TRUE(this->route(request).value().resumedRequest.empty());
    request.headers.set("Last-Event-Id", "12");
    request.headers.set("Resumes", "first");
    const RoutedRequest routed = this->route(request).value();
    EXPECT_EQ(routed.resumedRequest, "first");
    EXPECT_EQ(routed.resumeAfter, 12U);
}

TEST_F(CallerWireTest, ReadsThatAServerLeaves)
{
    EXPECT_TRUE(this->adapter.isServerLeaving({{"Server-Leaving", "1"}}));
    EXPECT_FALSE(this->adapter.isServerLeaving({{"Server-Leaving", "0"}}));
    EXPECT_FALSE(this->adapter.isServerLeaving({}));
}

TEST_F(CallerWireTest, ReadsTheRateLimitOfAServer)
{
    const auto limit = [this](const std::string &value) {
        return this->adapter.rateLimit({{"Server-Limit", value}});
    };
    EXPECT_EQ(limit("1"), 1.0);
    EXPECT_EQ(limit(" 0.25 "), 0.25);
    EXPECT_EQ(limit("0"), 0.0);
    for (const char *invalid : {"", "-1", "inf", "nan", "2 per second", "1e3", "1,5"}) {
        EXPECT_EQ(limit(invalid), std::nullopt) << invalid;
    }
    EXPECT_EQ(this->adapter.rateLimit({}), std::nullopt);
    EXPECT_EQ(this->adapter.responseHeaders({{"Server-Limit", "1"}}).find("Server-Limit"), "1") << "callers see it, too";
}

TEST_F(CallerWireTest, ReadsTheRejectionLimitOfAServer)
{
    const auto limit = [this](const std::string &value) {
        return this->adapter.rejectionLimit({{"Server-Brittle", value}});
    };
    EXPECT_EQ(limit("5"), 5U);
    EXPECT_EQ(limit(" 2.5 "), 2U);
    EXPECT_EQ(limit("0"), 0U);
    EXPECT_EQ(limit("99999999999999"), 1000000000U);
    for (const char *invalid : {"", "-1", "inf", "nan", "many", "1e3"}) {
        EXPECT_EQ(limit(invalid), std::nullopt) << invalid;
    }
    EXPECT_EQ(this->adapter.rejectionLimit({}), std::nullopt);
}

TEST_F(CallerWireTest, RefusalsGuaranteeThatARequestDidNotRunOnlyIfThatIsKnown)
{
    const std::set<int> notRunStatuses{408, 421, 429, 503};
    for (const int status : {400, 408, 429, 500, 502, 503, 504}) {
        RefusalResponse refused;
        refused.status = status;
        refused.retryAfter = 2s;
        refused.runState = RunState::Unknown;
        const HttpResponse unknown = this->adapter.renderRefusal(refused);
        EXPECT_FALSE(notRunStatuses.contains(unknown.status)) << status;
        EXPECT_FALSE(unknown.headers.has("Retry-After"));
        EXPECT_FALSE(unknown.headers.has("Flamingosaddle-Response-Signature"));
        refused.runState = RunState::NotRun;
        EXPECT_EQ(this->adapter.renderRefusal(refused).headers.find("Retry-After"), "2");
    }
    RefusalResponse quarantined;
    quarantined.status = 400;
    quarantined.reason = RefusalReason::Quarantined;
    EXPECT_EQ(this->adapter.renderRefusal(quarantined).status, 503);
    // The request may be valid: other requests on the same servers may have crashed them.
    quarantined.runState = RunState::Unknown;
    EXPECT_EQ(this->adapter.renderRefusal(quarantined).status, 502);
}

TEST_F(CallerWireTest, KeepsTheClientsRequestIdForARequestThatIsRefused)
{
    EXPECT_EQ(this->adapter.requestId(requestFor("/nowhere/1", "stolen")), "id-1");
}
