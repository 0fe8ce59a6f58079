// Compares the dispatcher's policies with simpler baselines in simulated time. Usage: policy_simulation [--json FILE]

#include "scenarios.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>

using flamingosaddle::simulation::Figure;

namespace
{

bool writeJson(const std::vector<Figure> &figures, const std::string &path)
{
    nlohmann::ordered_json rows = nlohmann::ordered_json::array();
    for (const Figure &figure : figures) {
        rows.push_back({{"row", figure.scenario}, {"policy", figure.policy}, {"name", figure.name}, {"value", figure.value}});
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
    const std::vector<Figure> figures = flamingosaddle::simulation::runScenarios();
    std::printf("%-32s %-30s %-46s %s\n", "row", "policy", "figure", "value");
    for (const Figure &figure : figures) {
        std::printf(
            "%-32s %-30s %-46s %.3f\n", figure.scenario.c_str(), figure.policy.c_str(), figure.name.c_str(), figure.value);
    }
    if (asJson && !writeJson(figures, argv[2])) {
        std::cerr << "cannot write " << argv[2] << "; choose a file in an existing directory\n";
        return 1;
    }
    return 0;
}
