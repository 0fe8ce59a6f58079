#include "scenarios.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <set>

using namespace flamingosaddle::simulation;

namespace
{

nlohmann::json boundedFigures()
{
    std::ifstream file(FLAMINGOSADDLE_BOUNDS_FILE);
    return nlohmann::json::parse(file).at("figures");
}

} // namespace

TEST(Policy, KeepsTheBoundsOfEveryRow)
{
    const std::vector<Measurement> figures = runScenarios();
    std::set<std::string> rows;
    for (const Measurement &figure : figures) {
        rows.insert(figure.scenario);
    }
    std::size_t checked = 0;
    for (const nlohmann::json &bound : boundedFigures()) {
        if (rows.count(bound.at("row")) == 0) {
            continue; // bound of another program
        }
        const auto found = std::find_if(figures.begin(), figures.end(), [&](const Measurement &figure) {
            return figure.scenario == bound.at("row") && figure.name == bound.at("name") && figure.policy == "flamingosaddle";
        });
        ASSERT_NE(found, figures.end()) << bound;
        EXPECT_GE(found->value, bound.value("min", found->value)) << bound;
        EXPECT_LE(found->value, bound.value("max", found->value)) << bound;
        ++checked;
    }
    EXPECT_GE(checked, 7U);
}
