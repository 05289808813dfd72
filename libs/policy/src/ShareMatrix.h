#pragma once

#include <cstddef>
#include <vector>

namespace Balsammill::Detail {

/// Divides a capacity by weight among demands: nobody gets more than its demand, and what one leaves goes to the others
/// (max-min fairness).
std::vector<double> waterFill(double capacity, const std::vector<double>& demands, const std::vector<double>& weights);

/// Slots of each client account (row) in each entry process (column), row by row.
struct ShareMatrix {
    std::size_t rows;
    std::size_t columns;
    std::vector<double> values;

    double& at(std::size_t row, std::size_t column) { return values[row * columns + column]; }
    double at(std::size_t row, std::size_t column) const { return values[row * columns + column]; }
};

/// Scales a matrix of demands until its rows sum to the targets and no column exceeds its capacity, as far as the
/// demands allow it (iterative proportional fitting with a fixed number of rounds).
ShareMatrix fitShares(
    ShareMatrix demands, const std::vector<double>& rowTargets, const std::vector<double>& columnCapacities);

} // namespace Balsammill::Detail
