#include "QuantileEstimator.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <string>

namespace Balsammill::Detail {

QuantileEstimator::QuantileEstimator()
    : accumulator_(boost::accumulators::extended_p_square_probabilities = probabilities)
{
    firstSamples_.reserve(maxExactSamples);
}

void QuantileEstimator::add(double value)
{
    ++count_;
    sum_ += value;
    accumulator_(value);
    if (count_ <= maxExactSamples)
        firstSamples_.push_back(value);
}

double QuantileEstimator::quantile(double probability) const
{
    const auto position = std::find(probabilities.begin(), probabilities.end(), probability);
    if (position == probabilities.end())
        throw std::invalid_argument("quantile: no estimate is kept for probability " + std::to_string(probability));
    if (count_ == 0)
        return 0;
    if (count_ > maxExactSamples)
        return boost::accumulators::extended_p_square(accumulator_)[position - probabilities.begin()];
    auto sorted = firstSamples_;
    std::sort(sorted.begin(), sorted.end());
    const auto rank = static_cast<std::size_t>(std::ceil(probability * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

} // namespace Balsammill::Detail
