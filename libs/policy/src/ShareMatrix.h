#pragma once

#include <cstddef>
#include <vector>

namespace Balsammill::Detail {

/// Divides a capacity among demands by weighted max-min fairness: no demand gets more than it asks for, and unused
/// shares are divided among the other demands.
std::vector<double> waterFill(double capacity, const std::vector<double>& demands, const std::vector<double>& weights);

/// Slots of each client account (row) in each entry process (column), in row-major order.
struct ShareMatrix {
    std::size_t rows;
    std::size_t columns;
    std::vector<double> values;

    double& at(std::size_t row, std::size_t column) { return values[row * columns + column]; }
    double at(std::size_t row, std::size_t column) const { return values[row * columns + column]; }
};

/// Scales a matrix of demands so that its rows sum to the targets and no column exceeds its capacity, as far as the
/// demands allow. Uses iterative proportional fitting with a fixed number of rounds.
ShareMatrix fitShares(
    ShareMatrix demands, const std::vector<double>& rowTargets, const std::vector<double>& columnCapacities);

} // namespace Balsammill::Detail
