#include "platformservice.h"
#include "standinserver.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace options = boost::program_options;
using namespace flamingosaddle;

/**
 * The platform's stand-in: its store and its API for usage reports and server orders.
 */
int main(int argc, char **argv)
{
    options::options_description flags("standin_platform");
    flags.add_options()("listen", options::value<std::string>()->default_value("127.0.0.1:0"), "IP:PORT");
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
    standins::PlatformService service;
    return standins::runStandin(endpoint.value(), [&service](HttpExchange &exchange) {
        return service.handle(exchange);
    });
}
