#include "backendfront.h"
#include "engineservice.h"
#include "plainservice.h"
#include "standinserver.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace options = boost::program_options;
using namespace flamingosaddle;
using namespace flamingosaddle::standins;

namespace
{

options::options_description describeFlags()
{
    options::options_description flags("standin_backend");
    auto add = flags.add_options();
    add("listen", options::value<std::string>()->default_value("127.0.0.1:0"), "IP:PORT");
    add("kind", options::value<std::string>()->default_value("engine"), "engine or service");
    add("model", options::value<std::vector<std::string>>()->default_value({}, ""), "model of an engine, repeatable");
    add("slots", options::value<std::uint32_t>()->default_value(8), "requests of an engine side by side");
    add("token-interval-us", options::value<std::int64_t>()->default_value(0), "0 for as fast as the connection takes them");
    add("tokens-per-write", options::value<std::uint32_t>()->default_value(1), "tokens in one write");
    add("load-lag-ms", options::value<std::int64_t>()->default_value(0), "age of the load report");
    add("work-ms", options::value<std::int64_t>()->default_value(0), "time a plain service takes for a call");
    add("check-fencing", options::bool_switch(), "refuse orders with an old fencing number");
    add("audit-file", options::value<std::string>()->default_value(""), "keeps the audit beyond the process");
    return flags;
}

EngineOptions engineOptions(const options::variables_map &values)
{
    EngineOptions engine;
    engine.models = values["model"].as<std::vector<std::string>>();
    engine.slots = values["slots"].as<std::uint32_t>();
    engine.tokenInterval = std::chrono::microseconds(values["token-interval-us"].as<std::int64_t>());
    engine.tokensPerWrite = values["tokens-per-write"].as<std::uint32_t>();
    engine.loadLag = std::chrono::milliseconds(values["load-lag-ms"].as<std::int64_t>());
    return engine;
}

int serve(const options::variables_map &values, const Endpoint &endpoint)
{
    BackendFront front(values["check-fencing"].as<bool>());
    if (const auto file = values["audit-file"].as<std::string>(); !file.empty()) {
        front.runs().writeTo(file);
    }
    EngineService engine(engineOptions(values), front);
    PlainService service(std::chrono::milliseconds(values["work-ms"].as<std::int64_t>()), front);
    const bool isEngine = values["kind"].as<std::string>() == "engine";
    BackendFront::Hooks hooks;
    hooks.run = [&](BackendFront::Call call) {
        return isEngine ? engine.run(call) : service.run(call);
    };
    hooks.status = [&](const HttpRequest &request) {
        return isEngine ? engine.status(request) : std::nullopt;
    };
    hooks.loadModel = [&](const std::string &model) {
        engine.loadModel(model);
    };
    front.setHooks(std::move(hooks));
    return runStandin(endpoint, [&front](HttpExchange &exchange) {
        return front.handle(exchange);
    });
}

} // namespace

/**
 * The stand-in of a backend server: a model engine or a plain service.
 */
int main(int argc, char **argv)
{
    const options::options_description flags = describeFlags();
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, flags), values);
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n' << flags;
        return 2;
    }
    const Result<Endpoint> endpoint = Endpoint::parse(values["listen"].as<std::string>());
    if (endpoint.has_error()) {
        std::cerr << endpoint.error().text() << '\n';
        return 2;
    }
    return serve(values, endpoint.value());
}
