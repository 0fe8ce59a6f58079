#include <platform/records.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace flamingosaddle;
using namespace flamingosaddle::platform;
using namespace std::chrono_literals;

namespace
{

constexpr const char *secret = "secret";

const std::string config = R"({
    "version": 7,
    "routes": [
        {"name": "r1", "host": "h.example", "path_prefix": "/a/", "type": "streaming", "timeout_ms": 6000,
         "latency_goal_ms": 1000, "priority": 1, "service": "engines", "max_attempts": 2, "public": false, "sticky": true,
         "resumable": true, "target_itl_ms": 600},
        {"name": "r2", "host": "h.example", "path_prefix": "/b/", "type": "non_idempotent", "timeout_ms": 2000,
         "latency_goal_ms": 300, "priority": 2, "split": [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}],
         "max_attempts": 1, "public": true, "resumable": true, "allowed_regions": ["east", "west"]}
    ],
    "services": [
        {"name": "engines", "max_connections": 360, "backend": {"kv_capacity": 540877},
         "scaling": {"min": 1, "max": 8, "boot_s": 4.0, "spot_price": 0.22, "zone_prices": {"z1": 1.0, "z2": 0.8}}},
        {"name": "x", "max_connections": 100}
    ],
    "tenants": [{"name": "acme", "api_keys": ["k1", "k2"], "priority": 1}, {"name": "plain", "api_keys": [], "allowed_regions": ["west"]}]
})";

const std::string entry = R"({"service": "engines", "address": "127.0.0.1:8080", "zone": "z1", "version": "v1", "slots": 64,
    "state": "ready", "cold_remaining_ms": 0, "sequence": 4, "born": 1700000000000, "spot": true})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST(ConfigRecord, LimitsOnCallersAreDecoded)
{
    EXPECT_EQ(decodeConfig(config, 5, secret).value().limits, PublishedLimits());
    const std::string limits
        = R"("version": 7, "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,)"
          R"( "idle_timeout_ms": 15000})";
    const PublishedLimits expected{16384, 4194304, 3s, 15s};
    EXPECT_EQ(decodeConfig(replaced(config, R"("version": 7)", limits), 5, secret).value().limits, expected);
    // A limit that is none leaves the configuration in force, with the limit of the settings.
    for (const char *odd : {R"("limits": 3)", R"("limits": {"max_body_bytes": -1, "idle_timeout_ms": "x"})",
             R"("limits": {"max_header_bytes": 18446744073709551615, "header_timeout_ms": -5})"}) {
        const auto decoded = decodeConfig(replaced(config, R"("version": 7)", std::string(R"("version": 7, )") + odd), 5, secret);
        ASSERT_TRUE(decoded.has_value()) << odd;
        EXPECT_EQ(decoded.value().limits, PublishedLimits()) << odd;
    }
}

TEST(ConfigRecord, IsDecoded)
{
    const PublishedConfig published = decodeConfig(config, 5, secret).value();
    EXPECT_EQ(published.version, 7U);
    EXPECT_EQ(published.offset, 5U);
    ASSERT_EQ(published.objects.routes.size(), 2U);
    const Route &stream = published.objects.routes[0];
    EXPECT_EQ(stream.host, "h.example");
    EXPECT_EQ(stream.service, ServiceName("engines"));
    EXPECT_TRUE(stream.streaming);
    EXPECT_TRUE(stream.resumable);
    EXPECT_TRUE(stream.idempotent) << "a stream that may be resumed may run again";
    EXPECT_EQ(stream.maxAttempts, 2U);
    EXPECT_EQ(stream.requestClass->deadline, 6s);
    EXPECT_EQ(stream.requestClass->firstTokenTarget, 1s);
    EXPECT_EQ(stream.requestClass->interTokenTarget, 600ms);
    const Route &deposit = published.objects.routes[1];
    EXPECT_TRUE(deposit.open);
    EXPECT_FALSE(deposit.idempotent);
    EXPECT_FALSE(deposit.resumable) << "only streams resume";
    EXPECT_EQ(deposit.split, (std::vector<ServiceWeight>{{ServiceName("x"), 90}, {ServiceName("y"), 10}}));
    ASSERT_EQ(published.objects.keys.size(), 2U);
    EXPECT_EQ(published.objects.keys[0].digest, KeyDigest::of("k1", secret));
    EXPECT_EQ(published.objects.clientAccounts[0].tier, 1);
    EXPECT_EQ(published.objects.clientAccounts[1].tier, std::nullopt);
    EXPECT_TRUE(stream.homes.empty());
    EXPECT_EQ(deposit.homes, (std::vector<RegionName>{RegionName("east"), RegionName("west")}));
    EXPECT_TRUE(published.objects.clientAccounts[0].homes.empty());
    EXPECT_EQ(published.objects.clientAccounts[1].homes, std::vector<RegionName>{RegionName("west")});
    const ScalingRules &scaling = *published.services[0].scaling;
    EXPECT_EQ(scaling.maxServers, 8U);
    EXPECT_EQ(scaling.startupTime, 4s);
    EXPECT_EQ(scaling.ordinaryPrices.at(DataCentre("z2")), 0.8);
    EXPECT_FALSE(published.services[1].scaling.has_value());
}

TEST(ConfigRecord, WithoutTenantsEveryRouteIsOpen)
{
    const std::string open = R"({"version": 1, "routes": [{"name": "r", "host": "h", "path_prefix": "/a/", "type": "idempotent",
        "service": "x"}], "services": []})";
    EXPECT_TRUE(decodeConfig(open, 0, secret).value().objects.routes[0].open);
}

TEST(ConfigRecord, IsRejectedWhenAnyFieldIsInvalid)
{
    for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>>{{R"("version": 7)", R"("version": "7")"},
             {R"("host": "h.example")", R"("host": 4)"}, {R"("weight": 90)", R"("weight": "much")"},
             {R"(["k1", "k2"])", R"(["k1", 2])"}, {R"("routes": [)", R"("routes": {}, "r": [)"},
             {R"(["east", "west"])", R"("east")"}, {R"(["east", "west"])", R"(["east", 2])"},
             {R"(["west"]})", R"({"west": 1}})"}}) {
        const Result<PublishedConfig> decoded = decodeConfig(replaced(config, from, to), 0, secret);
        ASSERT_TRUE(decoded.has_error()) << to;
        EXPECT_EQ(decoded.error().kind(), ErrorKind::InvalidConfiguration);
        EXPECT_FALSE(decoded.error().remedy().empty());
    }
}

TEST(ServerEntry, IsDecoded)
{
    const RegisteredServer registered = decodeServer("i-1", entry).value();
    EXPECT_EQ(registered.server.id, BackendServerId("i-1"));
    EXPECT_EQ(registered.server.endpoint, (Endpoint{"127.0.0.1", 8080}));
    EXPECT_EQ(registered.server.slots, 64U);
    EXPECT_TRUE(registered.server.cheap);
    EXPECT_FALSE(registered.server.leaving);
    EXPECT_EQ(registered.startedAt, 1700000000000U);
    const std::string leaving = replaced(entry, R"("ready")", R"("draining", "leaves_ms": 2500)");
    EXPECT_TRUE(decodeServer("i-1", leaving).value().server.leaving);
    EXPECT_EQ(decodeServer("i-1", leaving).value().leavesIn, 2500ms);
}

TEST(ServerEntry, TellsHowMuchLongerTheServerIsCold)
{
    const std::string field = R"("cold_remaining_ms": 0)";
    const auto coldFor = [&field](const std::string &value) {
        return decodeServer("i-1", replaced(entry, field, R"("cold_remaining_ms": )" + value)).value().coldFor;
    };
    EXPECT_EQ(coldFor("0"), 0ms);
    EXPECT_EQ(coldFor("2400"), 2400ms);
    EXPECT_EQ(coldFor("2399.6"), 2400ms);
    EXPECT_EQ(coldFor("-5"), 0ms);
    EXPECT_EQ(coldFor("\"2400\""), 0ms) << "the rest of the entry holds";
    EXPECT_GT(coldFor("1e300"), 0ms);
    EXPECT_EQ(decodeServer("i-1", replaced(entry, field + ",", "")).value().coldFor, 0ms);
}

TEST(ConfigRecord, TellsWhatAColdServerBears)
{
    const auto borne = [](const std::string &text) {
        return decodeConfig(text, 0, secret).value().services[0].coldRequestsPerSecond;
    };
    const std::string connections = R"("max_connections": 360,)";
    EXPECT_EQ(borne(config), 0.0);
    EXPECT_EQ(borne(replaced(config, connections, connections + R"("cold_start_s": 3.0, "cold_per_s": 5.2,)")), 5.2);
    EXPECT_EQ(borne(replaced(config, connections, connections + R"("cold_per_s": -1,)")), 0.0);
    EXPECT_EQ(borne(replaced(config, connections, connections + R"("cold_per_s": "many",)")), 0.0);
}

TEST(ServerEntry, IsRejectedWhenAnyFieldIsInvalid)
{
    for (const auto &[from, to] :
        std::vector<std::pair<std::string, std::string>>{{R"("ready")", R"("merry")"}, {R"("ready")", "3"},
            {R"("slots": 64)", R"("slots": 0)"}, {R"("slots": 64)", R"("slots": "64")"}, {R"("127.0.0.1:8080")", R"("nowhere")"},
            {R"("zone": "z1",)", ""}, {R"("service": "engines")", R"("service": null)"}, {"}", ""}}) {
        EXPECT_TRUE(decodeServer("i-1", replaced(entry, from, to)).has_error()) << to;
    }
}

// Another writer may have left the entry; the id goes into a header of requests.
TEST(ServerEntry, IsRejectedWhenItIsDeeplyNestedOrANumberOrTheIdIsOutOfRange)
{
    constexpr std::size_t depth = 100'000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    EXPECT_TRUE(decodeServer("i-1", nested).has_error());
    EXPECT_TRUE(decodeServer("i-1", replaced(entry, R"("version": "v1")", R"("version": )" + nested)).has_error());
    EXPECT_FALSE(decodeServer("i-1", replaced(entry, R"("slots": 64)", R"("slots": 64, "other": )" + nested)).has_error());
    for (const char *slots : {"4294967296", "4294967295", "18446744073709551616", "1e400", "1e300", "-1", "64.5"}) {
        EXPECT_TRUE(decodeServer("i-1", replaced(entry, R"("slots": 64)", std::string(R"("slots": )") + slots)).has_error())
            << slots;
    }
    for (const char *port : {"65536", "99999999999999999999", "-1", "0", ""}) {
        EXPECT_TRUE(decodeServer("i-1", replaced(entry, "127.0.0.1:8080", std::string("127.0.0.1:") + port)).has_error()) << port;
    }
    for (const char *leaves : {"1e300", "-1e300", "18446744073709551615"}) {
        const std::string text = replaced(entry, R"("ready")", std::string(R"("draining", "leaves_ms": )") + leaves);
        const Result<RegisteredServer> decoded = decodeServer("i-1", text);
        ASSERT_TRUE(decoded.has_value()) << "the rest of the entry holds";
        EXPECT_EQ(decoded.value().leavesIn, std::nullopt) << leaves;
    }
    for (const std::string &id : {std::string(), std::string("a b"), std::string("a\r\nX: y"), std::string("\xff")}) {
        EXPECT_TRUE(decodeServer(id, entry).has_error()) << id;
    }
}

RC_GTEST_PROP(PlatformRecords, DecodesAnyBytesWithoutThrowing, (const std::string &bytes))
{
    (void)decodeConfig(bytes, 0, secret);
    (void)decodeServer("i", bytes);
}

RC_GTEST_PROP(PlatformRecords, DecodesADamagedRecordWithoutThrowing, (std::uint16_t place, std::uint8_t byte))
{
    std::string changed = config;
    changed[place % changed.size()] = static_cast<char>(byte);
    (void)decodeConfig(changed, 0, secret);
    std::string changedEntry = entry;
    changedEntry[place % changedEntry.size()] = static_cast<char>(byte);
    (void)decodeServer("i", changedEntry);
}
