#include "AnswerTimes.h"

#include "TimeBudgets.h"

#include <algorithm>
#include <chrono>

namespace Balsammill {

namespace {

// Several times the answer time of a healthy upstream in the same failure domain, including the delay of a busy entry.
constexpr Duration minRepeatInterval = std::chrono::milliseconds(25);
// Leaves time for a second copy of a request.
constexpr Duration maxRepeatInterval = answerTimeout / 2;
// Weights of a new sample, as in RFC 6298.
constexpr int meanDivisor = 8;
constexpr int deviationDivisor = 4;
constexpr int deviationFactor = 4;

} // namespace

void AnswerTimes::record(Duration answerTime)
{
    if (!hasSamples_) {
        hasSamples_ = true;
        mean_ = answerTime;
        deviation_ = answerTime / 2;
        return;
    }
    deviation_ += (std::chrono::abs(answerTime - mean_) - deviation_) / deviationDivisor;
    mean_ += (answerTime - mean_) / meanDivisor;
}

Duration AnswerTimes::repeatInterval() const
{
    return std::clamp(mean_ + deviationFactor * deviation_, minRepeatInterval, maxRepeatInterval);
}

} // namespace Balsammill
