#pragma once

#include <cstdint>
#include <deque>
#include <optional>

namespace Balsammill {

/// Timestamps of one heartbeat and its echo. The times are wall-clock times in microseconds since the Unix epoch.
struct EchoSample {
    /// When this process sent the heartbeat that the peer echoes, by the local clock; zero if there is no echo yet.
    std::int64_t sentUs { 0 };
    /// Time between the arrival of the heartbeat at the peer and the sending of the echo, in microseconds.
    std::int64_t echoDelayUs { 0 };
    /// When the peer sent the echo, by the peer's clock.
    std::int64_t peerSentUs { 0 };
    /// When the echo arrived, by the local clock.
    std::int64_t receivedUs { 0 };
};

struct ClockEstimate {
    /// The peer's clock minus the local clock.
    std::int64_t offsetUs { 0 };
    /// Upper bound of the error: half of the round-trip time.
    std::int64_t errorUs { 0 };
};

/// Estimates the offset of a peer's wall clock from echoed heartbeats. Not thread-safe; never reads a clock.
///
/// Uses the recent sample with the shortest round trip, because network delays are what distorts a sample.
class ClockOffset {
public:
    /// Ignores samples without an echo and samples with a negative round trip, which occur when a clock was set.
    void add(const EchoSample&);
    /// Returns an empty optional before the first usable sample.
    std::optional<ClockEstimate> estimate() const;

private:
    // Covers the last 3 s at one echo per 200 ms, so that the estimate soon follows a clock that was set.
    static constexpr std::size_t maxSamples = 16;

    std::deque<ClockEstimate> samples_;
};

} // namespace Balsammill
