#include "configsamples.h"

#include <flamingosaddle/state/configvalidation.h>

#include <gtest/gtest.h>

#include <limits>

using namespace flamingosaddle;

namespace
{

template <typename T>
void expectInvalid(const T &value, const std::string &field)
{
    const auto result = validate(value);
    ASSERT_TRUE(result.has_error()) << field;
    EXPECT_EQ(result.error().kind(), ErrorKind::InvalidConfiguration);
    EXPECT_NE(result.error().message().find("'" + field + "'"), std::string::npos) << result.error().text();
    EXPECT_FALSE(result.error().remedy().empty());
}

template <typename T, typename Mutation>
void expectInvalidAfter(T value, Mutation makeInvalid, const std::string &field)
{
    ASSERT_TRUE(validate(value).has_value());
    makeInvalid(value);
    expectInvalid(value, field);
}

void expectInvalidClass(void (*makeInvalid)(RequestClass &), const std::string &field)
{
    Template value = samples::chatTemplate();
    makeInvalid(value.classes[1]);
    expectInvalid(value, field);
}

} // namespace

TEST(ConfigValidation, RefusesTemplatesThatBreakARule)
{
    const Template good = samples::chatTemplate();
    expectInvalidAfter(
        good,
        [](Template &value) {
            value.name = TemplateName("a b");
        },
        "name");
    expectInvalidAfter(
        good,
        [](Template &value) {
            value.version = 0;
        },
        "version");
    expectInvalidAfter(
        good,
        [](Template &value) {
            value.classes.clear();
        },
        "classes");
    expectInvalidAfter(
        good,
        [](Template &value) {
            value.classes[1] = value.classes[0];
        },
        "classes[1].name");
}

TEST(ConfigValidation, RefusesClassesThatBreakARule)
{
    expectInvalidClass(
        [](RequestClass &value) {
            value.tier = 99;
        },
        "classes[1].tier");
    expectInvalidClass(
        [](RequestClass &value) {
            value.deadline = std::chrono::milliseconds(1);
        },
        "classes[1].deadlineMs");
    expectInvalidClass(
        [](RequestClass &value) {
            value.interTokenTarget = {};
        },
        "classes[1].interTokenTargetMs");
    expectInvalidClass(
        [](RequestClass &value) {
            value.floorShare = 1.5;
        },
        "classes[1].floorShare");
    expectInvalidClass(
        [](RequestClass &value) {
            value.floorShare = std::numeric_limits<double>::quiet_NaN();
        },
        "classes[1].floorShare");
}

TEST(ConfigValidation, RefusesFloorSharesThatAddUpToMoreThanOne)
{
    Template value = samples::chatTemplate();
    value.classes[0].floorShare = 0.6;
    value.classes[1].floorShare = 0.6;
    expectInvalid(value, "classes.floorShare");
}

TEST(ConfigValidation, RefusesClientAccountsThatBreakARule)
{
    const ClientAccount good = samples::clientAccount();
    expectInvalidAfter(
        good,
        [](ClientAccount &value) {
            value.id = ClientAccountId();
        },
        "id");
    expectInvalidAfter(
        good,
        [](ClientAccount &value) {
            value.share = 0.0;
        },
        "share");
    expectInvalidAfter(
        good,
        [](ClientAccount &value) {
            value.models.push_back(ModelName("m0"));
        },
        "models");
    expectInvalidAfter(
        good,
        [](ClientAccount &value) {
            value.services = {ServiceName("")};
        },
        "services");
}

TEST(ConfigValidation, RefusesRoutesBackendServersAndKeysThatBreakARule)
{
    expectInvalidAfter(
        samples::route(),
        [](Route &value) {
            value.pathPrefix = "catalogue";
        },
        "pathPrefix");
    expectInvalidAfter(
        samples::route(),
        [](Route &value) {
            value.service = ServiceName();
        },
        "service");
    const BackendServer good = samples::backendServer();
    expectInvalidAfter(
        good,
        [](BackendServer &value) {
            value.endpoint.address = "host";
        },
        "endpoint");
    expectInvalidAfter(
        good,
        [](BackendServer &value) {
            value.slots = 0;
        },
        "slots");
    expectInvalidAfter(
        good,
        [](BackendServer &value) {
            value.models.clear();
        },
        "models");
    expectInvalidAfter(
        good,
        [](BackendServer &value) {
            value.kind = BackendKind::Service;
        },
        "models");
    expectInvalidAfter(
        samples::clientKey(),
        [](ClientKey &value) {
            value.clientAccount = ClientAccountId();
        },
        "clientAccount");
}

TEST(ConfigValidation, ValidatesTheClassesThatResultFromOverrides)
{
    ConfigState state;
    state.apply(0, samples::change("t", PutTemplate{samples::chatTemplate()}));
    ClientAccount account = samples::clientAccount();
    account.classes = {{.name = ClassName("batch"), .deadline = std::chrono::milliseconds(5)}};
    const auto checked = checkChange(state, samples::change("a", PutClientAccount{account}));
    ASSERT_TRUE(checked.has_error());
    EXPECT_NE(checked.error().text().find("classes[1].deadlineMs"), std::string::npos);
}
