#include "faultcell.h"

#include <flamingosaddle/http/server.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <random>

using namespace flamingosaddle;
using namespace flamingosaddle::test;

namespace
{

struct MatrixCell {
    Injection injection;
    RequestKind kind = RequestKind::Idempotent;
};

std::vector<MatrixCell> allCells()
{
    std::vector<MatrixCell> cells;
    for (std::size_t i = 0; i < stepCount * faultCount * kindCount; ++i) {
        const auto step = static_cast<RequestStep>(i / kindCount % stepCount);
        const auto fault = static_cast<Fault>(i / kindCount / stepCount);
        cells.push_back({{step, fault}, static_cast<RequestKind>(i % kindCount)});
    }
    return cells;
}

std::vector<MatrixCell> applicableCells()
{
    std::vector<MatrixCell> cells = allCells();
    std::erase_if(cells, [](const MatrixCell &cell) {
        return whyNotApplicable(cell.injection, cell.kind).has_value();
    });
    return cells;
}

std::string nameOfCell(const testing::TestParamInfo<MatrixCell> &info)
{
    return nameOf(info.param.injection) + "_" + nameOf(info.param.kind);
}

class FaultMatrix : public testing::TestWithParam<MatrixCell>
{
};

class FaultPairs : public testing::TestWithParam<unsigned>
{
};

constexpr int pairsPerSeed = 50;

struct Pair {
    std::vector<Injection> injections;
    RequestKind kind = RequestKind::Idempotent;

    bool hasLateWithdrawal() const
    {
        return std::count(this->injections.begin(), this->injections.end(), Injection{RequestStep::LastByte, Fault::KeyWithdrawn})
            > 0;
    }
};

std::vector<Pair> pairsOf(unsigned seed)
{
    std::mt19937 random(seed);
    const std::vector<MatrixCell> cells = applicableCells();
    std::vector<Pair> pairs;
    for (int i = 0; i < pairsPerSeed; ++i) {
        const MatrixCell &first = cells[random() % cells.size()];
        Injection second = cells[random() % cells.size()].injection;
        while (whyNotApplicable(second, first.kind).has_value()) {
            second = cells[random() % cells.size()].injection;
        }
        pairs.push_back({{first.injection, second}, first.kind});
    }
    return pairs;
}

/** Runs the pairs of a seed for which @p isSelected returns true. */
void runPairs(unsigned seed, const std::function<bool(const Pair &)> &isSelected)
{
    std::size_t injected = 0;
    std::size_t pairsRun = 0;
    for (const Pair &pair : pairsOf(seed)) {
        if (!isSelected(pair)) {
            continue;
        }
        const CellResult result = runCell(pair.injections, pair.kind);
        ++pairsRun;
        injected += result.injected;
        EXPECT_EQ(violations(result.observation), std::vector<std::string>())
            << nameOf(pair.injections[0]) << ", " << nameOf(pair.injections[1]) << ", " << nameOf(pair.kind) << '\n'
            << result.observation.response;
    }
    std::cout << "seed " << seed << ": " << pairsRun << " pairs, " << injected << " faults injected\n";
    EXPECT_GE(injected, pairsRun);
}

} // namespace

TEST(FaultMatrixTable, EveryCellRunsOrHasAReasonWhyItDoesNotApply)
{
    std::map<std::string, int> reasons;
    for (const MatrixCell &cell : allCells()) {
        ++reasons[whyNotApplicable(cell.injection, cell.kind).value_or("applicable")];
    }
    for (const auto &[reason, count] : reasons) {
        std::cout << count << " cells: " << reason << '\n';
    }
    EXPECT_EQ(allCells().size(), 300U);
    EXPECT_EQ(applicableCells().size(), 250U);
}

TEST(FaultMatrixTable, WithoutAFaultTheResponseIsComplete)
{
    for (std::size_t kind = 0; kind < kindCount; ++kind) {
        const CellResult result = runCell({}, static_cast<RequestKind>(kind));
        EXPECT_TRUE(looksComplete(result.observation.response)) << result.observation.response;
        EXPECT_EQ(violations(result.observation), std::vector<std::string>());
        EXPECT_EQ(result.observation.runs.size(), 1U);
        // Faults that occur before an engine is chosen hit the second engine, because the dispatcher chooses the second.
        EXPECT_EQ(result.runsOnSecondEngine, 1U);
    }
}

TEST(FaultMatrixTable, TheRepeatedRequestIsNotDelayedByAnEarlierSilentEngine)
{
    const CellResult result = runCell({{RequestStep::FirstToken, Fault::SilentConnection}}, RequestKind::NonIdempotentWithKey);
    EXPECT_TRUE(result.observation.ended);
    // If the clock kept advancing, the server's idle timeout would pass before the repeated request is read.
    EXPECT_LT(result.repeatDuration, HttpServerLimits().idleTimeout);
}

TEST_P(FaultMatrix, HoldsTheInvariants)
{
    const CellResult result = runCell({GetParam().injection}, GetParam().kind);
    EXPECT_EQ(result.injected, 1U);
    EXPECT_EQ(violations(result.observation), std::vector<std::string>()) << result.observation.response;
}

INSTANTIATE_TEST_SUITE_P(Cells, FaultMatrix, testing::ValuesIn(applicableCells()), nameOfCell);

TEST_P(FaultPairs, HoldTheInvariants)
{
    runPairs(GetParam(), [](const Pair &pair) {
        return !pair.hasLateWithdrawal();
    });
}

TEST_P(FaultPairs, WithKeyWithdrawnAtLastByteHoldTheInvariants)
{
    runPairs(GetParam(), [](const Pair &pair) {
        return pair.hasLateWithdrawal();
    });
}

INSTANTIATE_TEST_SUITE_P(Seeds, FaultPairs, testing::Values(1U, 2U, 3U, 4U));
