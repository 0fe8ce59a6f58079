#pragma once

#include <flamingosaddle/state/configstate.h>

#include <rapidcheck.h>

#include <string>
#include <vector>

/**
 * Sample objects and random changes for configuration tests. Names are drawn from a small set, so that changes often
 * refer to the same object.
 */
namespace flamingosaddle::samples
{

inline RequestClass requestClass(const std::string &name)
{
    RequestClass value;
    value.name = ClassName(name);
    return value;
}

inline Template chatTemplate(const std::string &name = "chat", std::uint32_t version = 1)
{
    return {TemplateName(name), version, {requestClass("interactive"), requestClass("batch")}};
}

inline ClientAccount clientAccount(const std::string &id = "a0")
{
    ClientAccount value;
    value.id = ClientAccountId(id);
    value.templateName = TemplateName("chat");
    value.models = {ModelName("m0"), ModelName("m1")};
    return value;
}

inline ClientKey clientKey(const std::string &id = "k0", const std::string &account = "a0")
{
    return {KeyId(id), ClientAccountId(account), KeyDigest::of(id, "secret")};
}

inline Route route(const std::string &id = "r0", const std::string &prefix = "/catalogue")
{
    return {RouteId(id), prefix, ServiceName("catalogue"), true, false};
}

inline BackendServer backendServer(const std::string &id = "s0")
{
    BackendServer value;
    value.id = BackendServerId(id);
    value.endpoint = {"127.0.0.1", 8000};
    value.dataCentre = DataCentre("ke-central-a");
    value.models = {ModelName("m0")};
    return value;
}

inline ConfigChange change(const std::string &id, ConfigChangeBody body, std::optional<std::uint64_t> expected = std::nullopt)
{
    return {ChangeId(id), expected, "operator", std::move(body)};
}

inline rc::Gen<std::string> anyName(const std::string &prefix)
{
    return rc::gen::map(rc::gen::inRange(0, 3), [prefix](int number) {
        return prefix + std::to_string(number);
    });
}

inline ConfigChangeBody anyBody()
{
    switch (*rc::gen::inRange(0, 9)) {
    case 0:
        return PutTemplate{chatTemplate(*rc::gen::element<std::string>("chat", "t1"), *rc::gen::inRange(0U, 3U))};
    case 1: {
        ClientAccount account = clientAccount(*anyName("a"));
        account.templateVersion = *rc::gen::inRange(1U, 3U);
        account.classes = {{.name = ClassName("batch"), .tier = *rc::gen::inRange(-1, 4)}};
        return PutClientAccount{account};
    }
    case 2:
        return RemoveClientAccount{ClientAccountId(*anyName("a"))};
    case 3:
        return PutRoute{route(*anyName("r"), *anyName("/p"))};
    case 4:
        return RemoveRoute{RouteId(*anyName("r"))};
    case 5:
        return PutBackendServer{backendServer(*anyName("s"))};
    case 6:
        return RemoveBackendServer{BackendServerId(*anyName("s"))};
    case 7:
        return GiveKey{clientKey(*anyName("k"), *anyName("a"))};
    default:
        return WithdrawKey{KeyId(*anyName("k"))};
    }
}

inline ConfigChange anyChange()
{
    std::optional<std::uint64_t> expected;
    if (*rc::gen::arbitrary<bool>()) {
        expected = *rc::gen::inRange<std::uint64_t>(0, 8);
    }
    return change("c" + std::to_string(*rc::gen::inRange(0, 200)), anyBody(), expected);
}

/**
 * Generates a log that begins with a template and a client account, so that many of the random changes that follow are
 * accepted.
 */
inline std::vector<ConfigChange> anyLog()
{
    std::vector<ConfigChange> log{change("t", PutTemplate{chatTemplate()}), change("a", PutClientAccount{clientAccount()})};
    const int count = *rc::gen::inRange(0, 40);
    for (int i = 0; i < count; ++i) {
        log.push_back(anyChange());
    }
    return log;
}

inline ConfigState replay(const std::vector<ConfigChange> &log)
{
    ConfigState state;
    for (std::size_t offset = 0; offset < log.size(); ++offset) {
        state.apply(offset, log[offset]);
    }
    return state;
}

} // namespace flamingosaddle::samples
