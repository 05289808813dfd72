#include "balsammill/observe/ClockOffset.h"

#include <algorithm>

namespace Balsammill {

void ClockOffset::add(const EchoSample& sample)
{
    const auto roundTrip = sample.receivedUs - sample.sentUs - sample.echoDelayUs;
    if (sample.sentUs == 0 || sample.echoDelayUs < 0 || roundTrip < 0)
        return;
    const auto peerReceivedUs = sample.peerSentUs - sample.echoDelayUs;
    const auto offset = ((peerReceivedUs - sample.sentUs) + (sample.peerSentUs - sample.receivedUs)) / 2;
    samples_.push_back({ offset, roundTrip / 2 });
    if (samples_.size() > maxSamples)
        samples_.pop_front();
}

std::optional<ClockEstimate> ClockOffset::estimate() const
{
    const auto best = std::min_element(samples_.begin(), samples_.end(),
        [](const ClockEstimate& first, const ClockEstimate& second) { return first.errorUs < second.errorUs; });
    if (best == samples_.end())
        return std::nullopt;
    return *best;
}

} // namespace Balsammill
