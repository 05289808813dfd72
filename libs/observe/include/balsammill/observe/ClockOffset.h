#pragma once

#include <cstdint>
#include <deque>
#include <optional>

namespace Balsammill {

/// Wall-clock times of one heartbeat and its echo, in microseconds since the Unix epoch.
struct EchoSample {
    /// When this process sent the heartbeat that the peer echoes; by the own clock.
    std::int64_t sentUs { 0 };
    /// How long the peer kept it before it sent the echo.
    std::int64_t heldUs { 0 };
    /// When the peer sent the echo; by the peer's clock.
    std::int64_t peerSentUs { 0 };
    /// When the echo arrived; by the own clock.
    std::int64_t receivedUs { 0 };
};

struct ClockEstimate {
    /// The peer's clock minus the own clock.
    std::int64_t offsetUs { 0 };
    /// Largest possible error, half of the round trip.
    std::int64_t errorUs { 0 };
};

/// Estimates the offset of a peer's wall clock from echoed heartbeats. Not thread-safe; holds no clock.
///
/// The sample with the shortest round trip among the latest ones decides, because delays on the way are what falsifies
/// a sample.
class ClockOffset {
public:
    /// Ignores samples without an echo and those whose round trip is negative, as after a clock was set.
    void add(const EchoSample&);
    /// Empty before the first usable sample.
    std::optional<ClockEstimate> estimate() const;

private:
    // At one echo per 200 ms these are the last 3 s, so that a changed clock is followed soon.
    static constexpr std::size_t keptSamples = 16;

    std::deque<ClockEstimate> samples_;
};

} // namespace Balsammill
