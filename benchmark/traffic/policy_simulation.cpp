// Compares the dispatcher's policies with simpler baselines in simulated time. Usage: policy_simulation [--json FILE]

#include "scenarios.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>

using flamingosaddle::simulation::Measurement;

namespace
{

bool writeJson(const std::vector<Measurement> &measurements, const std::string &path)
{
    nlohmann::ordered_json rows = nlohmann::ordered_json::array();
    for (const Measurement &measurement : measurements) {
        rows.push_back({{"row", measurement.scenario}, {"policy", measurement.policy}, {"name", measurement.name},
            {"value", measurement.value}});
    }
    std::ofstream file(path);
    file << rows.dump(2) << '\n';
    return file.good();
}

} // namespace

int main(int argc, char **argv)
{
    const bool asJson = argc == 3 && std::string(argv[1]) == "--json";
    if (argc != 1 && !asJson) {
        std::cerr << "usage: policy_simulation [--json FILE]\n";
        return 2;
    }
    const std::vector<Measurement> measurements = flamingosaddle::simulation::runScenarios();
    std::printf("%-32s %-30s %-46s %s\n", "row", "policy", "figure", "value");
    for (const Measurement &measurement : measurements) {
        std::printf("%-32s %-30s %-46s %.3f\n", measurement.scenario.c_str(), measurement.policy.c_str(),
            measurement.name.c_str(), measurement.value);
    }
    if (asJson && !writeJson(measurements, argv[2])) {
        std::cerr << "cannot write " << argv[2] << "; choose a file in an existing directory\n";
        return 1;
    }
    return 0;
}
