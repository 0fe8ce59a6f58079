#include "configsamples.h"

#include <gtest/gtest.h>

using namespace flamingosaddle;

namespace
{

void expectDecodeError(const std::string &text, const std::string &expectedMessage)
{
    const auto change = decodeConfigChange(text);
    ASSERT_TRUE(change.has_error()) << text;
    EXPECT_EQ(change.error().kind(), ErrorKind::InvalidConfiguration);
    EXPECT_NE(change.error().message().find(expectedMessage), std::string::npos) << change.error().text();
    EXPECT_FALSE(change.error().remedy().empty());
}

} // namespace

TEST(ConfigChange, DecodeInvertsEncode)
{
    EXPECT_TRUE(rc::check("decode inverts encode", [] {
        const ConfigChange change = samples::anyChange();
        // The encoder writes a negative tier; the decoder must refuse it.
        const auto decoded = decodeConfigChange(encodeConfigChange(change));
        const auto *account = std::get_if<PutClientAccount>(&change.body);
        if (account != nullptr && *account->value.classes.front().tier < 0) {
            RC_ASSERT(decoded.has_error());
            return;
        }
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded.value() == change);
    }));
}

TEST(ConfigChange, ErrorsNameTheInvalidField)
{
    expectDecodeError("[1, 2]", "no JSON object");
    expectDecodeError(R"({"id": "c", "kind": "putRoute"})", "'value' is missing");
    expectDecodeError(R"({"id": "c", "kind": "eraseAll", "value": {}})", "'kind' must be one of putTemplate");
    expectDecodeError(R"({"id": "c", "kind": "removeRoute", "value": {"id": 3}})", "'value.id' must be a string");
    expectDecodeError(R"({"id": "c", "kind": "removeRoute", "value": {"id": "r", "force": true}})", "'value' has unknown fields");
    expectDecodeError(
        R"({"id": "c", "kind": "putTemplate", "value": {"name": "t", "version": 1, "classes": [{"name": "x", "tier": -1}]}})",
        "'value.classes[0].tier' must be an integer");
    expectDecodeError(R"({"id": "c", "kind": "putBackendServer", "value": {"id": "s", "endpoint": "host:1", "dataCentre": "d"}})",
        "'value.endpoint' must be an IP address");
    expectDecodeError(R"({"id": "c", "kind": "giveKey", "value": {"id": "k", "clientAccount": "a", "digest": "12"}})",
        "'value.digest' must be 64 hexadecimal digits");
}

TEST(ConfigChange, MissingOptionalFieldsHaveDefaults)
{
    const auto change
        = decodeConfigChange(R"({"id": "c", "kind": "putRoute", "value": {"id": "r", "pathPrefix": "/p", "service": "s"}})");
    ASSERT_TRUE(change.has_value());
    const Route expected{RouteId("r"), "/p", ServiceName("s"), false, false};
    EXPECT_EQ(change.value().body, ConfigChangeBody(PutRoute{expected}));
    EXPECT_FALSE(change.value().expectedRevision.has_value());
}

TEST(ConfigChange, RefusesARecordOverItsLimit)
{
    expectDecodeError("{\"id\": \"" + std::string(std::size_t{1} << 20, 'x') + "\"}", "bytes");
}

TEST(ConfigChange, DecodingAnyBytesNeverThrows)
{
    EXPECT_TRUE(rc::check("random bytes", [](const std::string &bytes) {
        RC_ASSERT(decodeConfigChange(bytes).has_error());
        RC_ASSERT(decodeConfigSnapshot(bytes).has_error());
    }));
    EXPECT_TRUE(rc::check("damaged records", [] {
        std::string text = encodeConfigChange(samples::anyChange());
        const int damagedBytes = *rc::gen::inRange(1, 6);
        for (int i = 0; i < damagedBytes; ++i) {
            text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        }
        text.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 1));
        const auto change = decodeConfigChange(text);
        if (change.has_value()) {
            ConfigState state;
            state.apply(0, change.value());
            RC_ASSERT(decodeConfigSnapshot(encodeConfigSnapshot(state)).has_value());
        }
    }));
}

TEST(ConfigChange, DecodingDeeplyNestedJsonIsAnError)
{
    expectDecodeError(std::string(200000, '['), "no JSON object");
}
