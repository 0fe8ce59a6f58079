#include <flamingosaddle/cli/changefile.h>
#include <flamingosaddle/cli/command.h>
#include <flamingosaddle/state/configstate.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>
#include <string>

using namespace flamingosaddle;

namespace
{

const std::string root = FLAMINGOSADDLE_SOURCE_DIR;

std::string readWhole(const std::string &path)
{
    std::ifstream file(path);
    EXPECT_TRUE(file.is_open()) << path;
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

void publish(ConfigState &state, const std::string &path, const std::string &kind)
{
    const auto changes = readValues(readWhole(path), kind, ChangeOrigin{ChangeId(kind), "test"});
    ASSERT_TRUE(changes.has_value()) << path << ": " << changes.error().text();
    for (const ConfigChange &change : changes.value()) {
        const ChangeResult result = state.apply(state.nextOffset(), change);
        ASSERT_EQ(result.outcome, ChangeOutcome::Accepted) << path << ": " << result.detail;
    }
}

ConfigState publishedExample(const std::string &name)
{
    const std::string folder = root + "/examples/" + name + "/";
    ConfigState state;
    publish(state, folder + "templates.json", "putTemplate");
    publish(state, folder + "accounts.json", "putClientAccount");
    publish(state, folder + "routes.json", "putRoute");
    publish(state, folder + "backends.json", "putBackendServer");
    return state;
}

std::size_t countServers(const ConfigState &state, BackendKind kind)
{
    return std::count_if(state.backendServers().begin(), state.backendServers().end(), [kind](const auto &entry) {
        return entry.second.value.kind == kind;
    });
}

std::set<DataCentre> dataCentres(const ConfigState &state)
{
    std::set<DataCentre> names;
    for (const auto &[id, server] : state.backendServers()) {
        names.insert(server.value.dataCentre);
    }
    return names;
}

/**
 * Models and services that client accounts or routes name and no backend server has.
 */
std::set<std::string> unservedNames(const ConfigState &state)
{
    std::set<std::string> names;
    for (const auto &[id, account] : state.clientAccounts()) {
        for (const ModelName &model : account.value.models) {
            names.insert(model.text());
        }
        for (const ServiceName &service : account.value.services) {
            names.insert(service.text());
        }
    }
    for (const auto &[id, route] : state.routes()) {
        names.insert(route.value.service.text());
    }
    for (const auto &[id, server] : state.backendServers()) {
        names.erase(server.value.service.text());
        for (const ModelName &model : server.value.models) {
            names.erase(model.text());
        }
    }
    return names;
}

} // namespace

TEST(Examples, MkateTamuIsValidAtItsStatedSize)
{
    const ConfigState state = publishedExample("mkate-tamu");
    EXPECT_EQ(dataCentres(state).size(), 3U);
    EXPECT_EQ(countServers(state, BackendKind::Engine), 12U);
    EXPECT_EQ(countServers(state, BackendKind::Service), 3U);
    EXPECT_EQ(state.clientAccounts().size(), 10U);
    EXPECT_EQ(unservedNames(state), std::set<std::string>());
}

TEST(Examples, ChendaIsValidAtItsStatedSize)
{
    const ConfigState state = publishedExample("chenda");
    EXPECT_EQ(dataCentres(state).size(), 3U);
    EXPECT_EQ(countServers(state, BackendKind::Engine), 18U);
    EXPECT_EQ(countServers(state, BackendKind::Service), 3U);
    EXPECT_EQ(state.clientAccounts().size(), 10U);
    EXPECT_EQ(unservedNames(state), std::set<std::string>());
}

TEST(Completion, KnowsEveryCommand)
{
    const std::string script = readWhole(root + "/scripts/completion/flamingosaddle.bash");
    for (const auto *commands : {&changeCommands(), &keyCommands(), &queryCommands()}) {
        for (const CliCommand &command : *commands) {
            const std::size_t space = command.name.find(' ');
            const std::string last = command.name.substr(space == std::string::npos ? 0 : space + 1);
            EXPECT_NE(script.find(last), std::string::npos) << command.name;
        }
    }
}
