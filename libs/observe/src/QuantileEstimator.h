#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <cstdint>
#include <vector>

namespace Balsammill::Detail {

/// Estimates quantiles of a stream in constant memory with the extended P-square algorithm. Not thread-safe.
class QuantileEstimator {
public:
    // Includes neighbours of the exported quantiles, because denser markers there reduce the estimation error.
    static constexpr std::array<double, 7> probabilities { 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999 };

    QuantileEstimator();

    void add(double value);
    /// Returns zero if there are no samples. Throws std::invalid_argument if the probability is not in probabilities.
    double quantile(double probability) const;
    std::uint64_t count() const { return count_; }
    double sum() const { return sum_; }

private:
    using Accumulator = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::extended_p_square>>;

    // P-square has no estimate before all of its 17 markers are set. Up to this number of samples, quantiles are
    // computed exactly from the stored samples.
    static constexpr std::size_t maxExactSamples = 64;

    Accumulator accumulator_;
    std::vector<double> firstSamples_;
    std::uint64_t count_ { 0 };
    double sum_ { 0 };
};

} // namespace Balsammill::Detail
